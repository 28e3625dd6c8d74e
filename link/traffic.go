package link

import (
	"context"

	"google.golang.org/grpc/stats"

	"slatewind.example/slatewind/api/slatewindv1"
)

// Purpose is the purpose of a message between processes.
type Purpose string

// Purposes of messages.
const (
	PurposeReservation Purpose = "reservation"
	// PurposeReply is the state of a reservation: queued, granted or refused.
	PurposeReply   Purpose = "reply"
	PurposeRequest Purpose = "request"
	PurposeAnswer  Purpose = "answer"
	// PurposeLimit is requests for tokens of workspaces, and the replies.
	PurposeLimit Purpose = "limit"
	// PurposeOther is everything else, such as updates of servers, and the services Sidecar
	// and Peer.
	PurposeOther Purpose = "other"
)

// Distance is whether the other process is in the same data centre.
type Distance string

// Distances: near is in the same data centre, far in another one. Only traffic to far
// processes is billed.
const (
	DistanceNear    Distance = "near"
	DistanceFar     Distance = "far"
	DistanceUnknown Distance = "unknown"
)

// TrafficMeter counts the bytes of messages between processes, in both directions, at the
// process that made the call. Headers of streams are not counted. A nil TrafficMeter counts
// nothing.
type TrafficMeter func(purpose Purpose, distance Distance, bytes int)

// distanceKey is the context key of a call's Distance.
type distanceKey struct{}

// withDistance returns the context of a call with its distance.
func withDistance(ctx context.Context, far bool) context.Context {
	distance := DistanceNear
	if far {
		distance = DistanceFar
	}
	return context.WithValue(ctx, distanceKey{}, distance)
}

// count counts the bytes of a message if the event is the sending or receiving of one.
func (m TrafficMeter) count(ctx context.Context, event stats.RPCStats) {
	if m == nil {
		return
	}
	distance, known := ctx.Value(distanceKey{}).(Distance)
	if !known {
		distance = DistanceUnknown
	}
	switch e := event.(type) {
	case *stats.OutPayload:
		m(purposeOf(e.Payload), distance, e.WireLength)
	case *stats.InPayload:
		m(purposeOf(e.Payload), distance, e.WireLength)
	}
}

// purposeOf returns the purpose of a message.
func purposeOf(message any) Purpose {
	switch part := message.(type) {
	case *slatewindv1.UseRequest:
		if part.GetReservation() != nil {
			return PurposeReservation
		}
		return PurposeRequest
	case *slatewindv1.UseReply:
		if part.GetQueued() != nil || part.GetGranted() != nil || part.GetRefusal() != nil {
			return PurposeReply
		}
		return PurposeAnswer
	case *slatewindv1.TakeRequest, *slatewindv1.TakeReply:
		return PurposeLimit
	}
	return PurposeOther
}
