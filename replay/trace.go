// Package replay plays recorded traces through the decision code and compares
// what was decided with what the trace states.
//
// A trace is a YAML file: the settings, timed events as the nodes saw them, and
// the stated outcomes. The same types decide here as in the daemon; only time
// and the network are the trace's. docs/TRACES.md describes the format.
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

// Duration is a time.Duration written as 1.5s, 20ms and so on.
type Duration time.Duration

// UnmarshalYAML implements yaml.Unmarshaler.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	parsed, err := time.ParseDuration(n.Value)
	if err != nil {
		return Error.New("line %d: %q is not a time with its unit", n.Line, n.Value)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalYAML implements yaml.Marshaler.
func (d Duration) MarshalYAML() (any, error) {
	return time.Duration(d).String(), nil
}

// Trace is one recorded incident with its stated outcomes.
type Trace struct {
	Name string `yaml:"name"`
	// About says in a sentence what the trace shows.
	About string `yaml:"about,omitempty"`
	// Seed of everything random; the same seed gives the same replay.
	Seed uint64 `yaml:"seed,omitempty"`
	// Nodes are the ingresses.
	Nodes []string `yaml:"nodes"`
	// Revision of Settings; 1 if not stated.
	Revision uint64 `yaml:"revision,omitempty"`
	// Settings is the operators' file in force at the start.
	Settings string   `yaml:"settings"`
	Events   []Event  `yaml:"events"`
	Expect   []Expect `yaml:"expect,omitempty"`
}

// Event is one thing that happens. Exactly one of its parts is set.
type Event struct {
	At Duration `yaml:"at"`
	// Node limits what is seen to one ingress; empty is all.
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

// Sick marks a server as truly sick, or well again, for the measures.
type Sick struct {
	Server string `yaml:"server"`
	Over   bool   `yaml:"over,omitempty"`
}

// Outcome is one or more requests as a server dealt with them.
type Outcome struct {
	Server string `yaml:"server"`
	// Route names the class; Class gives it as recorded.
	Route   string           `yaml:"route,omitempty"`
	Class   int              `yaml:"class,omitempty"`
	Result  slatewind.Result `yaml:"result"`
	Latency Duration         `yaml:"latency"`
	// Spread of the log latency around Latency, by the trace's seed.
	Spread float64 `yaml:"spread,omitempty"`
	// Count requests, one each Every.
	Count int      `yaml:"count,omitempty"`
	Every Duration `yaml:"every,omitempty"`
}

// Lost is an attempt that got no reply at all.
type Lost struct {
	Server string `yaml:"server"`
	// Unsent: nothing could be written, the connection was refused.
	Unsent bool     `yaml:"unsent,omitempty"`
	Count  int      `yaml:"count,omitempty"`
	Every  Duration `yaml:"every,omitempty"`
}

// Probe is a health probe and its result.
type Probe struct {
	Server string   `yaml:"server"`
	Failed bool     `yaml:"failed"`
	Count  int      `yaml:"count,omitempty"`
	Every  Duration `yaml:"every,omitempty"`
}

// Load is a load report.
type Load struct {
	Server   string `yaml:"server"`
	InFlight uint32 `yaml:"in_flight"`
	Queued   uint32 `yaml:"queued,omitempty"`
}

// Traffic has ingresses choose servers and send requests that succeed.
type Traffic struct {
	Service string   `yaml:"service"`
	Count   int      `yaml:"count"`
	Every   Duration `yaml:"every"`
	Latency Duration `yaml:"latency"`
}

// Leaving is a server's sidecar beginning or ending a drain.
type Leaving struct {
	Server string `yaml:"server"`
	Over   bool   `yaml:"over,omitempty"`
	// Silent: no ingress hears of it; only the sidecar refuses.
	Silent bool `yaml:"silent,omitempty"`
}

// Listed is the platform's VM list as an ingress reads it.
type Listed struct {
	VM    string            `yaml:"vm"`
	State slatewind.VMState `yaml:"state"`
}

// Settings is a file offered to nodes and sidecars.
type Settings struct {
	Revision uint64 `yaml:"revision"`
	// To names the nodes and servers that get it; empty is all.
	To []string `yaml:"to,omitempty"`
	// Replace edits the trace's first file: each key by its value.
	Replace map[string]string `yaml:"replace,omitempty"`
	// Text gives the whole file instead.
	Text string `yaml:"text,omitempty"`
}

// Cut loses all messages one way, between nodes or to and from a server's VM.
type Cut struct {
	From string `yaml:"from"`
	To   string `yaml:"to"`
}

// Delay makes messages one way arrive late.
type Delay struct {
	From string   `yaml:"from"`
	To   string   `yaml:"to"`
	By   Duration `yaml:"by"`
	// AttemptsOnly: what is asked about attempts overtakes them, as on another
	// connection.
	AttemptsOnly bool `yaml:"attempts_only,omitempty"`
}

// Pause freezes a server's sidecar; messages wait and are read at its waking.
type Pause struct {
	Server string   `yaml:"server"`
	For    Duration `yaml:"for"`
}

// Restart ends a server's sidecar process and starts another without memory.
type Restart struct {
	Server string `yaml:"server"`
}

// ServerMode is how a server treats requests that reach it.
type ServerMode string

// Modes of servers.
const (
	ModeOK          ServerMode = "ok"
	ModeLosesAnswer ServerMode = "loses-answer"
	ModeHangs       ServerMode = "hangs"
	ModeRefuses     ServerMode = "refuses"
	ModeDown        ServerMode = "vm-down"
)

// Server changes how a server treats requests.
type Server struct {
	Name string     `yaml:"name"`
	Mode ServerMode `yaml:"mode"`
}

// Request is a caller's once-request at an ingress.
type Request struct {
	ID  string `yaml:"id"`
	Key string `yaml:"key"`
	// Service that the key belongs to.
	Service string `yaml:"service"`
	// Attempt is the caller's count; zero is none.
	Attempt int `yaml:"attempt,omitempty"`
	// KeyAge bounds the age of the key, for requests without a count.
	KeyAge Duration `yaml:"key_age,omitempty"`
	Body   string   `yaml:"body,omitempty"`
}

// Sync has one node fetch settings from another, as gossip does.
type Sync struct {
	From string `yaml:"from"`
	To   string `yaml:"to"`
}

// Expect is one stated outcome. Exactly one of its parts is set.
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

// Ejected states that the server is ejected by a time.
type Ejected struct {
	Node   string   `yaml:"node,omitempty"`
	Server string   `yaml:"server"`
	By     Duration `yaml:"by"`
}

// Subject names a server, at one node or all.
type Subject struct {
	Node   string `yaml:"node,omitempty"`
	Server string `yaml:"server"`
}

// Floor states that ejections never took the service's capacity below its floor.
type Floor struct {
	Service string `yaml:"service"`
}

// InForce states which revision the node has in force at a time.
type InForce struct {
	Node     string   `yaml:"node"`
	Revision uint64   `yaml:"revision"`
	At       Duration `yaml:"at"`
}

// NoStart states that the server starts nothing after a time.
type NoStart struct {
	Server string   `yaml:"server"`
	After  Duration `yaml:"after"`
}

// Runs states how often servers ran the request of a key.
type Runs struct {
	Key    string `yaml:"key"`
	AtMost *int   `yaml:"at_most,omitempty"`
	Is     *int   `yaml:"is,omitempty"`
}

// AnswerIs states what the caller of a request was told.
type AnswerIs struct {
	Request string            `yaml:"request"`
	Outcome slatewind.Outcome `yaml:"outcome"`
}

// StateIs states how a node treats a server at the end.
type StateIs struct {
	Node   string                `yaml:"node"`
	Server string                `yaml:"server"`
	State  slatewind.ServerState `yaml:"state"`
}

// DecidedOn states that a decision of a kind stands in the journal.
type DecidedOn struct {
	Kind   slatewind.DecisionKind `yaml:"kind"`
	Server string                 `yaml:"server,omitempty"`
}

// Decode reads a trace. Unknown fields are errors.
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
		return nil, Error.New("%s: the trace names no node", file)
	}
	return t, nil
}

// Encode writes a trace.
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
