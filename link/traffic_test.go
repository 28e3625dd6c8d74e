package link_test

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/link"
)

// counted is the key of a count of bytes.
type counted struct {
	purpose  link.Purpose
	distance link.Distance
}

// prefixBytes is the length of the prefix that gRPC sends before each message.
const prefixBytes = 5

// TestTraffic: the bytes of messages are counted by purpose and distance, with the sizes
// that the messages have on the wire.
func TestTraffic(t *testing.T) {
	reservation := &slatewindv1.UseRequest{Part: &slatewindv1.UseRequest_Reservation{Reservation: &slatewindv1.Reservation{Service: "s"}}}
	request := &slatewindv1.UseRequest{Part: &slatewindv1.UseRequest_Request{Request: &slatewindv1.SlotRequest{Method: "GET"}}}
	granted := &slatewindv1.UseReply{Part: &slatewindv1.UseReply_Granted{Granted: &slatewindv1.SlotState{Slots: 2}}}
	answer := &slatewindv1.UseReply{Part: &slatewindv1.UseReply_Chunk{Chunk: []byte("answer")}}

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer(link.ServerOptions()...)
	slatewindv1.RegisterSlotsServer(server, link.SlotsServer{Serve: func(s link.UseStream) error {
		for _, reply := range []*slatewindv1.UseReply{granted, answer} {
			if _, err := s.Recv(); err != nil {
				return err
			}
			if err := s.Send(reply); err != nil {
				return err
			}
		}
		return nil
	}})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()

	for far, distance := range map[bool]link.Distance{true: link.DistanceFar, false: link.DistanceNear} {
		t.Run(string(distance), func(t *testing.T) {
			var mu sync.Mutex
			got := map[counted]int{}
			pool := link.NewPool(func(purpose link.Purpose, distance link.Distance, bytes int) {
				mu.Lock()
				defer mu.Unlock()
				got[counted{purpose, distance}] += bytes
			})
			defer func() { _ = pool.Close() }()
			use, err := pool.Use(t.Context(), listener.Addr().String(), far)
			assert.NilError(t, err)
			for _, message := range []*slatewindv1.UseRequest{reservation, request} {
				assert.NilError(t, use.Send(message))
				_, err := use.Recv()
				assert.NilError(t, err)
			}
			_, err = use.Recv()
			assert.Assert(t, errors.Is(err, io.EOF))
			mu.Lock()
			defer mu.Unlock()
			for purpose, message := range map[link.Purpose]proto.Message{
				link.PurposeReservation: reservation, link.PurposeReply: granted, link.PurposeRequest: request, link.PurposeAnswer: answer,
			} {
				assert.Equal(t, got[counted{purpose, distance}], proto.Size(message)+prefixBytes, string(purpose))
			}
			assert.Equal(t, len(got), 4)
		})
	}
}
