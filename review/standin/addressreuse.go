package main

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// Times of the case.
const (
	// reuseMargin is how much later than ReuseAfterS another server gets the address.
	reuseMargin = 100 * time.Millisecond
	// firstEntry is how long after its start a server checks in first: within one heartbeat.
	firstEntry = heartbeat * 2 / 3
	serverWork = 60 * time.Millisecond
)

// replacement is one server whose address goes to another service.
type replacement struct {
	machine int
	// stopAfter is how long after the end of the server the process beside it gets SIGTERM.
	stopAfter time.Duration
}

// playAddressReuse lets a server of vitrine crash and gives its address, after ReuseAfterS, to a
// server of annonces; then the same with two others. The process beside it gets SIGTERM after its
// server has ended, at the latest when the server's entry is gone. It is started again with the
// settings of the new server.
func playAddressReuse(f *fleet, trouble bool) (broken int, err error) {
	f.store.Put("op/config", configPrefix("00000003", false))
	for _, service := range []string{"vitrine", "vitrine", "annonces", "vitrine", "vitrine", "annonces", "vitrine", "vitrine"} {
		if err := f.add(service, serverWork); err != nil {
			return 0, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return 0, err
	}
	c := newClients(f)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	pay := kind{"boost-pay", http.MethodPost, "/ads/boost", 5 * time.Second}
	browse := kind{"browse-list", http.MethodGet, "/browse/2f", 4 * time.Second}
	search := kind{"search-ads", http.MethodGet, "/search/2f", 1500 * time.Millisecond}
	c.watchReady(ctx)
	c.load(ctx, pay, 40)
	c.load(ctx, browse, 40)
	c.load(ctx, search, 15)
	time.Sleep(12 * time.Second)
	replacements := []replacement{{machine: 0, stopAfter: time.Second}, {machine: 4, stopAfter: 3 * heartbeat}, {machine: 6, stopAfter: 2 * heartbeat}}
	for _, r := range replacements {
		if trouble {
			if err := f.replace(f.machines[r.machine], "annonces", r.stopAfter); err != nil {
				return 0, err
			}
		}
		time.Sleep(12 * time.Second)
	}
	cancel()
	all := c.finish()
	services := map[string]string{pay.name: "vitrine", browse.name: "vitrine", search.name: "annonces"}
	wrong := map[string]int{}
	for _, s := range all {
		for _, ran := range f.runs.of(s.id) {
			if ran.service != services[s.kind.name] {
				broken++
				wrong[s.kind.name]++
				f.record.add("ROUTE: %s (%s) was run by service %s, answered with status %d", s.id, s.kind.name, ran.service, s.status)
			}
		}
	}
	counts := statuses(all, pay.name)
	f.record.say("boost-pay by status: %v; run by a service that no configuration allows: %v", counts, wrong)
	if counts[http.StatusOK] < 100 {
		return 0, errors.New("hardly any request was served")
	}
	return broken, nil
}

// replace lets the server of a machine crash and gives its address to a server of another service.
func (f *fleet) replace(m *machine, service string, stopAfter time.Duration) error {
	m.server.crash()
	m.service = service
	time.AfterFunc(stopAfter, func() { f.terminate(m) })
	time.Sleep(reuseAfter + reuseMargin)
	if err := f.startServer(m, serverWork, firstEntry); err != nil {
		return err
	}
	f.record.say("on %s, a server of %s has the address of the server that crashed", m.name, service)
	return nil
}
