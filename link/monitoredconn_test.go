package link_test

import (
	"net"
	"runtime"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/link"
)

// TestIdleConnectionsHoldNoReadBuffers: a process may have a connection to each of thousands of
// others, so an idle one must not hold the 32 KB that gRPC reads at once.
func TestIdleConnectionsHoldNoReadBuffers(t *testing.T) {
	// Both ends of each connection are in this process.
	const peers, ends, maxBytes = 64, 2, 32 << 10
	server := grpc.NewServer(link.ServerOptions()...)
	slatewindv1.RegisterSlotsServer(server, link.SlotsServer{Serve: func(stream link.UseStream) error {
		if _, err := stream.Recv(); err != nil {
			return err
		}
		return stream.Send(&slatewindv1.UseReply{})
	}})
	t.Cleanup(server.Stop)
	var listeners []net.Listener
	for range peers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners = append(listeners, listener)
		go func() { _ = server.Serve(listener) }()
	}
	pool := link.NewPool(nil)
	t.Cleanup(func() { _ = pool.Close() })
	before := heapBytes()
	for _, listener := range listeners {
		use, err := pool.Use(t.Context(), listener.Addr().String(), false)
		assert.NilError(t, err)
		assert.NilError(t, use.Send(&slatewindv1.UseRequest{}))
		_, err = use.Recv()
		assert.NilError(t, err)
	}
	time.Sleep(100 * time.Millisecond)
	each := (int64(heapBytes()) - int64(before)) / (peers * ends)
	assert.Assert(t, each < maxBytes, "%d bytes for each end of a connection", each)
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	// The first collection moves pooled buffers to the victim caches, the second one frees them.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
