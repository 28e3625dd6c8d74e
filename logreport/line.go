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

// Place is the position of a line.
type Place struct {
	File string
	Line int
}

// Finding is a line that cannot be parsed.
type Finding struct {
	Place   Place
	Message string
}

// String formats a finding as file:line: message.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s", f.Place.File, f.Place.Line, f.Message)
}

// Findings are the lines that cannot be parsed.
type Findings []Finding

// maxListedFindings is the number of findings that are listed one by one.
const maxListedFindings = 20

// Error returns one finding per line, at most maxListedFindings, and the number of further ones.
func (f Findings) Error() string {
	var lines []string
	for _, finding := range f[:min(len(f), maxListedFindings)] {
		lines = append(lines, finding.String())
	}
	if more := len(f) - maxListedFindings; more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more line(s) that cannot be read", more))
	}
	return strings.Join(lines, "\n")
}

// line is one log line, split into its fields.
type line struct {
	// source is the name of the process that wrote the line.
	source string
	// at is zero if the line has no time.
	at     time.Time
	fields map[string]string
}

// decisionMessage is the message of lines that log a decision.
const decisionMessage = "decision"

// firstKeys are the keys with which log lines may begin.
var firstKeys = []string{"time=", "level="}

var (
	errNoLine      = errors.New("not a line of a process: no time= or level=")
	errInvalidTime = errors.New("invalid time")
)

// parseLine parses a line. Text before its first key was added by a log collector; its last word
// is the name of the process. Without such text, the base name of the file is.
func parseLine(file, text string) (line, error) {
	start := -1
	for _, key := range firstKeys {
		if start = indexOfKey(text, key); start >= 0 {
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
			return line{}, fmt.Errorf("%w: %q", errInvalidTime, at)
		}
	}
	return l, nil
}

// Decision returns the decision in a log line and the process that made it. found is false for
// lines that log something else.
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

// indexOfKey returns the index of the first word that begins with key, or -1.
func indexOfKey(text, key string) int {
	if strings.HasPrefix(text, key) {
		return 0
	}
	if i := strings.Index(text, " "+key); i >= 0 {
		return i + 1
	}
	return -1
}

// split parses the key=value pairs of a line.
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

// number returns the integer value of a key, or 0 if the key is missing.
func number(pairs map[string]string, key string) (int, error) {
	text, ok := pairs[key]
	if !ok {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("%s=%s is not a number", key, text)
	}
	return n, nil
}

// pairsOf returns the key=value pairs in the evidence of a decision. Words without = are ignored.
func pairsOf(evidence string) map[string]string {
	pairs := map[string]string{}
	for word := range strings.FieldsSeq(evidence) {
		if key, value, ok := strings.Cut(word, "="); ok {
			pairs[key] = value
		}
	}
	return pairs
}
