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

// Result is the result of one run or the sum of several.
type Result struct {
	// Detections of unhealthy servers, one for each server and ingress.
	Detections []Detection
	// FalseEjections counts ejections of healthy servers.
	FalseEjections int
	// HealthyServerHours is the time that servers were healthy, summed over all
	// servers and ingresses.
	HealthyServerHours float64
	// Latency lists the latencies of answered interactive requests after warmUp.
	Latency []time.Duration
	// Answered and Offered count interactive requests after the fault began; Offered
	// leaves out retries of callers.
	Answered int
	Offered  int
	// Capacity is the number of requests that the slots could have served after the
	// fault began.
	Capacity        float64
	requests        int
	attempts        int
	floorViolations int
}

// Detection is the time that an ingress took to eject an unhealthy server.
type Detection struct {
	// After is the time from the fault to the ejection, or runTime if there was none.
	After time.Duration
	// Observed is the number of outcomes of the server since the fault began, up to
	// the ejection or the end of the run.
	Observed int
	// Missed means that the server was never ejected.
	Missed bool
	// Weight is the number of attempts that the ingress sent to the server before the
	// fault.
	Weight int
}

func newResult() *Result { return &Result{} }

func (r *Result) recordOffered(m *model, rq *request) {
	r.requests++
	if m.faultBegun() && rq.priority == slatewind.PriorityInteractive && rq.retries == 0 {
		r.Offered++
	}
}

func (r *Result) recordAnswer(m *model, rq *request) {
	if rq.arrived < warmUp || rq.priority != slatewind.PriorityInteractive {
		return
	}
	r.Answered++
	r.Latency = append(r.Latency, m.queue.Now()-rq.arrived)
}

func (r *Result) recordEjection(m *model, n *node, server int) {
	if !m.unhealthy(n.id, server) {
		r.FalseEjections++
		return
	}
	if !n.detected[server] {
		n.detected[server] = true
		r.Detections = append(r.Detections, Detection{
			After: m.queue.Now() - warmUp, Observed: m.servers[server].observed, Weight: n.sent[server],
		})
	}
}

// finish adds the missed detections and the totals at the end of a run.
func (r *Result) finish(m *model) {
	unhealthy := 0
	for _, n := range m.nodes {
		for i := range m.servers {
			if !m.unhealthy(n.id, i) {
				continue
			}
			unhealthy++
			if !n.detected[i] {
				r.Detections = append(r.Detections, Detection{
					After: runTime, Observed: m.servers[i].observed, Missed: true, Weight: n.sent[i],
				})
			}
		}
	}
	healthyHours := float64(len(m.nodes)*len(m.servers))*m.end.Hours() - float64(unhealthy)*runTime.Hours()
	r.HealthyServerHours = healthyHours
	mean := float64(m.profile.ServiceTime) * math.Exp(m.profile.Spread*m.profile.Spread/2)
	r.Capacity = m.healthySlots() * float64(runTime) / mean
}

// healthySlots returns the capacity of the servers under the faults of the scenario,
// as an equivalent number of healthy slots.
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
	r.FalseEjections += o.FalseEjections
	r.HealthyServerHours += o.HealthyServerHours
	r.Latency = append(r.Latency, o.Latency...)
	r.Answered += o.Answered
	r.Offered += o.Offered
	r.Capacity += o.Capacity
	r.requests += o.requests
	r.attempts += o.attempts
	r.floorViolations += o.floorViolations
}

// Row is one line of the report. A detection statistic is weighted by the work that
// each ingress sent to the unhealthy server.
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

// Options are the parameters of Measure.
type Options struct {
	// Scenarios by name; all are run if it is empty.
	Scenarios []string
	// Seeds is the number of runs with different seeds.
	Seeds int
	// Caution overrides the caution of the profiles if it is not zero.
	Caution    float64
	Strategies []StrategyName
}

// job identifies the runs that are summed in one row.
type job struct {
	scenario Scenario
	profile  Profile
	strategy StrategyName
}

// Measure runs the scenarios with each of their profiles, every strategy and every
// seed, and returns one row for each scenario, profile and strategy. Runs are
// distributed over all processors but one.
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
		FalsePerHour: float64(r.FalseEjections) / r.HealthyServerHours,
		Goodput:      float64(r.Answered) / min(float64(r.Offered), r.Capacity),
		P99:          quantile(r.Latency, 0.99),
		FloorKept:    r.floorViolations == 0,
	}
	row.ExtraPerRequest = float64(r.attempts-r.requests) / float64(r.requests)
	return row
}

// bound returns the theoretical minimum of the mean number of requests to detection
// at the same rate of false alarms: the threshold divided by the Kullback-Leibler
// divergence of the slow service times from the normal ones. It returns zero if the
// divergence cannot be derived from the scenario.
func (j job) bound() float64 {
	if len(j.scenario.Faults) != 1 {
		return 0
	}
	f := j.scenario.Faults[0]
	if f.Slow == 0 || f.Shared || f.Period > 0 || f.Cold > 0 || j.strategy != StrategySlatewind {
		return 0
	}
	shift := math.Log(f.Slow)
	divergence := shift * shift / (2 * j.profile.Spread * j.profile.Spread)
	return j.profile.Caution / divergence
}

// detection returns a quantile of the detections by time, where each counts by its
// weight. It sorts r.Detections.
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

// missed returns the share of the missed detections, by weight.
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

// WriteTable writes rows as an aligned table for a terminal.
func WriteTable(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "scenario\tservice\tstrategy\tdetect p50\tp95\tmissed\trequests\tbound\tfalse/server-h\tgoodput\tp99\textra\tfloor")
	for _, r := range rows {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.0f%%\t%s\t%s\t%.2f\t%.2f\t%s\t%.2f\t%s\n",
			r.Scenario, r.Profile, r.Strategy, formatDuration(r.DetectMedian), formatDuration(r.DetectP95), r.Missed*100,
			formatNumber(r.Observed), formatNumber(r.Bound), r.FalsePerHour, r.Goodput, r.P99.Round(time.Millisecond), r.ExtraPerRequest, floorText(r.FloorKept))
	}
	return t.Flush()
}

func formatDuration(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return d.Round(time.Millisecond).String()
}

func formatNumber(x float64) string {
	if x == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", x)
}

func floorText(floor bool) string {
	if floor {
		return "kept"
	}
	return "BROKEN"
}

// WriteCSV writes rows as CSV with a header line; times are in milliseconds.
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
