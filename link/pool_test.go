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

// answeringSidecar answers every attempt immediately.
type answeringSidecar struct {
	slatewindv1.UnimplementedSidecarServer
}

func (answeringSidecar) Run(request *slatewindv1.RunRequest, stream grpc.ServerStreamingServer[slatewindv1.RunReply]) error {
	if err := stream.Send(head(request.GetAttemptId())); err != nil {
		return err
	}
	return stream.Send(end(request.GetAttemptId(), ""))
}

// TestPeerThatStartsIsReachedAtOnce: a call to a process that does not listen yet reports
// that nothing was written. As soon as the process listens, the next call succeeds; the
// reconnect backoff of gRPC after the failed calls does not make it fail.
func TestPeerThatStartsIsReachedAtOnce(t *testing.T) {
	// A loopback address that depends on the process ID, so that the port is free.
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
	slatewindv1.RegisterSidecarServer(server, answeringSidecar{})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	_, written, err := pool.Run(t.Context(), address, &slatewindv1.RunRequest{AttemptId: "2"})
	assert.NilError(t, err)
	assert.Assert(t, written)
}
