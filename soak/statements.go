package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/platform"
)

const (
	// statementsTime is how long servers state limits before one of them leaves.
	statementsTime = 12 * time.Second
	// leavingRestarts is how often the process beside the leaving server is restarted, and
	// leavingPause the time before each restart.
	leavingRestarts = 3
	leavingPause    = statedLeaveTime + time.Second
	// limitPause is the time between two changes of limits.
	limitPause = 5 * time.Second
)

// statedLimits are the limits, in requests a second, that servers state; 0 stands for none.
var statedLimits = []float64{0, 1, 2.5, 6}

// limitChange is a change of the limit that a server states; Limit 0 means none.
type limitChange struct {
	Server int
	At     time.Time
	Limit  float64
}

// statement is an answer, as a caller received it, in which a server states a limit or that it leaves.
type statement struct {
	Node, Server int
	At           time.Time
	Leaving      bool
}

// disturbance is a fault of a process or of its links to others.
type disturbance struct {
	Node       int
	Began, End time.Time
}

// checkStatements lets servers state limits, and one of them that it leaves, under load and while
// processes are killed, paused and cut off.
func (f *fleet) checkStatements(ctx context.Context, random *rand.Rand) error {
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	flooding, stop := context.WithCancel(ctx)
	defer stop()
	var work sync.WaitGroup
	for _, n := range f.nodes {
		work.Go(func() { f.press(flooding, n) })
	}
	for i := 1; i < len(f.nodes); i++ {
		f.stateLimit(f.nodes[i], statedLimits[i%len(statedLimits)])
	}
	changed := time.Now()
	for end := time.Now().Add(statementsTime); time.Now().Before(end) && ctx.Err() == nil; {
		if time.Since(changed) >= limitPause {
			f.stateLimit(f.nodes[1+random.IntN(len(f.nodes)-1)], pick(random, statedLimits...))
			changed = time.Now()
		}
		f.disturbNode(ctx, random, f.randomNode(random))
	}
	leaving := f.nodes[0]
	leaving.server.SetLeaving(true)
	for range leavingRestarts {
		sleep(ctx, leavingPause)
		// The new process knows only the entry of the server, in which it does not leave.
		f.restartNode(ctx, leaving)
	}
	sleep(ctx, leavingPause)
	stop()
	work.Wait()
	leaving.server.SetLeaving(false)
	return nil
}

// stateLimit makes a server state a limit in its answers; 0 means none.
func (f *fleet) stateLimit(n *node, limit float64) {
	text := ""
	if limit > 0 {
		text = strconv.FormatFloat(limit, 'f', -1, 64)
	}
	n.server.SetLimit(text)
	add(f.record, &f.record.limitChanges, limitChange{n.number, time.Now(), limit})
}

// disturbNode pauses a process, kills it, with or without a removal of its server's entry meanwhile,
// or cuts it off, for a while.
func (f *fleet) disturbNode(ctx context.Context, random *rand.Rand, n *node) {
	began := time.Now()
	switch random.IntN(4) {
	case 0:
		f.restartNode(ctx, n)
		return
	case 1:
		f.endEntry(n.number)
		f.restartNode(ctx, n)
		f.putEntry(n.number, false)
		return
	case 2:
		p := n.current()
		p.signal(syscall.SIGSTOP)
		sleep(ctx, disturbTime)
		p.signal(syscall.SIGCONT)
	default:
		n.peerProxy.set(linkDropsAll)
		sleep(ctx, disturbTime)
		n.peerProxy.set(linkOpen)
	}
	add(f.record, &f.record.disturbances, disturbance{Node: n.number, Began: began, End: time.Now()})
}

// restartNode kills a process and starts it again.
func (f *fleet) restartNode(ctx context.Context, n *node) {
	began := time.Now()
	f.endAndRestart(n, syscall.SIGKILL)()
	sleep(ctx, disturbTime)
	add(f.record, &f.record.disturbances, disturbance{Node: n.number, Began: began, End: time.Now()})
}

// recordStatement records what a server states in an answer.
func (f *fleet) recordStatement(to int, header http.Header) {
	names := platform.Servers()
	leaving := header.Get(names.Leaving) == slatewind.LeavingValue
	if !leaving && header.Get(names.Limit) == "" {
		return
	}
	server := 0
	if _, err := fmt.Sscanf(header.Get(names.Identity), serverNameFormat, &server); err == nil {
		add(f.record, &f.record.statements, statement{to, server, time.Now(), leaving})
	}
}
