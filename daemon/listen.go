package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/zeebo/errs"

	"slatewind.example/slatewind/admin"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/throttle"
)

const (
	// listenRetry is the time between two attempts to open a listener whose address is not free.
	listenRetry = 100 * time.Millisecond
	// listenReportInterval is the time between two log lines about the same wait.
	listenReportInterval = 10 * time.Second
)

// endpoint is a listener of a process and the function that serves it.
type endpoint struct {
	name    string
	address string
	serve   func(net.Listener) error
	// listener is set by openAll.
	listener net.Listener
}

// openAll opens the listeners of all endpoints, or none. Until serveAll is called, connections to them wait. If
// an address is not free, it logs that and tries again until ctx ends: the process that held it before may
// still be stopping. Other errors are returned.
func openAll(ctx context.Context, logger *log.Logger, endpoints []endpoint) error {
	reports := throttle.New(1, listenReportInterval)
	for {
		failed, err := tryOpenAll(endpoints)
		if err == nil {
			return nil
		}
		_ = closeAll(endpoints)
		if !mayBecomeFree(err) {
			return Error.New("cannot listen on %s: %w", endpoints[failed].address, err)
		}
		if allowed, _ := reports.Allow(time.Now()); allowed {
			logger.Error("waiting for a listener's address", "listener", endpoints[failed].name, "address", endpoints[failed].address, "cause", err)
		}
		// It is tried first from now on, so that nobody can connect to the others meanwhile.
		endpoints[0], endpoints[failed] = endpoints[failed], endpoints[0]
		select {
		case <-time.After(listenRetry):
		case <-ctx.Done():
			return Error.New("cannot listen on %s: %w", endpoints[0].address, errors.Join(err, ctx.Err()))
		}
	}
}

// tryOpenAll opens the listeners of the endpoints in order. If one cannot be opened, it returns its index and the
// error.
func tryOpenAll(endpoints []endpoint) (failed int, err error) {
	for i, e := range endpoints {
		listener, err := net.Listen("tcp", e.address)
		if err != nil {
			return i, err
		}
		endpoints[i].listener = listener
	}
	return 0, nil
}

// mayBecomeFree reports whether an error of a listener may pass by itself: its address is in use or not yet
// assigned to the VM, or the system is short of descriptors or memory.
func mayBecomeFree(err error) bool {
	passing := []syscall.Errno{
		syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	}
	return slices.ContainsFunc(passing, func(errno syscall.Errno) bool { return errors.Is(err, errno) })
}

// closeAll closes the open listeners of endpoints.
func closeAll(endpoints []endpoint) error {
	var group errs.Group
	for i, e := range endpoints {
		if e.listener != nil {
			group.Add(e.listener.Close())
			endpoints[i].listener = nil
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
