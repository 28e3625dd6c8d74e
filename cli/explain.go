package cli

import (
	"fmt"
	"io"
	"net/url"
	"slices"
	"strings"
	"sync"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/logreport"
)

type explainCommand struct {
	out     io.Writer
	Service string `long:"service" description:"only decisions about this service" value-name:"NAME"`
	Server  string `long:"server" description:"only decisions about this server" value-name:"NAME"`
	Request string `long:"request" description:"only decisions about the request with this Slatewind-Request ID and the calls that a server made for it" value-name:"ID"`
	Logs    bool   `long:"logs" description:"read the decisions from log files"`
	Args    struct {
		Sources []string `positional-arg-name:"SOURCE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander. It prints the decisions of all sources that can be read,
// and returns the errors of the others.
func (c *explainCommand) Execute([]string) error {
	filter := history.Filter{Service: c.Service, Server: c.Server, Request: c.Request}
	read := readJournals
	if c.Logs {
		read = readLogs
	}
	decisions, err := read(c.Args.Sources, filter)
	return errs.Combine(writeDecisions(c.out, decisions, len(c.Args.Sources) > 1), err)
}

// processDecision is a decision with the process that made it.
type processDecision struct {
	slatewind.Decision
	process string
}

// maxParallelQueries is the number of processes that are queried at the same time.
const maxParallelQueries = 32

// readJournals queries processes for the decisions that match a filter.
func readJournals(addresses []string, filter history.Filter) ([]processDecision, error) {
	query := url.Values{}
	query.Set("service", filter.Service)
	query.Set("server", filter.Server)
	query.Set("request", filter.Request)
	path := "/journal?" + query.Encode()

	var mu sync.Mutex
	var decisions []processDecision
	var failures errs.Group
	var queries errgroup.Group
	queries.SetLimit(maxParallelQueries)
	for _, address := range addresses {
		queries.Go(func() error {
			journal, err := readJournal(address, path)
			mu.Lock()
			defer mu.Unlock()
			failures.Add(err)
			for _, d := range journal {
				decisions = append(decisions, processDecision{d, address})
			}
			return nil
		})
	}
	_ = queries.Wait() // Errors are collected in failures, since one must not end the other queries.
	return decisions, failures.Err()
}

func readJournal(address, path string) ([]slatewind.Decision, error) {
	text, err := fetch(address, path)
	if err != nil {
		return nil, err
	}
	return decode[[]slatewind.Decision](text)
}

// readLogs reads the decisions that match a filter from log files.
func readLogs(files []string, filter history.Filter) ([]processDecision, error) {
	var decisions []processDecision
	var findings logreport.Findings
	var failures errs.Group
	for _, file := range files {
		err := eachLine(file, func(place logreport.Place, text string) {
			process, d, found, err := logreport.Decision(place.File, text)
			switch {
			case strings.TrimSpace(text) == "":
			case err != nil:
				findings = append(findings, logreport.Finding{Place: place, Message: err.Error()})
			case found && filter.Matches(d):
				decisions = append(decisions, processDecision{d, process})
			}
		})
		failures.Add(ErrUnreached.Wrap(err))
	}
	if len(findings) > 0 {
		failures.Add(ErrFindings.Wrap(findings))
	}
	return decisions, failures.Err()
}

// writeDecisions prints decisions in chronological order. Decisions about a call are indented one
// level more than those about the request for which the call was made. named adds the names of
// the processes.
func writeDecisions(out io.Writer, decisions []processDecision, named bool) error {
	if len(decisions) == 0 {
		_, err := fmt.Fprintln(out, "no matching decisions")
		return err
	}
	slices.SortStableFunc(decisions, func(a, b processDecision) int { return a.Time.Compare(b.Time) })
	requests := requestsOf(decisions)
	for _, a := range decisions {
		words := []string{string(a.Kind), strings.TrimSpace(a.Service + " " + a.Server + " " + a.Request)}
		if named {
			words = slices.Insert(words, 0, a.process)
		}
		indent := strings.Repeat("  ", callDepth(a.Request, requests))
		_, err := fmt.Fprintf(out, "%s %s%s: %s [%s]\n", a.Time.Format("15:04:05.000"), indent, strings.Join(words, " "), a.Reason, a.Evidence)
		if err != nil {
			return err
		}
	}
	return nil
}

// requestsOf returns the distinct request IDs of decisions.
func requestsOf(decisions []processDecision) []string {
	var ids []string
	for _, a := range decisions {
		ids = append(ids, a.Request)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// callDepth returns how many of the requests are ancestors of the request with an ID.
func callDepth(id string, requests []string) int {
	depth := 0
	for _, request := range requests {
		if slatewind.IsNestedCallID(id, request) {
			depth++
		}
	}
	return depth
}
