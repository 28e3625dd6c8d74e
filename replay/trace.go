// Package replay replays traces of incidents through the decision code and checks
// the expectations that they state.
//
// A trace is a YAML file with the settings, timed events as the nodes observed
// them, and expectations. The decisions are made by the same types as in the
// daemon; only the clock and the network are simulated. docs/TRACES.md describes
// the format.
package replay

import (
	"bytes"
	"fmt"
	"time"

	"github.com/zeebo/errs"
	"go.yaml.in/yaml/v3"

	"slatewind.example/slatewind"
)

// Error is the class of errors of this package.
var Error = errs.Class("replay")

// Duration is a time.Duration that is encoded as text, such as 1.5s or 20ms.
type Duration time.Duration

// UnmarshalYAML implements yaml.Unmarshaler.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	parsed, err := time.ParseDuration(n.Value)
	if err != nil {
		return Error.New("line %d: %q is not a duration with a unit", n.Line, n.Value)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalYAML implements yaml.Marshaler.
func (d Duration) MarshalYAML() (any, error) {
	return time.Duration(d).String(), nil
}

// Trace is an incident with its expectations.
type Trace struct {
	Name string `yaml:"name"`
	// About describes the trace in one sentence.
	About string `yaml:"about,omitempty"`
	// Seed of the random number generators; the same seed gives the same replay.
	Seed uint64 `yaml:"seed,omitempty"`
	// Nodes are the names of the ingresses; at least one is required.
	Nodes []string `yaml:"nodes"`
	// Revision of Settings; the default is 1.
	Revision uint64 `yaml:"revision,omitempty"`
	// Settings is the text of the operators' settings file in force at the start.
	Settings string   `yaml:"settings"`
	Events   []Event  `yaml:"events"`
	Expect   []Expect `yaml:"expect,omitempty"`
}

// Event is an event of a trace. Exactly one of its pointers is set.
type Event struct {
	// At is the time since the start of the trace.
	At Duration `yaml:"at"`
	// Node is the only ingress that observes the event; all do if it is empty.
	Node     string    `yaml:"node,omitempty"`
	Sick     *Sick     `yaml:"sick,omitempty"`
	Outcome  *Outcome  `yaml:"outcome,omitempty"`
	Lost     *Lost     `yaml:"lost,omitempty"`
	Probe    *Probe    `yaml:"probe,omitempty"`
	Load     *Load     `yaml:"load,omitempty"`
	Traffic  *Traffic  `yaml:"traffic,omitempty"`
	Leaving  *Leaving  `yaml:"leaving,omitempty"`
	Listed   *Listed   `yaml:"listed,omitempty"`
	Settings *Settings `yaml:"settings,omitempty"`
	Cut      *Cut      `yaml:"cut,omitempty"`
	Heal     *Cut      `yaml:"heal,omitempty"`
	Delay    *Delay    `yaml:"delay,omitempty"`
	Pause    *Pause    `yaml:"pause,omitempty"`
	Restart  *Restart  `yaml:"restart,omitempty"`
	Server   *Server   `yaml:"server,omitempty"`
	Request  *Request  `yaml:"request,omitempty"`
	Sync     *Sync     `yaml:"sync,omitempty"`
}

// Sick marks the time from which a server is really unhealthy, or healthy again if
// Over is set. The decision code does not see it: it is the reference for detection
// times and false ejections.
type Sick struct {
	Server string `yaml:"server"`
	Over   bool   `yaml:"over,omitempty"`
}

// Outcome is the outcome of one or more requests at a server.
type Outcome struct {
	Server string `yaml:"server"`
	// Route determines the outlier class; if it is empty, Class gives the number.
	Route   string           `yaml:"route,omitempty"`
	Class   int              `yaml:"class,omitempty"`
	Result  slatewind.Result `yaml:"result"`
	Latency Duration         `yaml:"latency"`
	// Spread is the standard deviation of the logarithm of the latency; Latency is
	// the median.
	Spread float64 `yaml:"spread,omitempty"`
	// Count is the number of requests, at intervals of Every; zero means one.
	Count int      `yaml:"count,omitempty"`
	Every Duration `yaml:"every,omitempty"`
}

// Lost is an attempt that received no reply.
type Lost struct {
	Server string `yaml:"server"`
	// Unsent means that the connection was refused and nothing was sent.
	Unsent bool     `yaml:"unsent,omitempty"`
	Count  int      `yaml:"count,omitempty"`
	Every  Duration `yaml:"every,omitempty"`
}

// Probe is the result of a health probe. Probes that succeed have no effect.
type Probe struct {
	Server string   `yaml:"server"`
	Failed bool     `yaml:"failed"`
	Count  int      `yaml:"count,omitempty"`
	Every  Duration `yaml:"every,omitempty"`
}

// Load is a load report of a server.
type Load struct {
	Server   string `yaml:"server"`
	InFlight uint32 `yaml:"in_flight"`
	Queued   uint32 `yaml:"queued,omitempty"`
}

// Traffic makes ingresses pick servers and send repeatable requests.
type Traffic struct {
	Service string   `yaml:"service"`
	Count   int      `yaml:"count"`
	Every   Duration `yaml:"every"`
	Latency Duration `yaml:"latency"`
}

// Leaving starts the drain of a server's sidecar, or ends it if Over is set.
type Leaving struct {
	Server string `yaml:"server"`
	Over   bool   `yaml:"over,omitempty"`
	// Silent means that no ingress is notified; only the sidecar refuses requests.
	Silent bool `yaml:"silent,omitempty"`
}

// Listed is the state of a VM in the platform's VM list as an ingress reads it.
type Listed struct {
	VM    string            `yaml:"vm"`
	State slatewind.VMState `yaml:"state"`
}

// Settings offers a settings file to nodes and sidecars.
type Settings struct {
	Revision uint64 `yaml:"revision"`
	// To names the nodes and servers that receive the file; all do if it is empty.
	To []string `yaml:"to,omitempty"`
	// Replace replaces each key by its value in the settings of the trace.
	Replace map[string]string `yaml:"replace,omitempty"`
	// Text is the whole file; Replace is ignored if it is set.
	Text string `yaml:"text,omitempty"`
}

// Cut drops all messages in one direction: between nodes, or between a node and
// the sidecar of a server.
type Cut struct {
	From string `yaml:"from"`
	To   string `yaml:"to"`
}

// Delay delays messages in one direction.
type Delay struct {
	From string   `yaml:"from"`
	To   string   `yaml:"to"`
	By   Duration `yaml:"by"`
	// AttemptsOnly exempts queries about attempts, which then overtake the
	// attempts, as on another connection.
	AttemptsOnly bool `yaml:"attempts_only,omitempty"`
}

// Pause pauses a server's sidecar. Messages wait until the pause ends.
type Pause struct {
	Server string   `yaml:"server"`
	For    Duration `yaml:"for"`
}

// Restart restarts the process of a server's sidecar, which loses its state.
type Restart struct {
	Server string `yaml:"server"`
}

// ServerMode is how a server responds to requests.
type ServerMode string

// Values of ServerMode.
const (
	ModeOK          ServerMode = "ok"
	ModeLosesAnswer ServerMode = "loses-answer"
	ModeHangs       ServerMode = "hangs"
	ModeRefuses     ServerMode = "refuses"
	ModeDown        ServerMode = "vm-down"
)

// Server changes the mode of a server.
type Server struct {
	Name string     `yaml:"name"`
	Mode ServerMode `yaml:"mode"`
}

// Request is a once-request of a caller at an ingress.
type Request struct {
	ID  string `yaml:"id"`
	Key string `yaml:"key"`
	// Service that the key belongs to.
	Service string `yaml:"service"`
	// Attempt is the attempt number that the caller sends; zero means none.
	Attempt int `yaml:"attempt,omitempty"`
	// KeyAge is the upper bound of the age of the key, for requests without an
	// attempt number.
	KeyAge Duration `yaml:"key_age,omitempty"`
	Body   string   `yaml:"body,omitempty"`
}

// Sync makes node To fetch the settings of node From, as gossip does.
type Sync struct {
	From string `yaml:"from"`
	To   string `yaml:"to"`
}

// Expect is an expectation. Exactly one of its pointers is set.
type Expect struct {
	Ejected      *Ejected   `yaml:"ejected,omitempty"`
	NeverEjected *Subject   `yaml:"never_ejected,omitempty"`
	Floor        *Floor     `yaml:"floor,omitempty"`
	InForce      *InForce   `yaml:"in_force,omitempty"`
	NoStart      *NoStart   `yaml:"no_start,omitempty"`
	Runs         *Runs      `yaml:"runs,omitempty"`
	Answer       *AnswerIs  `yaml:"answer,omitempty"`
	State        *StateIs   `yaml:"state,omitempty"`
	Decision     *DecidedOn `yaml:"decision,omitempty"`
}

// Ejected expects that the node, or every node if none is named, has ejected the
// server by a time.
type Ejected struct {
	Node   string   `yaml:"node,omitempty"`
	Server string   `yaml:"server"`
	By     Duration `yaml:"by"`
}

// Subject names a server at one node, or at all nodes if none is named.
type Subject struct {
	Node   string `yaml:"node,omitempty"`
	Server string `yaml:"server"`
}

// Floor expects that no server of the service that could serve was out of service
// while the capacity was below the floor. This is checked for all services at every
// tick, also without this expectation.
type Floor struct {
	Service string `yaml:"service"`
}

// InForce expects that a settings revision is in force at the node at a time.
type InForce struct {
	Node     string   `yaml:"node"`
	Revision uint64   `yaml:"revision"`
	At       Duration `yaml:"at"`
}

// NoStart expects that the server starts no request after a time.
type NoStart struct {
	Server string   `yaml:"server"`
	After  Duration `yaml:"after"`
}

// Runs expects how often the servers ran the request with a key.
type Runs struct {
	Key    string `yaml:"key"`
	AtMost *int   `yaml:"at_most,omitempty"`
	Is     *int   `yaml:"is,omitempty"`
}

// AnswerIs expects the outcome that the caller of a request receives.
type AnswerIs struct {
	Request string            `yaml:"request"`
	Outcome slatewind.Outcome `yaml:"outcome"`
}

// StateIs expects the state of a server at a node at the end of the replay.
type StateIs struct {
	Node   string                `yaml:"node"`
	Server string                `yaml:"server"`
	State  slatewind.ServerState `yaml:"state"`
}

// DecidedOn expects a decision of a kind in the journal, about the server if one
// is named.
type DecidedOn struct {
	Kind   slatewind.DecisionKind `yaml:"kind"`
	Server string                 `yaml:"server,omitempty"`
}

// Decode parses a trace; file names it in errors. Unknown fields and a trace without
// nodes are errors.
func Decode(file string, text []byte) (*Trace, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	t := &Trace{}
	if err := decoder.Decode(t); err != nil {
		return nil, Error.New("%s: %w", file, err)
	}
	if t.Revision == 0 {
		t.Revision = 1
	}
	if len(t.Nodes) == 0 {
		return nil, Error.New("%s: the trace has no nodes", file)
	}
	return t, nil
}

// Encode returns the trace as YAML.
func (t *Trace) Encode() ([]byte, error) {
	var buffer bytes.Buffer
	encoder := yaml.NewEncoder(&buffer)
	const indent = 2
	encoder.SetIndent(indent)
	if err := encoder.Encode(t); err != nil {
		return nil, Error.Wrap(err)
	}
	return buffer.Bytes(), nil
}

func (e Event) String() string {
	text, err := yaml.Marshal(e)
	if err != nil {
		return fmt.Sprint(err)
	}
	return string(bytes.ReplaceAll(bytes.TrimSpace(text), []byte("\n"), []byte(" ")))
}
