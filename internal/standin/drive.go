package standin

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/ingress"
)

// Target describes a kind of request that a driver sends.
type Target struct {
	Method string
	Path   string
	// Once sends an idempotency key, with retries.
	Once bool
	// Share is the share of all requests, from 0 to 1.
	Share float64
}

// Counts holds the results of the requests that callers sent.
type Counts struct {
	Requests atomic.Int64
	// Whole counts complete answers that belong to their request.
	Whole atomic.Int64
	// Wrong counts answers that belong to another request, or that are truncated
	// but ended as if complete.
	Wrong   atomic.Int64
	NotRun  atomic.Int64
	Unknown atomic.Int64
	// Failed counts requests that got no outcome but a broken connection or an error
	// status.
	Failed atomic.Int64
}

// Driver is a stand-in for callers. It sends requests to ingresses, retries as
// callers do, and counts the results.
type Driver struct {
	Ingresses []string
	Targets   []Target
	// Rate is the number of requests a second.
	Rate float64
	// WorkspaceKey is the key that callers send, if any.
	WorkspaceKey string
	Counts       Counts

	client http.Client
	sent   atomic.Int64

	// mu guards notes.
	mu    sync.Mutex
	notes []string
}

// maxNotes is the maximum number of notes that a driver keeps.
const maxNotes = 20

// Notes returns descriptions of the first maxNotes attempts that got no complete
// answer.
func (d *Driver) Notes() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.notes
}

func (d *Driver) note(format string, values ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.notes) < maxNotes {
		d.notes = append(d.notes, fmt.Sprintf(format, values...))
	}
}

const (
	// callerTimeout is the time limit for one attempt of a caller.
	callerTimeout = 5 * time.Second
	// callerAttempts is the maximum number of attempts for a request of kind once.
	callerAttempts = 3
	// customers is the number of customers that send requests.
	customers = 20
)

// Run sends requests until ctx ends and waits until the last are answered.
func (d *Driver) Run(ctx context.Context) {
	d.client.Timeout = callerTimeout
	d.client.Transport = &http.Transport{MaxIdleConnsPerHost: customers}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / d.Rate))
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			group.Go(d.sendOne)
		}
	}
}

func (d *Driver) sendOne() {
	target := d.pickTarget()
	nonce := fmt.Sprintf("n%d", d.sent.Add(1))
	key := ""
	if target.Once {
		key = fmt.Sprintf("key-%s-%x", nonce, rand.Uint64())
	}
	d.Counts.Requests.Add(1)
	for n := 1; ; n++ {
		outcome := d.send(target, nonce, key, n)
		if outcome == slatewind.OutcomeAnswer || !target.Once || n == callerAttempts {
			d.count(outcome)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (d *Driver) pickTarget() Target {
	at := rand.Float64()
	for _, target := range d.Targets {
		if at -= target.Share; at < 0 {
			return target
		}
	}
	return d.Targets[len(d.Targets)-1]
}

// Outcomes that exist only in the view of a caller.
const (
	outcomeWrong  slatewind.Outcome = "wrong"
	outcomeFailed slatewind.Outcome = "failed"
)

func (d *Driver) count(outcome slatewind.Outcome) {
	switch outcome {
	case slatewind.OutcomeAnswer:
		d.Counts.Whole.Add(1)
	case slatewind.OutcomeNotRun:
		d.Counts.NotRun.Add(1)
	case slatewind.OutcomeUnknown:
		d.Counts.Unknown.Add(1)
	case outcomeWrong:
		d.Counts.Wrong.Add(1)
	default:
		d.Counts.Failed.Add(1)
	}
}

func (d *Driver) send(target Target, nonce, key string, n int) slatewind.Outcome {
	address := d.Ingresses[rand.IntN(len(d.Ingresses))]
	r, err := http.NewRequest(target.Method, "http://"+address+target.Path, strings.NewReader(""))
	if err != nil {
		return outcomeFailed
	}
	r.Header.Set(HeaderNonce, nonce)
	if d.WorkspaceKey != "" {
		r.Header.Set(ingress.HeaderWorkspaceKey, d.WorkspaceKey)
	}
	r.Header.Set(ingress.HeaderCustomer, fmt.Sprintf("customer-%d", rand.IntN(customers)))
	if key != "" {
		// The customer is part of the scope of a key, so retries must send the same one.
		r.Header.Set(ingress.HeaderCustomer, "customer-of-"+key)
		r.Header.Set(ingress.HeaderKey, key)
		r.Header.Set(ingress.HeaderAttempt, fmt.Sprint(n))
	}
	response, err := d.client.Do(r)
	if err != nil {
		d.note("%s attempt %d: %v", nonce, n, err)
		return outcomeFailed
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	outcome := classify(response, string(body), nonce, err)
	if outcome != slatewind.OutcomeAnswer {
		d.note("%s attempt %d at %s: request %s: %s: %s", nonce, n, address,
			response.Header.Get(ingress.HeaderRequest), outcome, strings.TrimSpace(string(body)))
	}
	return outcome
}

// classify returns the outcome of an attempt in the view of its caller.
func classify(response *http.Response, body, nonce string, err error) slatewind.Outcome {
	if outcome := response.Header.Get(ingress.HeaderOutcome); outcome != "" {
		return slatewind.Outcome(outcome)
	}
	if err != nil || response.StatusCode != http.StatusOK {
		return outcomeFailed
	}
	own := strings.Contains(body, " nonce="+nonce+" ")
	if own && strings.HasPrefix(body, bodyBegin) && strings.HasSuffix(body, bodyEnd) {
		return slatewind.OutcomeAnswer
	}
	return outcomeWrong
}
