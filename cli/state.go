package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/zeebo/errs"

	"slatewind.example/slatewind/admin"
)

type stateCommand struct {
	out   io.Writer
	JSON  bool          `long:"json" description:"print JSON"`
	Watch bool          `long:"watch" description:"print the state repeatedly until interrupted"`
	Every time.Duration `long:"every" description:"with --watch, the time between two dumps" default:"1s" value-name:"TIME"`
	Times int           `long:"times" description:"with --watch, the number of dumps to print; 0 means no limit" value-name:"N"`
	Args  oneAddress    `positional-args:"yes"`
}

// clearScreen moves the cursor of a terminal to the top left corner and clears the screen.
const clearScreen = "\x1b[H\x1b[2J"

// Execute implements flags.Commander.
func (c *stateCommand) Execute([]string) error {
	if !c.Watch {
		return c.print()
	}
	if c.Every <= 0 {
		return errs.New("slatewind state: --every must be positive, got %s", c.Every)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	return c.watch(ctx)
}

// watch prints the state repeatedly. If the process does not respond, it prints the error and
// goes on, since the process may respond again the next time.
func (c *stateCommand) watch(ctx context.Context) error {
	for printed := 1; ; printed++ {
		if _, err := io.WriteString(c.out, clearScreen); err != nil {
			return err
		}
		err := c.print()
		if c.Times > 0 && printed >= c.Times {
			return err
		}
		if err != nil {
			_, _ = fmt.Fprintln(c.out, err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(c.Every):
		}
	}
}

// print prints the state once.
func (c *stateCommand) print() error {
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

// writeState prints a state as a table.
func writeState(out io.Writer, s admin.State) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(w, format+"\n", values...) }
	line("vm\t%s\tdata centre %s", s.VM, s.DataCentre)
	line("settings\trevision %d\tsince %s", s.Settings.Revision, s.Settings.Since.Format(time.RFC3339))
	line("platform\tseen %s ago\treader %t", s.PlatformAge, s.Reader)
	if s.Known != nil {
		line("servers\tknown until revision %s", s.Known)
	}
	for _, dataCentre := range s.Evacuated {
		line("evacuated\tdata centre %s", dataCentre)
	}
	for _, service := range s.Ingress.Services {
		line("service\t%s\tcapacity %d\tfloor %d", service.Name, service.Capacity, service.Floor)
		for _, server := range service.Servers {
			line("\t%s\t%s\tweight %.2f\tload %.0f\t%s\t%s", server.Name, server.State, server.Weight, server.Load, server.Score, remarks(server.Leaving, server.Unreachable))
		}
	}
	for _, server := range s.Sidecar.Servers {
		line("own server\t%s\tslots %d/%d\tqueued %d\toutcomes %d\t%s", server.Server, server.InUse, server.Slots, server.Queued, server.Outcomes, server.Leaving)
	}
	line("once\t%d records\t%d bytes of answers", s.Sidecar.OnceRecords, s.Sidecar.AnswerBytes)
	for _, u := range s.Limits {
		line("limit\t%s\t%s\t%g a second, burst %g\t%.1f tokens left", u.Workspace, u.Role, u.Rate, u.Burst, u.Level)
	}
	for _, r := range s.Suspects {
		line("suspect\trequest %s\t%d servers ended\trefused %t\ttrial in %s", r.Digest, r.Crashes, r.Refused, time.Duration(r.TrialInMs)*time.Millisecond)
	}
	for _, m := range s.Members {
		line("member\t%s\t%s\t%s\tby %s\t%s ago", m.VM, m.DataCentre, m.State, m.Source, s.Time.Sub(m.Updated).Round(time.Second))
	}
	return w.Flush()
}

// remarks returns the conditions of a server that its state does not include.
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
