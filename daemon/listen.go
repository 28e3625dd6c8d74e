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

// endpoint is a listener of a process and the function that serves it.
type endpoint struct {
	name    string
	address string
	serve   func(net.Listener) error
}

// serveAll opens all listeners and then serves each in a goroutine of its own. If a listener
// cannot be opened, it closes the others and returns the errors.
func serveAll(logger *log.Logger, endpoints []endpoint) error {
	listeners := make([]net.Listener, 0, len(endpoints))
	var group errs.Group
	for _, e := range endpoints {
		listener, err := net.Listen("tcp", e.address)
		if err != nil {
			group.Add(Error.New("cannot listen on %s: %w", e.address, err))
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
	for i, e := range endpoints {
		go func() {
			if err := e.serve(listeners[i]); err != nil && !errors.Is(err, http.ErrServerClosed) {
				logger.Error("listener ended", "listener", e.name, "error", err)
			}
		}()
	}
	return nil
}

// settingsInForce returns the version of the settings in force on a VM.
func settingsInForce(vm string, store *config.Store) admin.Settings {
	s := admin.Settings{VM: vm}
	if current := store.Current(); current != nil {
		s.Revision = current.Version.Revision
		s.Digest = fmt.Sprintf("%016x", current.Version.Digest)
		s.Since = current.Since
	}
	return s
}
