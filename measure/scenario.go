// Package measure drives the decision code with a model of servers and callers
// in virtual time, and reports how soon sick servers lose their work, how often
// healthy ones are wrongly set aside, and what callers get meanwhile.
//
// The model knows arrivals, slots, service times, network delays and faults,
// and nothing more. Ingress decisions are package policy's and sidecar
// decisions package admission's, as in the daemon; the baselines replace only
// the policy. All chance comes from the seed.
package measure

import "time"

// Profile is a service with its callers at the users' sizes of today.
type Profile struct {
	Name    string
	Servers int
	Slots   int
	Floor   int
	Caution float64
	// Ingresses is the number of nodes that callers come in by.
	Ingresses   int
	DataCentres int
	// Service is the median service time, Spread that of its log.
	Service time.Duration
	Spread  float64
	// Rate is the number of requests a second.
	Rate    float64
	Timeout time.Duration
}

// oneWay is the time between two data centres, sameDC within one; client times
// are the same for every choice and left out.
const (
	oneWay = 1500 * time.Microsecond
	sameDC = 100 * time.Microsecond
)

// Profiles are the four services of the brief. Rates keep about a third of the
// slots busy.
var Profiles = map[string]Profile{
	"kassa":     {Name: "kassa", Servers: 4, Slots: 5, Floor: 3, Caution: 15, Ingresses: 13, DataCentres: 4, Service: 20 * time.Millisecond, Spread: 0.5, Rate: 300, Timeout: time.Second},
	"kundklubb": {Name: "kundklubb", Servers: 9, Slots: 5, Floor: 6, Caution: 16, Ingresses: 13, DataCentres: 4, Service: 20 * time.Millisecond, Spread: 0.5, Rate: 660, Timeout: time.Second},
	"annonces":  {Name: "annonces", Servers: 3, Slots: 10, Floor: 2, Caution: 20, Ingresses: 9, DataCentres: 3, Service: 20 * time.Millisecond, Spread: 0.5, Rate: 440, Timeout: 2 * time.Second},
	"vitrine":   {Name: "vitrine", Servers: 6, Slots: 10, Floor: 4, Caution: 18, Ingresses: 9, DataCentres: 3, Service: 20 * time.Millisecond, Spread: 0.5, Rate: 880, Timeout: 2 * time.Second},
}

// Fault is what a server does from the beginning of a fault on.
type Fault struct {
	Server int
	// Slow multiplies service times; zero is none.
	Slow float64
	// Hang answers nothing.
	Hang bool
	// Errors is the share of requests that end in an error, quickly.
	Errors float64
	// Cut loses the replies of the server's sidecar to this share of ingresses.
	Cut float64
	// Period, if any, makes the fault come and go.
	Period time.Duration
	// Cold makes the server Slow at first and well after ColdTime.
	Cold time.Duration
	// Shared puts the fault on every server; nobody counts as sick then.
	Shared bool
}

// Scenario is one situation to measure.
type Scenario struct {
	Name  string
	About string
	// Profile names the services that it is measured with.
	Profiles []string
	Faults   []Fault
	// Load multiplies the profile's rate from the beginning of the fault on.
	Load float64
	// Launch is the share of requests of one customer from then on.
	Launch float64
	// Background is the rate of background requests, as a multiple of the
	// interactive ones, from then on.
	Background float64
	// Retries is how often a caller whose request failed asks again at once.
	Retries int
	// HeldBack scenarios are not looked at while the policy is tuned.
	HeldBack bool
}

// Times of every run.
const (
	// warmUp comes before the fault, runTime after it.
	warmUp  = 10 * time.Second
	runTime = 20 * time.Second
)

// Scenarios are measured in this order. Those held back were named before any
// tuning.
var Scenarios = []Scenario{
	{Name: "slow-3x", About: "one server answers three times as slowly", Profiles: []string{"kassa", "annonces"}, Faults: []Fault{{Slow: 3}}},
	{Name: "slow-20x", About: "one server answers twenty times as slowly", Profiles: []string{"kassa", "annonces"}, Faults: []Fault{{Slow: 20}}},
	{Name: "hang", About: "one server answers nothing, but probes", Profiles: []string{"kassa", "annonces"}, Faults: []Fault{{Hang: true}}},
	{Name: "errors-for-some", About: "one server fails for a third of its callers, quickly", Profiles: []string{"kassa", "annonces"}, Faults: []Fault{{Errors: 0.33}}},
	{Name: "flapping", About: "one server is eight times as slow every other two seconds", Profiles: []string{"kassa"}, Faults: []Fault{{Slow: 8, Period: 2 * time.Second}}},
	{Name: "one-way-cut", About: "replies of one server's VM do not reach half of the ingresses", Profiles: []string{"kassa", "annonces"}, Faults: []Fault{{Cut: 0.5}}},
	{Name: "healthy", About: "nothing is wrong", Profiles: []string{"kassa", "kundklubb", "annonces", "vitrine"}},
	{Name: "shared-slow-down", About: "all servers are three times as slow at once", Profiles: []string{"kassa", "annonces"}, Faults: []Fault{{Slow: 3, Shared: true}}, Load: 0.6},
	{Name: "overload-2x", About: "a customer's launch week brings twice what the slots can carry", Profiles: []string{"kassa", "annonces"}, Load: 6, Launch: 0.7},
	{Name: "background-flood", About: "three background requests come with each interactive one", Profiles: []string{"kassa"}, Background: 3},
	{Name: "two-at-once", About: "one server slows down three times while another hangs", Profiles: []string{"kundklubb", "vitrine"}, Faults: []Fault{{Slow: 3}, {Server: 1, Hang: true}}},

	{Name: "held-cold-start", About: "one server starts anew and is slower at first", Profiles: []string{"kassa", "vitrine"}, Faults: []Fault{{Slow: 4, Cold: 3 * time.Second}}, HeldBack: true},
	{Name: "held-retry-storm", About: "twice the slots' load, and callers whose request failed ask again at once, three times", Profiles: []string{"annonces"}, Load: 6, Retries: 3, HeldBack: true},
	{Name: "held-slow-and-overload", About: "one server slows down five times while the load is at the slots' limit", Profiles: []string{"kundklubb", "annonces"}, Faults: []Fault{{Slow: 5}}, Load: 2.4, HeldBack: true},
}

// Known reports whether a scenario has a name.
func Known(name string) bool {
	for _, s := range Scenarios {
		if s.Name == name {
			return true
		}
	}
	return false
}
