package logreport

import (
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/zeebo/errs"

	"slatewind.example/slatewind"
)

// Error is the class of errors of this package.
var Error = errs.Class("logreport")

// Place is where a line stands.
type Place struct {
	File string
	Line int
}

// Finding is a line that cannot be read.
type Finding struct {
	Place   Place
	Message string
}

// String renders a finding as file:line: message.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s", f.Place.File, f.Place.Line, f.Message)
}

// Findings are all lines that cannot be read.
type Findings []Finding

// mostFindings bounds the findings that are told one by one.
const mostFindings = 20

// Error renders one finding a line, and how many more there are.
func (f Findings) Error() string {
	var lines []string
	for _, finding := range f[:min(len(f), mostFindings)] {
		lines = append(lines, finding.String())
	}
	if more := len(f) - mostFindings; more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more line(s) that cannot be read", more))
	}
	return strings.Join(lines, "\n")
}

// line is one log line, split into its fields.
type line struct {
	// source names the process whose line it is.
	source string
	// at is zero where the line has no time.
	at     time.Time
	fields map[string]string
}

// decisionMessage is that of the lines that tell a decision.
const decisionMessage = "decision"

// firstKeys are the keys with which lines of processes begin.
var firstKeys = []string{"time=", "level="}

var (
	errNoLine = errors.New("not a line of a process: no time= or level=")
	errNoTime = errors.New("the time is none")
)

// parseLine splits a line. Whatever stands before its first key was put there by
// the collector of the logs; its last word names the process then, else the file does.
func parseLine(file, text string) (line, error) {
	start := -1
	for _, key := range firstKeys {
		if start = beginOf(text, key); start >= 0 {
			break
		}
	}
	if start < 0 {
		return line{}, errNoLine
	}
	l := line{source: filepath.Base(file), fields: map[string]string{}}
	if words := strings.Fields(text[:start]); len(words) > 0 {
		l.source = words[len(words)-1]
	}
	if err := l.split(text[start:]); err != nil {
		return line{}, err
	}
	if at, ok := l.fields["time"]; ok {
		var err error
		if l.at, err = time.Parse(time.RFC3339Nano, at); err != nil {
			return line{}, fmt.Errorf("%w: %q", errNoTime, at)
		}
	}
	return l, nil
}

// Decision returns the decision that a line of a log tells, and the process that made it.
// Lines that tell of something else are not found.
func Decision(file, text string) (process string, d slatewind.Decision, found bool, err error) {
	l, err := parseLine(file, text)
	if err != nil || l.fields["msg"] != decisionMessage {
		return "", slatewind.Decision{}, false, err
	}
	return l.source, slatewind.Decision{
		Time: l.at, Kind: slatewind.DecisionKind(l.fields["kind"]),
		Service: l.fields["service"], Server: l.fields["server"], Request: l.fields["request"],
		Reason: l.fields["reason"], Evidence: l.fields["evidence"],
	}, true, nil
}

// beginOf returns where a key begins a word, or -1.
func beginOf(text, key string) int {
	if strings.HasPrefix(text, key) {
		return 0
	}
	if i := strings.Index(text, " "+key); i >= 0 {
		return i + 1
	}
	return -1
}

// split reads the pairs of a line.
func (l *line) split(text string) error {
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			l.fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	var syntax *logfmt.SyntaxError
	if err := decoder.Err(); errors.As(err, &syntax) {
		return fmt.Errorf("no key=value pairs from column %d on: %s", syntax.Pos, syntax.Msg)
	} else if err != nil {
		return err
	}
	return nil
}

// number reads a count among pairs; one that is missing is zero.
func number(pairs map[string]string, key string) (int, error) {
	text, ok := pairs[key]
	if !ok {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("%s=%s is no number", key, text)
	}
	return n, nil
}

// pairsOf splits the evidence of a decision; words without = are left out.
func pairsOf(evidence string) map[string]string {
	pairs := map[string]string{}
	for word := range strings.FieldsSeq(evidence) {
		if key, value, ok := strings.Cut(word, "="); ok {
			pairs[key] = value
		}
	}
	return pairs
}
