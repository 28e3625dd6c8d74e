package link_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/link"
)

// bigFleet returns settings with many routes, whose names are distinct.
func bigFleet(routes int) *slatewindv1.Fleet {
	fleet := &slatewindv1.Fleet{}
	for i := range routes {
		fleet.Routes = append(fleet.Routes, &slatewindv1.Route{
			Name: fmt.Sprintf("r-%07x", i*7919%(1<<28)), Host: "a.example", PathPrefix: fmt.Sprintf("/p%06x/", i*104729%(1<<24)),
			Kind: "repeatable", Service: "svc", Attempts: 2,
		})
	}
	return fleet
}

// serveNews serves the RPC service News and returns its address.
func serveNews(t *testing.T, server slatewindv1.NewsServer) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	peers := grpc.NewServer(link.ServerOptions()...)
	slatewindv1.RegisterNewsServer(peers, server)
	go func() { _ = peers.Serve(listener) }()
	t.Cleanup(peers.Stop)
	return listener.Addr().String()
}

// TestSettings: settings are transferred completely, and only if they are newer.
func TestSettings(t *testing.T) {
	fleet := bigFleet(4000)
	newest := &slatewind.PublishedSettings{Version: 7, Revision: slatewind.Revision{Era: 2, Number: 70}, Fleet: fleet}
	address := serveNews(t, &link.NewsServer{CurrentSettings: func() *slatewind.PublishedSettings { return newest }})
	pool := link.NewPool(nil)
	defer func() { _ = pool.Close() }()
	for known, newer := range map[uint64]bool{0: true, 6: true, 7: false, 8: false} {
		settings, err := pool.Settings(t.Context(), address, known)
		assert.NilError(t, err)
		assert.Equal(t, settings != nil, newer, "known: %d", known)
		if newer {
			assert.Equal(t, settings.Version, uint64(7))
			assert.Equal(t, settings.Revision, newest.Revision)
			assert.Assert(t, proto.Equal(settings.Fleet, fleet))
		}
	}
	newest = nil
	settings, err := pool.Settings(t.Context(), address, 0)
	assert.NilError(t, err)
	assert.Assert(t, settings == nil)
}

// corruptNews sends settings with a wrong checksum. If the caller already has a version, it
// first waits for hang to be closed.
type corruptNews struct {
	slatewindv1.UnimplementedNewsServer
	hang chan struct{}
}

func (s *corruptNews) Settings(request *slatewindv1.SettingsRequest, stream grpc.ServerStreamingServer[slatewindv1.SettingsPart]) error {
	if request.GetVersion() > 0 {
		<-s.hang
	}
	return stream.Send(&slatewindv1.SettingsPart{Version: 9, Checksum: 1, Packed: []byte("spoiled")})
}

// TestSettingsCorrupt: settings with a wrong checksum are an error, and so is a process that
// does not respond within a time limit.
func TestSettingsCorrupt(t *testing.T) {
	news := &corruptNews{hang: make(chan struct{})}
	address := serveNews(t, news)
	defer close(news.hang)
	pool := link.NewPool(nil)
	defer func() { _ = pool.Close() }()
	_, err := pool.Settings(t.Context(), address, 0)
	assert.ErrorIs(t, err, link.ErrCorrupt)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err = pool.Settings(ctx, address, 1)
	assert.ErrorContains(t, err, "canceled")
	assert.NilError(t, ctx.Err())
}

// TestSettingsOfSilentProcess: the wait for a process that does not start to respond is
// limited by the timeout of the first part and not by the longer one of further parts.
func TestSettingsOfSilentProcess(t *testing.T) {
	news := &corruptNews{hang: make(chan struct{})}
	address := serveNews(t, news)
	defer close(news.hang)
	pool := link.NewPool(nil)
	defer func() { _ = pool.Close() }()
	asked := time.Now()
	_, err := pool.Settings(t.Context(), address, 1)
	assert.ErrorContains(t, err, "canceled")
	assert.Assert(t, time.Since(asked) < 800*time.Millisecond, time.Since(asked))
}

// endlessNews sends settings without end.
type endlessNews struct {
	slatewindv1.UnimplementedNewsServer
}

func (endlessNews) Settings(_ *slatewindv1.SettingsRequest, stream grpc.ServerStreamingServer[slatewindv1.SettingsPart]) error {
	for part := make([]byte, 16<<10); ; {
		if err := stream.Send(&slatewindv1.SettingsPart{Packed: part}); err != nil {
			return err
		}
	}
}

// TestSettingsWithoutEnd checks that settings that a peer sends without end are given up.
func TestSettingsWithoutEnd(t *testing.T) {
	pool := link.NewPool(nil)
	defer func() { _ = pool.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err := pool.Settings(ctx, serveNews(t, endlessNews{}), 0)
	assert.ErrorIs(t, err, link.ErrCorrupt)
}
