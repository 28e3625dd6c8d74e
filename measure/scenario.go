// Package measure simulates servers and callers in virtual time around the real
// decision code. It reports the time until unhealthy servers are ejected, the rate
// of false ejections, and the goodput and latency of callers.
//
// The model consists of arrivals, slots, service times, network delays and faults
// only. As in the daemon, package policy decides for the ingresses and package
// admission for the sidecars; the baseline strategies replace only the policy. All
// random numbers derive from the seed.
package measure

import "time"

// Profile is a service and the load of its callers. The sizes are those of present
// deployments of the users.
type Profile struct {
	Name    string
	Servers int
	// Slots is the number of slots of each server.
	Slots   int
	Floor   int
	Caution float64
	// Ingresses is the number of nodes that accept requests of callers.
	Ingresses   int
	DataCentres int
	// ServiceTime is the median service time, Spread the standard deviation of its
	// logarithm.
	ServiceTime time.Duration
	Spread      float64
	// Rate is the number of interactive requests per second.
	Rate    float64
	Timeout time.Duration
}

// One-way network delays between nodes. The delay between caller and ingress is left
// out because it does not depend on the choice of a server.
const (
	crossDCDelay = 1500 * time.Microsecond
	sameDCDelay  = 100 * time.Microsecond
)

// Profiles are the simulated services, by name. Their rates keep about a third of
// the slots busy.
var Profiles = map[string]Profile{
	"kassa":     {Name: "kassa", Servers: 4, Slots: 5, Floor: 3, Caution: 15, Ingresses: 13, DataCentres: 4, ServiceTime: 20 * time.Millisecond, Spread: 0.5, Rate: 300, Timeout: time.Second},
	"kundklubb": {Name: "kundklubb", Servers: 9, Slots: 5, Floor: 6, Caution: 16, Ingresses: 13, DataCentres: 4, ServiceTime: 20 * time.Millisecond, Spread: 0.5, Rate: 660, Timeout: time.Second},
	"annonces":  {Name: "annonces", Servers: 3, Slots: 10, Floor: 2, Caution: 20, Ingresses: 9, DataCentres: 3, ServiceTime: 20 * time.Millisecond, Spread: 0.5, Rate: 440, Timeout: 2 * time.Second},
	"vitrine":   {Name: "vitrine", Servers: 6, Slots: 10, Floor: 4, Caution: 18, Ingresses: 9, DataCentres: 3, ServiceTime: 20 * time.Millisecond, Spread: 0.5, Rate: 880, Timeout: 2 * time.Second},
}

// Fault is a fault of a server that begins after warmUp.
type Fault struct {
	// Server is the index of the server; ignored if Shared is set.
	Server int
	// Slow is the factor of service times; zero means no change.
	Slow float64
	// Hang means that requests start but are never answered.
	Hang bool
	// Errors is the share of requests that fail after errorServiceTime.
	Errors float64
	// Cut is the share of ingresses that no replies of the server's sidecar reach.
	Cut float64
	// Period makes the fault active and inactive in turn, each for this time, if it
	// is not zero.
	Period time.Duration
	// Cold is the time over which Slow falls to 1 linearly, if it is not zero.
	Cold time.Duration
	// Shared applies the fault to every server. None of them counts as unhealthy
	// then, since no server is worse than the others.
	Shared bool
}

// Scenario is a combination of faults and load to simulate.
type Scenario struct {
	Name string
	// About describes the scenario in one phrase.
	About string
	// Profiles names the services that the scenario is simulated with.
	Profiles []string
	Faults   []Fault
	// Load is the factor of the rate of the profile after warmUp; zero means no
	// change.
	Load float64
	// LaunchShare is the share of requests that come from a single customer after
	// warmUp.
	LaunchShare float64
	// Background is the rate of background requests after warmUp, as a multiple of
	// the rate of the profile.
	Background float64
	// Retries is the maximum number of immediate retries by a caller whose request
	// failed.
	Retries int
	// HeldBack means that the scenario is not used to tune the policy, so that it
	// shows how the tuned policy deals with other situations.
	HeldBack bool
}

// Times of every run.
const (
	// warmUp is the time before the fault begins, runTime the time after it.
	warmUp  = 10 * time.Second
	runTime = 20 * time.Second
)

// Scenarios lists all scenarios in the order of the report. Those held back were
// chosen before the policy was tuned.
var Scenarios = []Scenario{
	{Name: "slow-3x", About: "one server becomes three times as slow", Profiles: []string{"kassa", "annonces"}, Faults: []Fault{{Slow: 3}}},
	{Name: "slow-20x", About: "one server becomes twenty times as slow", Profiles: []string{"kassa", "annonces"}, Faults: []Fault{{Slow: 20}}},
	{Name: "hang", About: "one server answers probes but no requests", Profiles: []string{"kassa", "annonces"}, Faults: []Fault{{Hang: true}}},
	{Name: "errors-for-some", About: "one server fails a third of its requests quickly", Profiles: []string{"kassa", "annonces"}, Faults: []Fault{{Errors: 0.33}}},
	{Name: "flapping", About: "one server alternates every two seconds between eight times as slow and normal", Profiles: []string{"kassa"}, Faults: []Fault{{Slow: 8, Period: 2 * time.Second}}},
	{Name: "one-way-cut", About: "replies of one server's VM do not reach half of the ingresses", Profiles: []string{"kassa", "annonces"}, Faults: []Fault{{Cut: 0.5}}},
	{Name: "healthy", About: "no faults", Profiles: []string{"kassa", "kundklubb", "annonces", "vitrine"}},
	{Name: "shared-slow-down", About: "all servers become three times as slow at once", Profiles: []string{"kassa", "annonces"}, Faults: []Fault{{Slow: 3, Shared: true}}, Load: 0.6},
	{Name: "overload-2x", About: "one customer raises the load to twice the capacity of the slots", Profiles: []string{"kassa", "annonces"}, Load: 6, LaunchShare: 0.7},
	{Name: "background-flood", About: "three background requests arrive for each interactive one", Profiles: []string{"kassa"}, Background: 3},
	{Name: "two-at-once", About: "one server becomes three times as slow while another hangs", Profiles: []string{"kundklubb", "vitrine"}, Faults: []Fault{{Slow: 3}, {Server: 1, Hang: true}}},

	{Name: "held-cold-start", About: "one server restarts and is four times as slow at first", Profiles: []string{"kassa", "vitrine"}, Faults: []Fault{{Slow: 4, Cold: 3 * time.Second}}, HeldBack: true},
	{Name: "held-retry-storm", About: "load of twice the capacity of the slots, and callers retry a failed request at once, up to three times", Profiles: []string{"annonces"}, Load: 6, Retries: 3, HeldBack: true},
	{Name: "held-slow-and-overload", About: "one server becomes five times as slow while the load is at the limit of the slots", Profiles: []string{"kundklubb", "annonces"}, Faults: []Fault{{Slow: 5}}, Load: 2.4, HeldBack: true},
}

// KnownScenario reports whether there is a scenario with a name.
func KnownScenario(name string) bool {
	for _, s := range Scenarios {
		if s.Name == name {
			return true
		}
	}
	return false
}
