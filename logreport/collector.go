package logreport

import (
	"fmt"
	"strings"
	"time"

	"slatewind.example/slatewind"
)

// Collector parses log lines and aggregates them. It is not safe for concurrent use.
type Collector struct {
	report   Report
	services map[string]*tally
	// routes holds the kinds of routes by name, as far as lines state them.
	routes map[string]slatewind.Kind
	// open holds, by server, the openings that have not ended, and stops, by process, the
	// stops that have not ended.
	open  map[string]*opening
	stops map[string]*Stop
	// vms holds the VM of each process.
	vms    map[string]string
	events []event
}

// opening is an Opening with the service and the process that logged it.
type opening struct {
	Opening
	service, source string
}

// tally holds the counts of one service.
type tally struct {
	unserved map[unservedKey]int
	extra    map[extraKey]int
	searches map[slatewind.Kind]*Searches
	openings []Opening
}

type unservedKey struct {
	kind    slatewind.Kind
	outcome slatewind.Outcome
	cause   string
}

// extraKey has the route instead of its kind, since a later line may state the kind.
type extraKey struct {
	route string
	why   slatewind.DecisionKind
	cause string
}

// Names of curves.
const (
	curveUnserved = "unserved requests"
	curveExtra    = "extra attempts"
	curveDenied   = "extra attempts denied"
	curveOpen     = "open breakers"
)

// event is a point in time at which the count of a curve rises.
type event struct {
	at      time.Time
	service string
	curve   string
	count   int
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{
		services: map[string]*tally{}, routes: map[string]slatewind.Kind{}, open: map[string]*opening{},
		stops: map[string]*Stop{}, vms: map[string]string{},
	}
}

// Add adds one line of a log. Empty lines are ignored.
func (c *Collector) Add(place Place, text string) {
	if strings.TrimSpace(text) == "" {
		return
	}
	l, err := parseLine(place.File, text)
	if err == nil {
		err = c.count(l)
	}
	if err != nil {
		c.report.Findings = append(c.report.Findings, Finding{place, err.Error()})
		return
	}
	c.report.Lines++
	if l.at.IsZero() {
		return
	}
	if c.report.From.IsZero() || l.at.Before(c.report.From) {
		c.report.From = l.at
	}
	if l.at.After(c.report.To) {
		c.report.To = l.at
	}
}

// count aggregates one line according to its message.
func (c *Collector) count(l line) error {
	switch l.fields["msg"] {
	case decisionMessage:
		return c.decision(l)
	case "lines left out":
		return c.leftOut(l)
	case "started":
		c.vms[l.source] = l.fields["vm"]
		c.replaced(l)
	case "stopped":
		return c.stopped(l)
	case "stopping with work in hand":
		return c.pending(l)
	case "callers cut off by the stop":
		n, err := number(l.fields, "callers")
		c.stop(l).CutOff = n
		return err
	}
	return nil
}

// decision aggregates a decision according to its kind.
func (c *Collector) decision(l line) error {
	switch kind := slatewind.DecisionKind(l.fields["kind"]); kind {
	case "":
		return Error.New("decision without a kind")
	case slatewind.DecisionRefuse:
		return c.unserved(l, slatewind.OutcomeNotRun)
	case slatewind.DecisionUnknown:
		return c.unserved(l, slatewind.OutcomeUnknown)
	case slatewind.DecisionServerError:
		return c.unserved(l, slatewind.OutcomeAnswer)
	case slatewind.DecisionRetry, slatewind.DecisionHedge:
		c.extra(l, kind)
	case slatewind.DecisionEject:
		c.opened(l)
	case slatewind.DecisionReturn:
		c.end(l.fields["server"], l.at, EndedClosed)
	case slatewind.DecisionMember:
		c.end(pairsOf(l.fields["evidence"])["before"], l.at, EndedReplaced)
	case slatewind.DecisionLeaving:
		if l.fields["reason"] == processStops {
			c.stop(l)
		}
	}
	return nil
}

// processStops is the reason of the decision that is logged at the start of a stop.
const processStops = "the process beside the server stops"

// service returns the tally of the service of a line. It creates it if necessary.
func (c *Collector) service(l line) *tally {
	name := orUnnamed(l.fields["service"])
	t := c.services[name]
	if t == nil {
		t = &tally{unserved: map[unservedKey]int{}, extra: map[extraKey]int{}, searches: map[slatewind.Kind]*Searches{}}
		c.services[name] = t
	}
	return t
}

// orUnnamed returns a name, or unnamed if it is empty.
func orUnnamed(word string) string {
	if word == "" {
		return unnamed
	}
	return word
}

// note records an event for the curves.
func (c *Collector) note(l line, curve string, count int) {
	if count > 0 && !l.at.IsZero() {
		c.events = append(c.events, event{l.at, orUnnamed(l.fields["service"]), curve, count})
	}
}

// unserved counts a request that was not served.
func (c *Collector) unserved(l line, outcome slatewind.Outcome) error {
	evidence := pairsOf(l.fields["evidence"])
	kind := slatewind.Kind(orUnnamed(evidence["kind"]))
	searches, err := searchesOf(evidence, l.fields["reason"])
	if err != nil {
		return err
	}
	if route := evidence["route"]; route != "" && evidence["kind"] != "" {
		c.routes[route] = kind
	}
	t := c.service(l)
	t.unserved[unservedKey{kind, outcome, causeOf(l.fields["reason"])}]++
	c.note(l, curveUnserved, 1)
	c.note(l, curveDenied, searches.Denied)
	if searches.Count > 0 {
		if t.searches[kind] == nil {
			t.searches[kind] = &Searches{}
		}
		t.searches[kind].add(searches)
	}
	return nil
}

// notAskedCauses are the causes for which a server is not asked, as in choice.Survey.
var notAskedCauses = []string{"leaving", "stopping", "full", "sick", "spent", "silent", "tried", "left"}

// searchesOf returns the counts of one search from the evidence of the decision that ended it.
func searchesOf(evidence map[string]string, reason string) (Searches, error) {
	if _, ok := evidence["known"]; !ok {
		return Searches{}, nil
	}
	s := Searches{Count: 1, Denied: deniedIn(reason)}
	var err error
	if s.Known, err = number(evidence, "known"); err != nil {
		return s, err
	}
	if s.Asked, err = number(evidence, "asked"); err != nil {
		return s, err
	}
	for _, word := range notAskedCauses {
		n, err := number(evidence, word)
		if err != nil {
			return s, err
		}
		s.NotAsked = append(s.NotAsked, Count{word, n})
		if word == "left" && n > 0 {
			s.UsableLeft = 1
		}
	}
	return s, nil
}

// add adds the counts of other searches.
func (s *Searches) add(other Searches) {
	s.Count += other.Count
	s.Known += other.Known
	s.Asked += other.Asked
	s.UsableLeft += other.UsableLeft
	s.Denied += other.Denied
	if s.NotAsked == nil {
		s.NotAsked = other.NotAsked
		return
	}
	for i := range s.NotAsked {
		s.NotAsked[i].Count += other.NotAsked[i].Count
	}
}

// extra counts an extra attempt.
func (c *Collector) extra(l line, why slatewind.DecisionKind) {
	route := pairsOf(l.fields["evidence"])["route"]
	c.service(l).extra[extraKey{route, why, causeOf(l.fields["reason"])}]++
	c.note(l, curveExtra, 1)
}

// opened records that a breaker opened, unless it is open already.
func (c *Collector) opened(l line) {
	server := l.fields["server"]
	cause, ok := openingCause(l.fields["reason"])
	if !ok || c.open[server] != nil {
		return
	}
	c.open[server] = &opening{
		Opening: Opening{Server: server, Cause: cause, At: l.at}, service: orUnnamed(l.fields["service"]), source: l.source,
	}
	// Creates the tally, so that the service is in the report even without other events.
	c.service(l)
}

// end records the end of the current opening of a server's breaker, if there is one.
func (c *Collector) end(server string, at time.Time, how Ending) {
	o := c.open[server]
	if o == nil {
		return
	}
	delete(c.open, server)
	o.Lasted, o.Ending = max(at.Sub(o.At), 0), how
	t := c.services[o.service]
	t.openings = append(t.openings, o.Opening)
}

// replaced ends the openings that the same source logged: a process that stopped or was
// restarted has no open breakers any more.
func (c *Collector) replaced(l line) {
	for server, o := range c.open {
		if o.source == l.source {
			c.end(server, l.at, EndedReplaced)
		}
	}
}

// leftOut adds the number of lines that a process omitted from its log.
func (c *Collector) leftOut(l line) error {
	for _, key := range []string{"about_requests", "others"} {
		n, err := number(l.fields, key)
		if err != nil {
			return err
		}
		c.report.LeftOut += n
	}
	return nil
}

// stop returns the current stop of a process. It creates it if there is none.
func (c *Collector) stop(l line) *Stop {
	s := c.stops[l.source]
	if s == nil {
		s = &Stop{VM: c.vms[l.source], At: l.at}
		if s.VM == "" {
			s.VM = l.source
		}
		c.stops[l.source] = s
	}
	return s
}

// pending records the requests that were unfinished when a stop no longer waited for them.
func (c *Collector) pending(l line) error {
	s := c.stop(l)
	var err error
	if s.Running, err = number(l.fields, "running"); err != nil {
		return err
	}
	s.Callers, err = number(l.fields, "callers")
	return err
}

// stopped records the end of a stop.
func (c *Collector) stopped(l line) error {
	s := c.stop(l)
	if text := l.fields["took"]; text != "" {
		took, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("took=%s is not a duration", text)
		}
		s.Took = took
		s.At = l.at.Add(-took)
	}
	if vm := l.fields["vm"]; vm != "" {
		s.VM = vm
	}
	s.Ended = true
	c.report.Stops = append(c.report.Stops, *s)
	delete(c.stops, l.source)
	c.replaced(l)
	return nil
}
