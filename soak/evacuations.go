package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"slatewind.example/slatewind/platform"
)

const (
	// secondDataCentre is the data centre of every other node in runs with evacuations.
	secondDataCentre = "dc-2"
	// evacuations is how often it is evacuated, evacuationTime for how long after it must be empty.
	evacuations    = 3
	evacuationTime = 2 * time.Second
	// evacuateTimeout is the bound of the users: when an evacuation must be in force everywhere.
	evacuateTimeout = 5 * time.Second
	// takenBackTime is the time between two evacuations.
	takenBackTime = time.Second
)

// dataCentreOf returns the data centre of a node.
func (f *fleet) dataCentreOf(i int) string {
	if f.includes(PartEvacuations) && i%2 == 1 {
		return secondDataCentre
	}
	return dataCentre
}

// checkEvacuations evacuates a data centre and takes it back, while processes are killed, paused and
// cut off from the store. Its servers must receive nothing, and callers on all VMs must be served.
func (f *fleet) checkEvacuations(ctx context.Context, random *rand.Rand) error {
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	for range evacuations {
		f.store.Put(platform.EvacuatePrefix+secondDataCentre, []byte("{}"))
		f.disturbProcesses(ctx, random, evacuateTimeout)
		empty := time.Now()
		f.disturbProcesses(ctx, random, evacuationTime)
		if ctx.Err() != nil {
			return nil
		}
		if err := f.awaitReady(ctx); err != nil {
			return err
		}
		f.checkServed(ctx, "evacuated")
		end := time.Now()
		f.store.Delete(platform.EvacuatePrefix + secondDataCentre)
		for _, n := range f.nodes {
			if f.dataCentreOf(n.number) == secondDataCentre {
				f.record.addEvacuation(evacuated{n.number, empty, end})
			}
		}
		sleep(ctx, takenBackTime)
	}
	return nil
}

// disturbProcesses injects faults into processes, one after the other, for a while: faults after
// which a process can still hear from the others.
func (f *fleet) disturbProcesses(ctx context.Context, random *rand.Rand, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; {
		repair := pick(random, pauseFault, killFault, storeLinkFault)(f, random)
		sleep(ctx, disturbTime)
		repair()
	}
}

// checkServed checks that callers of each process are served.
func (f *fleet) checkServed(ctx context.Context, while string) {
	client := newCaller()
	defer client.CloseIdleConnections()
	for _, n := range f.nodes {
		served := func() bool {
			status, _ := f.send(client, n.number, repeatablePath, newID())
			return status == http.StatusOK
		}
		if isOverdue(ctx, f.options.Timeout, served) {
			f.record.addBreach(PromiseEvacuation, "callers of node %d are not served while a data centre is %s", n.number, while)
		}
	}
}

// evacuated is the time in which a server must receive nothing.
type evacuated struct {
	Server   int
	From, To time.Time
}

// verifyEvacuations checks that evacuated servers received no requests.
func verifyEvacuations(spans []evacuated, arrivals []arrival) (breaches []Breach) {
	for _, span := range spans {
		for _, a := range arrivals {
			if a.Server == span.Server && within(a.At, span.From, span.To) {
				detail := fmt.Sprintf("server %d received request %s %s after its data centre had to be empty", a.Server, a.ID, a.At.Sub(span.From))
				breaches = append(breaches, Breach{PromiseEvacuation, detail})
			}
		}
	}
	return breaches
}
