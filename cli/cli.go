// Package cli implements the commands of the slatewind program.
package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
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
	// ExitFindings means that a file has findings or a trace missed an expected outcome.
	ExitFindings
	// ExitUsage means that the command line is invalid.
	ExitUsage
	// ExitUnreached means that a process could not be reached or a file could not be read.
	ExitUnreached
)

// ExitCodes is the description of the exit codes for --help.
const ExitCodes = "Exit codes: 0 success, 1 a file has findings or a trace missed an expected outcome, 2 the command line is invalid, 3 a process could not be reached or a file could not be read."

// Classes of errors that ExitCode maps to an exit code.
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

// IsHelp reports whether an error holds the text of --help, which is not a failure.
func IsHelp(err error) bool {
	var flagErr *flags.Error
	return errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp
}

// AddCommands adds all commands to a parser. They write their output to out.
func AddCommands(parser *flags.Parser, out io.Writer) error {
	commands := []struct {
		name, short, long string
		data              any
	}{
		{"check", "check settings files", "Checks operators' files, or with --process the settings of processes, and prints every finding as file:line:column: message (check).", &checkCommand{out: out}},
		{"state", "dump the state of a process", "Prints the state of a process as text or JSON, once or repeatedly. ADDR is its admin address.", &stateCommand{out: out}},
		{"explain", "explain decisions", "Prints the journals of processes: why a server was judged unhealthy, why a request was refused, and other decisions, in chronological order. Decisions about calls that a server made for a request are indented. SOURCE is the admin address of a process or, with --logs, a log file.", &explainCommand{out: out}},
		{"settings", "show the settings in force at processes", "Prints for each process the revision in force and since when it has been in force.", &settingsCommand{out: out}},
		{"ready", "wait until processes are ready", "Waits until every process accepts callers.", &readyCommand{out: out}},
		{"record", "fetch recent events as a trace", "Prints the recent events of a process as a trace for slatewind replay.", &recordCommand{out: out}},
		{"measure", "measure the policy", "Runs the policy and two baselines through scenarios in virtual time and prints detection time, false ejections and the results for callers.", &measureCommand{out: out}},
		{"report", "summarise logs", "Reads the log files of processes and prints by service and kind of route the requests that were not served and why, breakers that opened, extra attempts, servers not asked, and stops. With --html, also writes an HTML page with plots.", &reportCommand{out: out}},
		{"completion", "print a shell completion script", "Prints a script with which a shell completes command lines of slatewind. SHELL is bash, zsh or fish.", &completionCommand{out: out}},
		{"digest", "digest keys of workspaces", "Reads keys from standard input, one per line, and prints the digest of each for the settings of its workspace.", &digestCommand{out: out}},
		{"replay", "replay traces", "Replays traces through the decision code and compares the results with their expected outcomes.", &replayCommand{out: out}},
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
	Explain string `long:"explain" description:"print the description of one check instead, for example SW1006" value-name:"CHECK"`
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
	return errs.New("slatewind check: unknown check %q", c.Explain)
}

// oneAddress is the argument of commands that query one process.
type oneAddress struct {
	Address string `positional-arg-name:"ADDR" required:"yes"`
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

// readyPoll is the time between two queries to a process that is not ready.
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
		return ErrFindings.New("%d expected outcome(s) missed", missed)
	}
	return nil
}

type measureCommand struct {
	out     io.Writer
	Seeds   int     `long:"seeds" description:"number of runs per scenario and strategy" default:"20"`
	Caution float64 `long:"caution" description:"caution in nats, overriding that of the services"`
	Ours    bool    `long:"ours" description:"omit the baselines"`
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
	strategies := []measure.StrategyName{measure.StrategySlatewind, measure.StrategyConsecutive, measure.StrategyRoundRobin}
	if c.Ours {
		strategies = strategies[:1]
	}
	for _, name := range c.Args.Scenarios {
		if !measure.KnownScenario(name) {
			return errs.New("slatewind measure: unknown scenario %q; see --list", name)
		}
	}
	rows := measure.Measure(measure.Options{Scenarios: c.Args.Scenarios, Seeds: c.Seeds, Caution: c.Caution, Strategies: strategies})
	if c.CSV {
		return measure.WriteCSV(c.out, rows)
	}
	return measure.WriteTable(c.out, rows)
}

// fetchTimeout bounds one query to a process.
const fetchTimeout = 5 * time.Second

// fetch returns the response of a process's admin interface at path.
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

// decode decodes a value from JSON.
func decode[T any](text []byte) (T, error) {
	var value T
	if err := json.Unmarshal(text, &value); err != nil {
		return value, ErrUnreached.Wrap(err)
	}
	return value, nil
}
