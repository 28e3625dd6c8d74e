package measure

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"slatewind.example/slatewind"
)

// Result is what one run brought, or several together.
type Result struct {
	// Detections of sick servers, one for each ingress.
	Detections []Detection
	False      int
	// ServerHours is the time that healthy servers were judged, over all nodes.
	ServerHours float64
	Latency     []time.Duration
	// Good and Offered count interactive requests after the fault began.
	Good    int
	Offered int
	// Capacity is how many requests the healthy slots could have served then.
	Capacity    float64
	requests    int
	attempts    int
	floorBroken int
}

// Detection is how long an ingress went on sending work to a sick server.
type Detection struct {
	// After is the time to the ejection; runTime where there was none.
	After time.Duration
	// Observed is how many outcomes the server had shown by then.
	Observed int
	Missed   bool
	// Weight is the work that the ingress sent there before the fault.
	Weight int
}

func newResult() *Result { return &Result{} }

func (r *Result) offered(m *model, rq *request) {
	r.requests++
	if m.faulty() && rq.priority == slatewind.PriorityInteractive && rq.retries == 0 {
		r.Offered++
	}
}

func (r *Result) answered(m *model, rq *request) {
	if rq.born < warmUp || rq.priority != slatewind.PriorityInteractive {
		return
	}
	r.Good++
	r.Latency = append(r.Latency, m.queue.Now()-rq.born)
}

func (r *Result) ejected(m *model, n *node, server int) {
	if !m.sick(n.id, server) {
		r.False++
		return
	}
	if !n.detected[server] {
		n.detected[server] = true
		r.Detections = append(r.Detections, Detection{
			After: m.queue.Now() - warmUp, Observed: m.servers[server].observed, Weight: n.sent[server],
		})
	}
}

// finish adds what is known only at the end of a run.
func (r *Result) finish(m *model) {
	sick := 0
	for _, n := range m.nodes {
		for i := range m.servers {
			if !m.sick(n.id, i) {
				continue
			}
			sick++
			if !n.detected[i] {
				r.Detections = append(r.Detections, Detection{
					After: runTime, Observed: m.servers[i].observed, Missed: true, Weight: n.sent[i],
				})
			}
		}
	}
	judged := float64(len(m.nodes)*len(m.servers))*m.end.Hours() - float64(sick)*runTime.Hours()
	r.ServerHours = judged
	mean := float64(m.profile.Service) * math.Exp(m.profile.Spread*m.profile.Spread/2)
	r.Capacity = m.healthySlots() * float64(runTime) / mean
}

// healthySlots is how many slots' worth of work the servers can do under the
// scenario's faults.
func (m *model) healthySlots() float64 {
	slots := 0.0
	for i := range m.servers {
		share := 1.0
		for _, f := range m.scenario.Faults {
			if !f.Shared && f.Server != i {
				continue
			}
			switch {
			case f.Hang:
				share = 0
			case f.Slow > 0 && f.Cold == 0 && f.Period == 0:
				share /= f.Slow
			}
		}
		slots += share * float64(m.profile.Slots)
	}
	return slots
}

func (r *Result) add(o *Result) {
	r.Detections = append(r.Detections, o.Detections...)
	r.False += o.False
	r.ServerHours += o.ServerHours
	r.Latency = append(r.Latency, o.Latency...)
	r.Good += o.Good
	r.Offered += o.Offered
	r.Capacity += o.Capacity
	r.requests += o.requests
	r.attempts += o.attempts
	r.floorBroken += o.floorBroken
}

// Row is one line of the report.
type Row struct {
	Scenario        string
	Profile         string
	Strategy        StrategyName
	HeldBack        bool
	DetectMedian    time.Duration
	DetectP95       time.Duration
	Missed          float64
	Observed        float64
	Bound           float64
	FalsePerHour    float64
	Goodput         float64
	P99             time.Duration
	ExtraPerRequest float64
	FloorKept       bool
}

// Options says what is measured.
type Options struct {
	// Scenarios by name; empty is all.
	Scenarios []string
	Seeds     int
	// Caution overrides the profiles' where it is not zero.
	Caution    float64
	Strategies []StrategyName
}

// job is the runs of one row.
type job struct {
	scenario Scenario
	profile  Profile
	strategy StrategyName
}

// Measure runs every scenario under every strategy and seed.
func Measure(o Options) []Row {
	var jobs []job
	for _, s := range Scenarios {
		if len(o.Scenarios) > 0 && !slices.Contains(o.Scenarios, s.Name) {
			continue
		}
		for _, name := range s.Profiles {
			profile := Profiles[name]
			if o.Caution > 0 {
				profile.Caution = o.Caution
			}
			for _, strategy := range o.Strategies {
				jobs = append(jobs, job{s, profile, strategy})
			}
		}
	}
	rows := make([]Row, len(jobs))
	var group sync.WaitGroup
	slots := make(chan struct{}, max(runtime.GOMAXPROCS(0)-1, 1))
	for i, j := range jobs {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			sum := newResult()
			for seed := range o.Seeds {
				sum.add(run(j.scenario, j.profile, j.strategy, uint64(seed+1)))
			}
			rows[i] = j.row(sum)
		})
	}
	group.Wait()
	return rows
}

func (j job) row(r *Result) Row {
	slices.Sort(r.Latency)
	median, p95 := r.detection(0.5), r.detection(0.95)
	row := Row{
		Scenario: j.scenario.Name, Profile: j.profile.Name, Strategy: j.strategy, HeldBack: j.scenario.HeldBack,
		DetectMedian: median.After, DetectP95: p95.After, Missed: r.missed(),
		Observed: float64(median.Observed), Bound: j.bound(),
		FalsePerHour: float64(r.False) / r.ServerHours,
		Goodput:      float64(r.Good) / min(float64(r.Offered), r.Capacity),
		P99:          quantile(r.Latency, 0.99),
		FloorKept:    r.floorBroken == 0,
	}
	row.ExtraPerRequest = float64(r.attempts-r.requests) / float64(r.requests)
	return row
}

// bound is the least mean number of requests to detection at the same rate of
// false alarms, threshold over divergence, where the model gives the
// divergence.
func (j job) bound() float64 {
	if len(j.scenario.Faults) != 1 {
		return 0
	}
	f := j.scenario.Faults[0]
	if f.Slow == 0 || f.Shared || f.Period > 0 || f.Cold > 0 || j.strategy != StrategyOurs {
		return 0
	}
	shift := math.Log(f.Slow)
	divergence := shift * shift / (2 * j.profile.Spread * j.profile.Spread)
	return j.profile.Caution / divergence
}

// detection returns the detection before which a share of the sick servers'
// work had been taken away: each ingress counts by the work that it sent.
func (r *Result) detection(share float64) Detection {
	slices.SortFunc(r.Detections, func(a, b Detection) int { return int(a.After - b.After) })
	total := 0
	for _, d := range r.Detections {
		total += d.Weight
	}
	passed := 0
	for _, d := range r.Detections {
		passed += d.Weight
		if float64(passed) > share*float64(total) {
			return d
		}
	}
	return Detection{}
}

// missed returns the share of the sick servers' work that was never taken away.
func (r *Result) missed() float64 {
	missed, total := 0, 0
	for _, d := range r.Detections {
		total += d.Weight
		if d.Missed {
			missed += d.Weight
		}
	}
	return float64(missed) / float64(max(total, 1))
}

func quantile[T any](sorted []T, q float64) T {
	var none T
	if len(sorted) == 0 {
		return none
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// WriteTable writes rows for a terminal.
func WriteTable(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "scenario\tservice\tstrategy\tdetect p50\tp95\tmissed\trequests\tbound\tfalse/server-h\tgoodput\tp99\textra\tfloor")
	for _, r := range rows {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.0f%%\t%s\t%s\t%.2f\t%.2f\t%s\t%.2f\t%s\n",
			r.Scenario, r.Profile, r.Strategy, orDash(r.DetectMedian), orDash(r.DetectP95), r.Missed*100,
			number(r.Observed), number(r.Bound), r.FalsePerHour, r.Goodput, r.P99.Round(time.Millisecond), r.ExtraPerRequest, kept(r.FloorKept))
	}
	return t.Flush()
}

func orDash(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return d.Round(time.Millisecond).String()
}

func number(x float64) string {
	if x == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", x)
}

func kept(floor bool) string {
	if floor {
		return "kept"
	}
	return "BROKEN"
}

// WriteCSV writes rows as CSV; times are in milliseconds.
func WriteCSV(w io.Writer, rows []Row) error {
	c := csv.NewWriter(w)
	_ = c.Write([]string{"scenario", "service", "strategy", "held_back", "detect_p50_ms", "detect_p95_ms", "missed", "requests", "bound", "false_per_server_hour", "goodput", "p99_ms", "extra", "floor_kept"})
	ms := func(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }
	for _, r := range rows {
		_ = c.Write([]string{
			r.Scenario, r.Profile, string(r.Strategy), fmt.Sprint(r.HeldBack), ms(r.DetectMedian), ms(r.DetectP95),
			fmt.Sprintf("%.3f", r.Missed), fmt.Sprintf("%.1f", r.Observed), fmt.Sprintf("%.1f", r.Bound),
			fmt.Sprintf("%.3f", r.FalsePerHour), fmt.Sprintf("%.3f", r.Goodput), ms(r.P99),
			fmt.Sprintf("%.3f", r.ExtraPerRequest), fmt.Sprint(r.FloorKept),
		})
	}
	c.Flush()
	return c.Error()
}
