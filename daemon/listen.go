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
	// listener is set by openAll.
	listener net.Listener
}

// openAll opens the listeners of all endpoints. Until serveAll is called, connections to them wait.
// If a listener cannot be opened, it closes the others and returns the errors.
func openAll(endpoints []endpoint) error {
	var group errs.Group
	for i, e := range endpoints {
		listener, err := net.Listen("tcp", e.address)
		if err != nil {
			group.Add(Error.New("cannot listen on %s: %w", e.address, err))
			continue
		}
		endpoints[i].listener = listener
	}
	if group.Err() != nil {
		group.Add(closeAll(endpoints))
	}
	return group.Err()
}

// closeAll closes the open listeners of endpoints.
func closeAll(endpoints []endpoint) error {
	var group errs.Group
	for _, e := range endpoints {
		if e.listener != nil {
			group.Add(e.listener.Close())
		}
	}
	return group.Err()
}

// serveAll serves each endpoint in a goroutine of its own.
func serveAll(logger *log.Logger, endpoints []endpoint) {
	for _, e := range endpoints {
		go func() {
			if err := e.serve(e.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
				logger.Error("listener ended", "listener", e.name, "error", err)
			}
		}()
	}
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
