package main

import (
	"fmt"
	"time"
)

// slashes checks UNASKED: a server runs no request whose path was changed. The disruption is the form of the path: it begins
// with two slashes, as after the joining of a base address and a path that both have one.
func slashes(f *fleet, trouble bool) (string, error) {
	const host, machines, requests = "shop.example", 3, 10
	for machine := range machines {
		if err := f.store.listen(machine, f.at(machine, f.ports.store)); err != nil {
			return "", err
		}
	}
	f.configure(7, fields{
		"r-all":  route(host, "/", "safe", "shop", 2*time.Second, 500*time.Millisecond),
		"r-list": route(host, "/list/", "safe", "shop", 2*time.Second, 500*time.Millisecond),
	}, fields{"shop": serviceOf()})
	var servers []*server
	for machine := range machines {
		s, err := f.addServer(machine, "shop", 4, nil)
		if err != nil {
			return "", err
		}
		servers = append(servers, s)
		if err := f.startNode(machine, "shop"); err != nil {
			return "", err
		}
	}
	for machine := range machines {
		if err := f.awaitReady(machine); err != nil {
			return "", err
		}
	}
	path := "/items/2f?page=1"
	if trouble {
		path = "//items/2f?page=1"
	}
	for i := range requests {
		id := newID()
		f.record.add("request %s sent to machine %d: GET %s", id, i%machines, path)
		a := send(f.outbound(i%machines), "GET", head("GET", path, host, id, 1500*time.Millisecond), nil, 3*time.Second)
		f.record.add("request %s gets %s", id, a.text())
	}
	changed, ran, example := 0, 0, ""
	for _, s := range servers {
		for _, r := range s.taken() {
			ran++
			if r.target != path {
				changed++
				example = r.target
			}
		}
	}
	if ran == 0 {
		return "", fmt.Errorf("no request was run")
	}
	if changed > 0 {
		return fmt.Sprintf("UNASKED: %d of %d requests for %s were run with another path: %s", changed, ran, path, example), nil
	}
	return "", nil
}
