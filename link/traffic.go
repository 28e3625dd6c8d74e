package link

import (
	"context"

	"google.golang.org/grpc/stats"

	"slatewind.example/slatewind/api/slatewindv1"
)

// Purpose says what bytes between processes are for.
type Purpose string

// Purposes of bytes.
const (
	PurposeReservation Purpose = "reservation"
	// PurposeReply is what is said of a reservation: queued, granted or refused.
	PurposeReply   Purpose = "reply"
	PurposeRequest Purpose = "request"
	PurposeAnswer  Purpose = "answer"
	// PurposeLimit is questions for tokens of workspaces, and their answers.
	PurposeLimit Purpose = "limit"
	// PurposeOther is news, and the messages of the product's own way.
	PurposeOther Purpose = "other"
)

// Distance says where the other process stands.
type Distance string

// Distances. Only bytes to far processes are paid for.
const (
	DistanceNear    Distance = "near"
	DistanceFar     Distance = "far"
	DistanceUnknown Distance = "unknown"
)

// TrafficMeter counts the bytes of messages between processes, both ways, at the
// process that began the exchange. Headers of streams are not counted. A nil one
// counts nothing.
type TrafficMeter func(purpose Purpose, distance Distance, bytes int)

// distanceKey is the context key of a call's Distance.
type distanceKey struct{}

func withDistance(ctx context.Context, far bool) context.Context {
	distance := DistanceNear
	if far {
		distance = DistanceFar
	}
	return context.WithValue(ctx, distanceKey{}, distance)
}

// count counts the bytes of one message of a call, if the event is one.
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

// purposeOf returns what a message is for.
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
