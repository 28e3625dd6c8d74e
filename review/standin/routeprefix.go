package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"
)

// configPrefix is the configuration of the case. With the listing, another route is added whose
// prefix is longer than the target of the payments.
func configPrefix(version string, listing bool) map[string]any {
	routes := map[string]any{
		"r-ads": map[string]any{
			"Host": host, "PathPrefix": "/ads/", "Kind": "unsafe", "TimeoutMs": 2500, "TargetLatencyMs": 800, "Priority": 1,
			"Service": "vitrine", "RetryAttempts": 2,
		},
		"r-browse": map[string]any{
			"Host": host, "PathPrefix": "/browse/", "Kind": "safe", "TimeoutMs": 2000, "TargetLatencyMs": 800, "Priority": 2,
			"Service": "vitrine", "RetryAttempts": 2,
		},
		"r-search": map[string]any{
			"Host": host, "PathPrefix": "/search/", "Kind": "safe", "TimeoutMs": 1500, "TargetLatencyMs": 250, "Priority": 1,
			"Service": "annonces", "RetryAttempts": 2,
		},
	}
	if listing {
		routes["r-listing"] = map[string]any{
			"Host": host, "PathPrefix": "/ads/boost/", "Kind": "safe", "TimeoutMs": 2000, "TargetLatencyMs": 800, "Priority": 2,
			"Service": "vitrine", "RetryAttempts": 2,
		}
	}
	return config(version, routes)
}

// config returns a configuration with the services of the cases.
func config(version string, routes map[string]any) map[string]any {
	service := map[string]any{"HealthPath": healthPath, "MaxConnections": 330, "Protocol": "h1", "Tls": false}
	return map[string]any{
		"Version": version, "Routes": routes, "Services": map[string]any{"vitrine": service, "annonces": service},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// lostOnly is the value of TROUBLE with which answers are lost but the configuration stays.
const lostOnly = "lost"

// playRoutePrefix adds a safe route /ads/boost/ beside the unsafe route /ads/, to which POST
// /ads/boost belongs, and then loses answers of servers.
func playRoutePrefix(f *fleet, trouble bool) (broken int, err error) {
	f.store.Put("op/config", configPrefix("00000003", false))
	for _, service := range []string{"vitrine", "vitrine", "annonces", "vitrine", "vitrine", "annonces"} {
		if err := f.add(service, 60*time.Millisecond); err != nil {
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
	c.watchReady(ctx)
	c.load(ctx, pay, 40)
	c.load(ctx, kind{"browse-list", http.MethodGet, "/browse/2f", 4 * time.Second}, 30)
	c.load(ctx, kind{"search-ads", http.MethodGet, "/search/2f", 1500 * time.Millisecond}, 10)
	time.Sleep(12 * time.Second)
	if trouble && os.Getenv("TROUBLE") != lostOnly {
		f.store.Put("op/config", configPrefix("00000007", true))
		f.record.say("version 00000007, which adds the safe route /ads/boost/, is acknowledged")
	}
	time.Sleep(2 * configTime)
	if trouble {
		// answer_lost: half of the servers of the service lose the answers of 0.05 of their runs.
		for _, i := range []int{0, 3} {
			f.machines[i].server.lose.Store(50)
		}
		f.record.say("two of the four servers of vitrine lose one answer in twenty")
	}
	time.Sleep(30 * time.Second)
	cancel()
	all := c.finish()
	for _, s := range all {
		if s.kind != pay {
			continue
		}
		if ran := f.runs.of(s.id); len(ran) > 1 {
			broken++
			f.record.add("TWICE: %s ran %d times: %v", s.id, len(ran), ran)
		}
	}
	counts := statuses(all, pay.name)
	f.record.say("boost-pay by status: %v, of them run more than once: %d", counts, broken)
	if counts[http.StatusOK] < 100 {
		return 0, errors.New("hardly any request was served")
	}
	return broken, nil
}
