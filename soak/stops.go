package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// graceTime is the time that the settings give a process to stop.
	graceTime = 6 * time.Second
	// hangTime is how long a process is suspended while others stop. It is below clientTimeout,
	// so that its callers receive an answer.
	hangTime = 3 * time.Second
)

// Bounds of the random times in a series of stops.
const (
	// minStopGap and maxStopGap bound the time between two stops, so that stops overlap.
	minStopGap = 500 * time.Millisecond
	maxStopGap = 2 * time.Second
	// maxHangDelay bounds the time from the first stop until a process is suspended.
	maxHangDelay = time.Second
	// A stopping process receives SIGHUP, which makes it reload its settings, and then SIGTERM
	// again, after these times since the first SIGTERM.
	minReloadDelay     = 300 * time.Millisecond
	maxReloadDelay     = 2 * time.Second
	minSecondStopDelay = 2 * time.Second
	maxSecondStopDelay = 4 * time.Second
)

// plannedStop is a process that was sent SIGTERM while nothing else ends it.
type plannedStop struct {
	Node int
	// Asked is when SIGTERM was sent, Ended when the process had exited; Ended is zero if the
	// process had not exited by the end of the grace time.
	Asked, Ended time.Time
}

// hang is a time in which a process was suspended.
type hang struct {
	Node     int
	From, To time.Time
}

// checkStops sends SIGTERM to several processes, with their stops overlapping. Callers use them
// until they have exited, and another process is suspended for a while.
func (f *fleet) checkStops(ctx context.Context, random *rand.Rand) error {
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	f.slowServers(ctx)
	f.stopping.Store(true)
	var work sync.WaitGroup
	last := len(f.nodes) - 1
	if others := f.nodes[:last]; len(others) > 1 {
		after := randomDuration(random, 0, maxHangDelay)
		work.Go(func() { f.hangOne(ctx, others[len(others)-1], after) })
	}
	for _, n := range f.nodes[:max(1, last/2)] {
		reload, again := randomDuration(random, minReloadDelay, maxReloadDelay), randomDuration(random, minSecondStopDelay, maxSecondStopDelay)
		work.Go(func() { f.stopOne(ctx, n, reload, again) })
		sleep(ctx, randomDuration(random, minStopGap, maxStopGap))
	}
	work.Wait()
	return nil
}

// hangOne suspends a process for hangTime.
func (f *fleet) hangOne(ctx context.Context, n *node, after time.Duration) {
	sleep(ctx, after)
	h := hang{Node: n.number, From: time.Now()}
	n.current().signal(syscall.SIGSTOP)
	sleep(ctx, hangTime)
	n.current().signal(syscall.SIGCONT)
	h.To = time.Now()
	f.record.addHang(h)
}

// stopOne sends SIGTERM, SIGHUP and SIGTERM again to a process and waits until it has exited by
// itself; it kills the process at the end of the grace time.
func (f *fleet) stopOne(ctx context.Context, n *node, reload, again time.Duration) {
	p, s := n.current(), plannedStop{Node: n.number, Asked: time.Now()}
	p.signal(syscall.SIGTERM)
	timers := []*time.Timer{
		time.AfterFunc(reload, func() { f.changeSettings(n, p) }),
		time.AfterFunc(again, func() { p.signal(syscall.SIGTERM) }),
	}
	if isOverdue(ctx, graceTime, p.hasEnded) {
		p.kill()
	} else if ctx.Err() == nil {
		s.Ended = time.Now()
	}
	for _, t := range timers {
		t.Stop()
	}
	if ctx.Err() == nil {
		f.record.addStop(s)
	}
}

// changeSettings changes a key that can be reloaded in a process's settings file and sends
// SIGHUP.
func (f *fleet) changeSettings(n *node, p *process) {
	text := f.processSettings(n.number, service) + "log_level: debug\n"
	if err := os.WriteFile(f.settingsFile(n), []byte(text), 0o600); err != nil {
		f.record.addFailure(Error.Wrap(err))
		return
	}
	p.signal(syscall.SIGHUP)
}
