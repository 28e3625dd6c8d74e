// Package cli holds the commands of the slatewind program.
package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/zeebo/errs"

	"slatewind.example/slatewind/admin"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/measure"
	"slatewind.example/slatewind/replay"
)

// Exit codes of the program.
const (
	ExitOK = iota
	// ExitFindings: the file has findings, or a trace missed its outcome.
	ExitFindings
	// ExitUsage: the command line is wrong.
	ExitUsage
	// ExitUnreached: a process or a file could not be read.
	ExitUnreached
)

// ExitCodes explains them for --help.
const ExitCodes = "Exit codes: 0 all is well, 1 the file has findings or a trace missed a stated outcome, 2 the command line is wrong, 3 a process or a file could not be read."

// Classes of errors, by exit code.
var (
	ErrFindings  = errs.Class("findings")
	ErrUnreached = errs.Class("unreached")
)

// ExitCode returns the exit code for an error of a command.
func ExitCode(err error) int {
	var findings config.Findings
	switch {
	case err == nil, IsHelp(err):
		return ExitOK
	case ErrFindings.Has(err), errors.As(err, &findings):
		return ExitFindings
	case ErrUnreached.Has(err):
		return ExitUnreached
	}
	return ExitUsage
}

// IsHelp reports whether an error is the text of --help.
func IsHelp(err error) bool {
	var flagErr *flags.Error
	return errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp
}

// AddCommands adds every command to a parser; they write to out.
func AddCommands(parser *flags.Parser, out io.Writer) error {
	commands := []struct {
		name, short, long string
		data              any
	}{
		{"check", "check settings files", "Checks operators' files, or with --process the settings of processes, and prints every finding as file:line:column: message (check).", &checkCommand{out: out}},
		{"state", "dump the state of a process", "Prints what a process knows and does, as text or JSON. ADDR is its admin address.", &stateCommand{out: out}},
		{"explain", "explain decisions", "Prints the journals of processes: why a server was judged sick, why a request was refused, in the order of time. Decisions about calls that a server made for a request are indented. SOURCE is the admin address of a process or, with --logs, a log file.", &explainCommand{out: out}},
		{"settings", "show which settings are in force where", "Prints for each process which revision is in force and since when.", &settingsCommand{out: out}},
		{"ready", "wait until processes are ready", "Waits until every process serves callers.", &readyCommand{out: out}},
		{"record", "fetch recent events as a trace", "Prints the recent events of a process as a trace for slatewind replay.", &recordCommand{out: out}},
		{"measure", "measure the policy", "Runs the policy and two baselines through scenarios in virtual time and prints detection time, false ejections and what callers get.", &measureCommand{out: out}},
		{"report", "sum up logs", "Reads the log files of processes and prints by service and kind of route what went unserved and why, which breakers opened, extra attempts, servers not asked, and stops. With --html also as a page with plots.", &reportCommand{out: out}},
		{"digest", "digest keys of workspaces", "Reads keys from the standard input, one in a line, and prints the digest of each for the settings of its workspace.", &digestCommand{out: out}},
		{"replay", "replay traces", "Plays traces through the decision code and compares with their stated outcomes.", &replayCommand{out: out}},
	}
	var group errs.Group
	for _, c := range commands {
		_, err := parser.AddCommand(c.name, c.short, c.long, c.data)
		group.Add(err)
	}
	return group.Err()
}

type checkCommand struct {
	out     io.Writer
	Process bool   `long:"process" description:"the files are settings of processes"`
	Explain string `long:"explain" description:"explain one check instead, for example SW1006" value-name:"CHECK"`
	Args    struct {
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if c.Explain != "" {
		return c.explain()
	}
	if len(c.Args.Files) == 0 {
		return errs.New("slatewind check: no FILE given")
	}
	var all config.Findings
	for _, file := range c.Args.Files {
		err := c.check(file)
		var findings config.Findings
		if err != nil && !errors.As(err, &findings) {
			return ErrUnreached.Wrap(err)
		}
		all = append(all, findings...)
	}
	if len(all) > 0 {
		return all
	}
	_, err := fmt.Fprintf(c.out, "%d file(s) without findings\n", len(c.Args.Files))
	return err
}

func (c *checkCommand) check(file string) error {
	if c.Process {
		_, err := config.LoadProcess(file)
		return err
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	_, err = config.ParseFleet(file, text)
	return err
}

func (c *checkCommand) explain() error {
	for _, check := range config.Checks {
		if check.ID == c.Explain {
			_, err := fmt.Fprintf(c.out, "%s: %s\n\n%s\n\nSince version %s.\n", check.ID, check.Title, check.Reason, check.Since)
			return err
		}
	}
	return errs.New("slatewind check: no check is named %q", c.Explain)
}

// oneAddress is the argument of commands that ask one process.
type oneAddress struct {
	Address string `positional-arg-name:"ADDR" required:"yes"`
}

type stateCommand struct {
	out  io.Writer
	JSON bool       `long:"json" description:"print JSON"`
	Args oneAddress `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *stateCommand) Execute([]string) error {
	text, err := fetch(c.Args.Address, "/state")
	if err != nil {
		return err
	}
	if c.JSON {
		_, err := c.out.Write(text)
		return err
	}
	state, err := decode[admin.State](text)
	if err != nil {
		return err
	}
	return writeState(c.out, state)
}

func writeState(out io.Writer, s admin.State) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(w, format+"\n", values...) }
	line("vm\t%s\tdata centre %s", s.VM, s.DataCentre)
	line("settings\trevision %d\tsince %s", s.Settings.Revision, s.Settings.Since.Format(time.RFC3339))
	line("platform\tseen %s ago\treader %t", s.PlatformAge, s.Reader)
	if s.Known != nil {
		line("servers\tknown until revision %s", s.Known)
	}
	for _, service := range s.Ingress.Services {
		line("service\t%s\tcapacity %d\tfloor %d", service.Name, service.Capacity, service.Floor)
		for _, server := range service.Servers {
			line("\t%s\t%s\tweight %.2f\tload %.0f\t%s\t%s", server.Name, server.State, server.Weight, server.Load, server.Score, remarks(server.Leaving, server.Unreachable))
		}
	}
	for _, door := range s.Sidecar.Servers {
		line("own server\t%s\tslots %d/%d\tqueued %d\toutcomes %d\t%s", door.Server, door.InUse, door.Slots, door.Queued, door.Outcomes, door.Leaving)
	}
	line("once\t%d records\t%d bytes of answers", s.Sidecar.OnceRecords, s.Sidecar.AnswerBytes)
	for _, u := range s.Limits {
		line("limit\t%s\t%s\t%g a second, burst %g\t%.1f tokens left", u.Workspace, u.Role, u.Rate, u.Burst, u.Level)
	}
	for _, r := range s.Suspects {
		line("suspect\trequest %s\t%d servers ended\trefused %t\ttrial in %s", r.Digest, r.Ends, r.Refused, time.Duration(r.TrialInMs)*time.Millisecond)
	}
	for _, m := range s.Members {
		line("member\t%s\t%s\t%s\tby %s\t%s ago", m.VM, m.DataCentre, m.State, m.Source, s.Time.Sub(m.Updated).Round(time.Second))
	}
	return w.Flush()
}

func remarks(leaving, unreachable bool) string {
	var words []string
	if leaving {
		words = append(words, "leaving")
	}
	if unreachable {
		words = append(words, "unreachable")
	}
	return strings.Join(words, " ")
}

type settingsCommand struct {
	out  io.Writer
	Args struct {
		Addresses []string `positional-arg-name:"ADDR" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *settingsCommand) Execute([]string) error {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	var group errs.Group
	for _, address := range c.Args.Addresses {
		text, err := fetch(address, "/settings")
		if err != nil {
			group.Add(err)
			continue
		}
		s, err := decode[admin.Settings](text)
		if err != nil {
			group.Add(err)
			continue
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\trevision %d\tdigest %s\tsince %s\n", address, s.VM, s.Revision, s.Digest, s.Since.Format("2006-01-02T15:04:05.000Z07:00"))
	}
	group.Add(w.Flush())
	return group.Err()
}

type readyCommand struct {
	out    io.Writer
	Within time.Duration `long:"within" description:"how long to wait" default:"10s"`
	Args   struct {
		Addresses []string `positional-arg-name:"ADDR" required:"yes"`
	} `positional-args:"yes"`
}

// readyPoll is the time between two questions to a process that is not ready.
const readyPoll = 50 * time.Millisecond

// Execute implements flags.Commander.
func (c *readyCommand) Execute([]string) error {
	deadline := time.Now().Add(c.Within)
	for _, address := range c.Args.Addresses {
		for {
			_, err := fetch(address, "/ready")
			if err == nil {
				break
			}
			if time.Now().After(deadline) {
				return err
			}
			time.Sleep(readyPoll)
		}
	}
	_, err := fmt.Fprintf(c.out, "%d process(es) ready\n", len(c.Args.Addresses))
	return err
}

type recordCommand struct {
	out  io.Writer
	Args oneAddress `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *recordCommand) Execute([]string) error {
	text, err := fetch(c.Args.Address, "/record")
	if err != nil {
		return err
	}
	_, err = c.out.Write(text)
	return err
}

type replayCommand struct {
	out  io.Writer
	Args struct {
		Files []string `positional-arg-name:"TRACE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *replayCommand) Execute([]string) error {
	missed := 0
	for _, file := range c.Args.Files {
		text, err := os.ReadFile(file)
		if err != nil {
			return ErrUnreached.Wrap(err)
		}
		trace, err := replay.Decode(file, text)
		if err != nil {
			return ErrFindings.Wrap(err)
		}
		report, err := replay.Play(trace)
		if err != nil {
			return ErrFindings.Wrap(err)
		}
		if _, err := io.WriteString(c.out, report.String()); err != nil {
			return err
		}
		missed += len(report.Misses)
	}
	if missed > 0 {
		return ErrFindings.New("%d stated outcome(s) missed", missed)
	}
	return nil
}

type measureCommand struct {
	out     io.Writer
	Seeds   int     `long:"seeds" description:"how many runs of each" default:"20"`
	Caution float64 `long:"caution" description:"use this caution, in nats, in place of the services' own"`
	Ours    bool    `long:"ours" description:"leave the baselines out"`
	CSV     bool    `long:"csv" description:"print CSV"`
	List    bool    `long:"list" description:"list the scenarios instead"`
	Args    struct {
		Scenarios []string `positional-arg-name:"SCENARIO"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *measureCommand) Execute([]string) error {
	if c.List {
		for _, s := range measure.Scenarios {
			_, _ = fmt.Fprintf(c.out, "%-24s %s\n", s.Name, s.About)
		}
		return nil
	}
	strategies := []measure.StrategyName{measure.StrategyOurs, measure.StrategyConsecutive, measure.StrategyRoundRobin}
	if c.Ours {
		strategies = strategies[:1]
	}
	for _, name := range c.Args.Scenarios {
		if !measure.Known(name) {
			return errs.New("slatewind measure: no scenario is named %q; see --list", name)
		}
	}
	rows := measure.Measure(measure.Options{Scenarios: c.Args.Scenarios, Seeds: c.Seeds, Caution: c.Caution, Strategies: strategies})
	if c.CSV {
		return measure.WriteCSV(c.out, rows)
	}
	return measure.WriteTable(c.out, rows)
}

// fetchTimeout bounds one question to a process.
const fetchTimeout = 5 * time.Second

// fetch asks the admin interface of a process.
func fetch(address, path string) ([]byte, error) {
	client := &http.Client{Timeout: fetchTimeout}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return nil, ErrUnreached.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, ErrUnreached.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, ErrUnreached.New("%s%s: status %d: %s", address, path, response.StatusCode, text)
	}
	return text, nil
}

// decode reads the JSON form of a value.
func decode[T any](text []byte) (T, error) {
	var value T
	if err := json.Unmarshal(text, &value); err != nil {
		return value, ErrUnreached.Wrap(err)
	}
	return value, nil
}
