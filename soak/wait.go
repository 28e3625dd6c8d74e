package soak

import (
	"context"
	"net/http"
	"time"

	"slatewind.example/slatewind/platform"
)

const (
	// pollInterval is the interval at which await calls done.
	pollInterval = 20 * time.Millisecond
	// readyTimeout is how long a process may take to become ready. No promise depends on it:
	// starting takes long when processors are scarce, since a process calls others while it
	// starts.
	readyTimeout = time.Minute
	// readyRequestTimeout bounds one readiness request.
	readyRequestTimeout = time.Second
)

// awaitReady waits until every process is ready. It fails at once if a process has exited.
func (f *fleet) awaitReady(ctx context.Context) error {
	for _, n := range f.nodes {
		ready := await(ctx, readyTimeout, func() bool { return n.current().hasEnded() || f.isReady(n) })
		if p := n.current(); p.hasEnded() {
			return Error.New("node %d has ended (%s); its log is in %s", n.number, p.end(), f.dir)
		}
		if !ready {
			return Error.New("node %d is not ready after %s; its log is in %s", n.number, readyTimeout, f.dir)
		}
	}
	return nil
}

// isReady reports whether a node's process is ready.
func (f *fleet) isReady(n *node) bool {
	return statusOf("http://"+f.address(ownBase, n.number, portReady)+platform.ReadyPath) == http.StatusOK
}

// statusOf returns the status of the response to a GET request, or 0 if there was none.
func statusOf(url string) int {
	client := http.Client{Timeout: readyRequestTimeout}
	response, err := client.Get(url)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// isOverdue waits as await does and reports whether the timeout passed before done returned
// true; it returns false if the run was ended early.
func isOverdue(ctx context.Context, timeout time.Duration, done func() bool) bool {
	return !await(ctx, timeout, done) && ctx.Err() == nil
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

// await polls done until it returns true, at most for the timeout, and reports whether it did.
func await(ctx context.Context, timeout time.Duration, done func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(pollInterval) {
		if done() {
			return true
		}
	}
	return false
}
