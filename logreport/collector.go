package logreport

import (
	"fmt"
	"strings"
	"time"

	"slatewind.example/slatewind"
)

// Collector takes lines and adds them up. It is not safe for use by several goroutines.
type Collector struct {
	report   Report
	services map[string]*tally
	// routes says of which kind each route is, as far as lines tell.
	routes map[string]slatewind.Kind
	// open holds the openings that have not ended, by server, and stops the stops that
	// have not, by the process.
	open  map[string]*opening
	stops map[string]*Stop
	// vms names the VM of each process.
	vms    map[string]string
	events []event
}

// opening is one with the process that told of it.
type opening struct {
	Opening
	service, source string
}

// tally adds up what happened to the requests for one service.
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

// extraKey names the route in place of its kind, which other lines may tell later.
type extraKey struct {
	route string
	why   slatewind.DecisionKind
	cause string
}

// Names of the curves.
const (
	curveUnserved = "unserved requests"
	curveExtra    = "extra attempts"
	curveDenied   = "extra attempts denied"
	curveOpen     = "open breakers"
)

// event is something that is drawn over time.
type event struct {
	at      time.Time
	service string
	curve   string
	count   int
}

// NewCollector returns a collector that has read nothing.
func NewCollector() *Collector {
	return &Collector{
		services: map[string]*tally{}, routes: map[string]slatewind.Kind{}, open: map[string]*opening{},
		stops: map[string]*Stop{}, vms: map[string]string{},
	}
}

// Add takes one line of a log. An empty one counts for nothing.
func (c *Collector) Add(place Place, text string) {
	if strings.TrimSpace(text) == "" {
		return
	}
	l, err := parseLine(place.File, text)
	if err == nil {
		err = c.take(l)
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

// take counts one line by its message.
func (c *Collector) take(l line) error {
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
		return c.inHand(l)
	case "callers cut off by the stop":
		n, err := number(l.fields, "callers")
		c.stop(l).CutOff = n
		return err
	}
	return nil
}

// decision counts one decision by its kind.
func (c *Collector) decision(l line) error {
	switch kind := slatewind.DecisionKind(l.fields["kind"]); kind {
	case "":
		return Error.New("a decision without a kind")
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

// processStops is the reason of the decision with which a stop begins.
const processStops = "the process beside the server stops"

// service returns the tally of a line's service.
func (c *Collector) service(l line) *tally {
	name := orUnnamed(l.fields["service"])
	t := c.services[name]
	if t == nil {
		t = &tally{unserved: map[unservedKey]int{}, extra: map[extraKey]int{}, searches: map[slatewind.Kind]*Searches{}}
		c.services[name] = t
	}
	return t
}

func orUnnamed(word string) string {
	if word == "" {
		return unnamed
	}
	return word
}

// note remembers an event for the curves.
func (c *Collector) note(l line, curve string, count int) {
	if count > 0 && !l.at.IsZero() {
		c.events = append(c.events, event{l.at, orUnnamed(l.fields["service"]), curve, count})
	}
}

// unserved counts a request that no server served.
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

// passWords are the causes for which a server was not asked (choice.Survey).
var passWords = []string{"leaving", "stopping", "full", "sick", "spent", "silent", "tried", "left"}

// searchesOf reads the counts of one search from the evidence of its end.
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
	for _, word := range passWords {
		n, err := number(evidence, word)
		if err != nil {
			return s, err
		}
		s.NotAsked = append(s.NotAsked, Count{word, n})
		if word == "left" && n > 0 {
			s.SoundLeft = 1
		}
	}
	return s, nil
}

// add adds the counts of another search.
func (s *Searches) add(other Searches) {
	s.Count += other.Count
	s.Known += other.Known
	s.Asked += other.Asked
	s.SoundLeft += other.SoundLeft
	s.Denied += other.Denied
	if s.NotAsked == nil {
		s.NotAsked = other.NotAsked
		return
	}
	for i := range s.NotAsked {
		s.NotAsked[i].Count += other.NotAsked[i].Count
	}
}

// extra counts an attempt beyond the first.
func (c *Collector) extra(l line, why slatewind.DecisionKind) {
	route := pairsOf(l.fields["evidence"])["route"]
	c.service(l).extra[extraKey{route, why, causeOf(l.fields["reason"])}]++
	c.note(l, curveExtra, 1)
}

// opened notes that a breaker opened, unless it was open.
func (c *Collector) opened(l line) {
	server := l.fields["server"]
	cause, ok := openingCause(l.fields["reason"])
	if !ok || c.open[server] != nil {
		return
	}
	c.open[server] = &opening{
		Opening: Opening{Server: server, Cause: cause, At: l.at}, service: orUnnamed(l.fields["service"]), source: l.source,
	}
	// The service appears in the report also where nothing else happened.
	c.service(l)
}

// end notes the end of an opening, if there is one.
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

// replaced ends the openings that an earlier process of a VM told of.
func (c *Collector) replaced(l line) {
	for server, o := range c.open {
		if o.source == l.source {
			c.end(server, l.at, EndedReplaced)
		}
	}
}

// leftOut counts the lines that a process left out of its log.
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

// stop returns the stop of a process that is under way, which may begin here.
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

// inHand notes what a stop waited for no longer.
func (c *Collector) inHand(l line) error {
	s := c.stop(l)
	var err error
	if s.Running, err = number(l.fields, "running"); err != nil {
		return err
	}
	s.Callers, err = number(l.fields, "callers")
	return err
}

// stopped notes the end of a stop.
func (c *Collector) stopped(l line) error {
	s := c.stop(l)
	if text := l.fields["took"]; text != "" {
		took, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("took=%s is no duration", text)
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
