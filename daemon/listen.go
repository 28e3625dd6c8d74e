package daemon

import (
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/charmbracelet/log"
	"github.com/zeebo/errs"

	"slatewind.example/slatewind/admin"
	"slatewind.example/slatewind/config"
)

// service is one listener of a process with what serves it.
type service struct {
	name    string
	address string
	serve   func(net.Listener) error
}

// serveAll opens all listeners and begins to serve; if one cannot be opened, the
// others are closed again.
func serveAll(logger *log.Logger, services []service) error {
	listeners := make([]net.Listener, 0, len(services))
	var group errs.Group
	for _, s := range services {
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			group.Add(Error.New("cannot listen on %s: %w", s.address, err))
			continue
		}
		listeners = append(listeners, listener)
	}
	if err := group.Err(); err != nil {
		for _, listener := range listeners {
			group.Add(listener.Close())
		}
		return group.Err()
	}
	for i, s := range services {
		go func() {
			if err := s.serve(listeners[i]); err != nil && !errors.Is(err, http.ErrServerClosed) {
				logger.Error("listener ended", "listener", s.name, "error", err)
			}
		}()
	}
	return nil
}

// inForce tells which settings are in force at a process.
func inForce(vm string, store *config.Store) admin.Settings {
	s := admin.Settings{VM: vm}
	if current := store.Current(); current != nil {
		s.Revision = current.Version.Revision
		s.Digest = fmt.Sprintf("%016x", current.Version.Digest)
		s.Since = current.Since
	}
	return s
}
