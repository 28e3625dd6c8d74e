package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// host is the host of all routes.
const host = "ads.example"

// kind is a kind of request that requesters send.
type kind struct {
	name, method, target string
	deadline             time.Duration
}

// sent is one request with its answer.
type sent struct {
	id     string
	kind   kind
	at     time.Time
	status int
	stamp  string
	body   string
}

// clients are the requesters of the deployment.
type clients struct {
	fleet *fleet
	http  *http.Client
	wait  sync.WaitGroup

	mu   sync.Mutex
	sent []*sent
}

func newClients(f *fleet) *clients {
	return &clients{fleet: f, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, DisableCompression: true, IdleConnTimeout: 5 * time.Second,
	}}}
}

// watchReady asks every process each second whether it is ready, until ctx ends. Requesters get no
// new work on a machine whose process has missed two questions in a row.
func (c *clients) watchReady(ctx context.Context) {
	for _, m := range c.fleet.machines {
		go func() {
			missed := 0
			for ctx.Err() == nil {
				if missed++; c.fleet.isReady(m) {
					missed = 0
				}
				m.out.Store(missed >= 2)
				time.Sleep(time.Second)
			}
		}()
	}
}

// load sends requests of a kind from all machines at an even rate until ctx ends.
func (c *clients) load(ctx context.Context, k kind, perSecond float64) {
	c.wait.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if m := c.fleet.machines[i%len(c.fleet.machines)]; !m.out.Load() {
				c.wait.Go(func() { c.send(m, k) })
			}
		}
	})
}

// send sends one request to the process on a machine and records the answer.
func (c *clients) send(m *machine, k kind) {
	s := &sent{id: newID(""), kind: k, at: time.Now()}
	c.mu.Lock()
	c.sent = append(c.sent, s)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), k.deadline)
	defer cancel()
	request, err := c.fleet.newRequest(ctx, m, k, s.id)
	if err != nil {
		panic(err)
	}
	c.fleet.record.add("%s sends %s %s %s (%s)", m.name, s.id, k.method, k.target, k.name)
	response, err := c.http.Do(request)
	if err != nil {
		c.fleet.record.add("%s gets no answer: %v", s.id, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		c.fleet.record.add("%s gets an answer that ends early: %v", s.id, err)
		return
	}
	s.status, s.stamp, s.body = response.StatusCode, response.Header.Get("X-Server-Stamp"), string(text)
	c.fleet.record.add("%s gets %d, stamp %q", s.id, s.status, s.stamp)
}

// newRequest returns a request as a requester on a machine sends it.
func (f *fleet) newRequest(ctx context.Context, m *machine, k kind, id string) (*http.Request, error) {
	var body io.Reader
	if k.method == http.MethodPost {
		body = strings.NewReader("amount=" + id)
	}
	request, err := http.NewRequestWithContext(ctx, k.method, fmt.Sprintf("http://%s:%d%s", m.ip, f.outbound, k.target), body)
	if err != nil {
		return nil, err
	}
	// The client must not send a request again by itself.
	request.GetBody = nil
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(k.deadline.Milliseconds(), 10))
	return request, nil
}

// finish waits for all answers and returns the requests.
func (c *clients) finish() []*sent {
	c.wait.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

// statuses returns how many requests of a kind got which status.
func statuses(all []*sent, name string) map[int]int {
	counts := map[int]int{}
	for _, s := range all {
		if s.kind.name == name {
			counts[s.status]++
		}
	}
	return counts
}
