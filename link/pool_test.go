package link_test

import (
	"fmt"
	"net"
	"os"
	"testing"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/link"
)

// answering runs every attempt at once.
type answering struct {
	slatewindv1.UnimplementedSidecarServer
}

func (answering) Run(request *slatewindv1.RunRequest, stream grpc.ServerStreamingServer[slatewindv1.RunReply]) error {
	if err := stream.Send(head(request.GetAttemptId())); err != nil {
		return err
	}
	return stream.Send(end(request.GetAttemptId(), ""))
}

// TestPeerThatStartsIsReachedAtOnce: a call to a process that does not listen yet
// says that nothing was written; once it listens, the very next call gets through,
// and does not fail by the memory of the first.
func TestPeerThatStartsIsReachedAtOnce(t *testing.T) {
	// A loopback IP of this run's own, where nobody else takes the port.
	pid := os.Getpid()
	address := fmt.Sprintf("127.%d.%d.250:8090", 64+pid%128, pid/128%256)
	pool := link.NewPool(nil)
	defer func() { _ = pool.Close() }()
	for range 3 {
		_, written, err := pool.Run(t.Context(), address, &slatewindv1.RunRequest{AttemptId: "1"})
		assert.Assert(t, err != nil && !written)
	}

	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	server := grpc.NewServer(link.ServerOptions()...)
	slatewindv1.RegisterSidecarServer(server, answering{})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	_, written, err := pool.Run(t.Context(), address, &slatewindv1.RunRequest{AttemptId: "2"})
	assert.NilError(t, err)
	assert.Assert(t, written)
}
