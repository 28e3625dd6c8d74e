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
	Request string `long:"request" description:"only decisions about the request with this Slatewind-Request id, and about the calls that a server made for it" value-name:"ID"`
	Logs    bool   `long:"logs" description:"read the decisions from log files"`
	Args    struct {
		Sources []string `positional-arg-name:"SOURCE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander. Sources that cannot be read are told at the end; the
// decisions are those of the others.
func (c *explainCommand) Execute([]string) error {
	filter := history.Filter{Service: c.Service, Server: c.Server, Request: c.Request}
	read := readJournals
	if c.Logs {
		read = readLogs
	}
	accounts, err := read(c.Args.Sources, filter)
	return errs.Combine(writeAccounts(c.out, accounts, len(c.Args.Sources) > 1), err)
}

// account is a decision as the process tells it that made it.
type account struct {
	slatewind.Decision
	process string
}

// mostQuestions is how many processes are asked at the same time.
const mostQuestions = 32

// readJournals asks processes for the decisions that a filter selects.
func readJournals(addresses []string, filter history.Filter) ([]account, error) {
	query := url.Values{}
	query.Set("service", filter.Service)
	query.Set("server", filter.Server)
	query.Set("request", filter.Request)
	path := "/journal?" + query.Encode()

	var mu sync.Mutex
	var accounts []account
	var failures errs.Group
	var questions errgroup.Group
	questions.SetLimit(mostQuestions)
	for _, address := range addresses {
		questions.Go(func() error {
			decisions, err := readJournal(address, path)
			mu.Lock()
			defer mu.Unlock()
			failures.Add(err)
			for _, d := range decisions {
				accounts = append(accounts, account{d, address})
			}
			return nil
		})
	}
	_ = questions.Wait() // Failures are collected, since one must not end the other questions.
	return accounts, failures.Err()
}

func readJournal(address, path string) ([]slatewind.Decision, error) {
	text, err := fetch(address, path)
	if err != nil {
		return nil, err
	}
	return decode[[]slatewind.Decision](text)
}

// readLogs reads the decisions that a filter selects from files.
func readLogs(files []string, filter history.Filter) ([]account, error) {
	var accounts []account
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
				accounts = append(accounts, account{d, process})
			}
		})
		failures.Add(ErrUnreached.Wrap(err))
	}
	if len(findings) > 0 {
		failures.Add(ErrFindings.Wrap(findings))
	}
	return accounts, failures.Err()
}

// writeAccounts prints decisions in the order of time. Those about a call are indented once
// more than those about the request that it was made for.
func writeAccounts(out io.Writer, accounts []account, named bool) error {
	if len(accounts) == 0 {
		_, err := fmt.Fprintln(out, "the journal holds no such decision")
		return err
	}
	slices.SortStableFunc(accounts, func(a, b account) int { return a.Time.Compare(b.Time) })
	requests := requestsOf(accounts)
	for _, a := range accounts {
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

// requestsOf returns the ids of the requests that decisions are about.
func requestsOf(accounts []account) []string {
	var ids []string
	for _, a := range accounts {
		ids = append(ids, a.Request)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// callDepth returns how many of the requests a request was made for.
func callDepth(id string, requests []string) int {
	depth := 0
	for _, request := range requests {
		if slatewind.IsNestedCallID(id, request) {
			depth++
		}
	}
	return depth
}
