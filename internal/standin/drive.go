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

// Target is one kind of request that a driver sends.
type Target struct {
	Method string
	Path   string
	Once   bool
	// Share of all requests.
	Share float64
}

// Counts is what became of the requests that callers sent.
type Counts struct {
	Requests atomic.Int64
	// Whole answers that belong to their request.
	Whole atomic.Int64
	// Wrong answers: another's, or cut short but ended as if complete.
	Wrong   atomic.Int64
	NotRun  atomic.Int64
	Unknown atomic.Int64
	// Failed requests got a plain failure: a cut connection or an error status.
	Failed atomic.Int64
}

// Driver stands in for callers: it sends requests to ingresses, retries as
// callers do, and counts what came back.
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

	mu    sync.Mutex
	notes []string
}

// maxNotes bounds how many answers that were not whole are kept.
const maxNotes = 20

// Notes returns what callers were told in place of a whole answer, the first
// few times.
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
	// callerTimeout is how long a caller waits for one answer.
	callerTimeout = 5 * time.Second
	// callerAttempts is how often a caller tries a once-request.
	callerAttempts = 3
	// customers is the number of customers whose requests are mixed.
	customers = 20
)

// Run sends requests until ctx ends and waits for their answers.
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
			group.Go(d.one)
		}
	}
}

func (d *Driver) one() {
	target := d.pick()
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

func (d *Driver) pick() Target {
	at := rand.Float64()
	for _, target := range d.Targets {
		if at -= target.Share; at < 0 {
			return target
		}
	}
	return d.Targets[len(d.Targets)-1]
}

// Outcomes that only a caller sees.
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
		// The customer is part of a key's scope, so a retry keeps it.
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
	outcome := judge(response, string(body), nonce, err)
	if outcome != slatewind.OutcomeAnswer {
		d.note("%s attempt %d at %s: request %s: %s: %s", nonce, n, address,
			response.Header.Get(ingress.HeaderRequest), outcome, strings.TrimSpace(string(body)))
	}
	return outcome
}

// judge says what a caller makes of an answer.
func judge(response *http.Response, body, nonce string, err error) slatewind.Outcome {
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
