package soak

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"slatewind.example/slatewind"
)

// longWork are the times that servers take for a request, one for each stop.
var longWork = []time.Duration{900 * time.Millisecond, 1800 * time.Millisecond, 3 * time.Second}

const (
	// longStopCallers is the number of callers that keep using the stopping process: more than the servers' slots, so that
	// requests also wait.
	longStopCallers = 30
	// maxLongPipelined is the maximum number of requests that such a caller writes before it reads their answers.
	maxLongPipelined = 3
	// maxLongBody is the maximum length of a body in addition to the id; a slow one is written in steps of bodyStep, with
	// pauses of at most maxBodyPause.
	maxLongBody  = 512 << 10
	bodyStep     = 64 << 10
	maxBodyPause = 100 * time.Millisecond
)

// checkLongStops stops one process after the other, without other faults, while its callers send requests until it has
// exited. What it takes must end.
func (f *fleet) checkLongStops(ctx context.Context, random *rand.Rand) error {
	f.publishUploads(longPath)
	sleep(ctx, settingsTimeout)
	f.stopping.Store(true)
	for i, work := range longWork {
		if err := f.awaitReady(ctx); err != nil {
			return err
		}
		for _, n := range f.nodes {
			n.server.SetDelay(work)
		}
		f.stopWithLongWork(ctx, random, f.nodes[i%len(f.nodes)], work)
	}
	return nil
}

// stopWithLongWork stops a process while servers take a time for each request, and starts it again.
func (f *fleet) stopWithLongWork(ctx context.Context, random *rand.Rand, n *node, work time.Duration) {
	p := n.current()
	using, stop := context.WithCancel(ctx)
	defer stop()
	var callers sync.WaitGroup
	for i := range longStopCallers {
		own := rand.New(rand.NewPCG(random.Uint64(), uint64(i)))
		callers.Go(func() {
			for using.Err() == nil {
				f.useUntilClosed(using, n, own)
			}
		})
	}
	sleep(ctx, work)
	s := longStop{plannedStop{Node: n.number, Asked: time.Now()}, work}
	p.signal(syscall.SIGTERM)
	if isOverdue(ctx, graceTime, p.hasEnded) {
		p.kill()
	} else if ctx.Err() == nil {
		s.Ended = time.Now()
	}
	stop()
	callers.Wait()
	if ctx.Err() != nil {
		return
	}
	f.record.addStop(s.plannedStop)
	add(f.record, &f.record.longStops, s)
	f.relaunch(n, p)
}

// useUntilClosed opens a connection to a process and sends requests on it, after drawn times, until the process closes it or ctx
// ends.
func (f *fleet) useUntilClosed(ctx context.Context, n *node, random *rand.Rand) {
	conn, err := net.DialTimeout("tcp", f.address(ownBase, n.number, portCallers), connectTimeout)
	if err != nil {
		sleep(ctx, pollInterval)
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		sleep(ctx, time.Duration(random.Int64N(int64(graceTime))))
		if ctx.Err() != nil {
			return
		}
		_ = conn.SetDeadline(time.Now().Add(uploadTimeout))
		var sent []rawRequest
		for range 1 + random.IntN(maxLongPipelined) {
			r := newRawRequest(random, n, pick(random, slatewind.KindSingle, slatewind.KindRepeatable), maxLongBody)
			r.deadline, r.path = uploadTimeout, longPath
			if r.Kind == slatewind.KindSingle {
				r.path = uploadPath
			}
			sent = append(sent, r)
			if r.write(slowly(conn, random)) != nil {
				break
			}
		}
		for _, r := range sent {
			err = f.readAnswer(reader, r)
		}
		if err != nil {
			return
		}
	}
}

// slowly returns a writer to a connection; every other one writes long texts in steps with pauses.
func slowly(conn net.Conn, random *rand.Rand) io.Writer {
	if random.IntN(2) == 0 {
		return conn
	}
	return slowWriter{conn, time.Duration(random.Int64N(int64(maxBodyPause)))}
}

// slowWriter writes in steps of bodyStep bytes, with a pause after each.
type slowWriter struct {
	to    io.Writer
	pause time.Duration
}

// Write implements io.Writer.
func (w slowWriter) Write(b []byte) (n int, err error) {
	for err == nil && n < len(b) {
		var part int
		part, err = w.to.Write(b[n:min(n+bodyStep, len(b))])
		n += part
		time.Sleep(w.pause)
	}
	return n, err
}
