package capacity_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"

	"google.golang.org/grpc"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/link"
)

// emptyPeer answers each request with an empty reply.
type emptyPeer struct {
	slatewindv1.UnimplementedPeerServer
}

func (emptyPeer) Sync(context.Context, *slatewindv1.SyncRequest) (*slatewindv1.SyncReply, error) {
	return &slatewindv1.SyncReply{}, nil
}

// BenchmarkMemoryPerOpenConnection measures the memory of a connection in use, heap and
// stacks of both ends together.
func BenchmarkMemoryPerOpenConnection(b *testing.B) {
	const peers = 100
	server := grpc.NewServer(link.ServerOptions()...)
	slatewindv1.RegisterPeerServer(server, emptyPeer{})
	defer server.Stop()
	addresses := make([]string, peers)
	for i := range addresses {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", i+1))
		if err != nil {
			b.Fatal(err)
		}
		addresses[i] = listener.Addr().String()
		go func() { _ = server.Serve(listener) }()
	}
	before := inUse()
	pool := link.NewPool(nil)
	for range 3 {
		for _, address := range addresses {
			if _, err := pool.Sync(b.Context(), address, syncRequest()); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric((inUse()-before)/peers, "B/open-peer-both-ends")
	b.ReportMetric(0, "ns/op")
	_ = pool.Close()
}

// inUse returns the size of the live heap and the stacks in bytes.
func inUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
