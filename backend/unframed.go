package backend

import (
	"io"
	"slices"
	"strings"

	"github.com/zeebo/errs"
)

// errSecondAnswer is an ErrMalformedAnswer for a body without a stated length that contains another answer.
var errSecondAnswer = errs.Combine(ErrMalformedAnswer, Error.New("the body, whose length is not stated, contains the head of another answer"))

// unframedBody is the body of an answer that ends only with its connection. Whatever the server sends before it
// closes the connection becomes part of such a body. A second answer is known by its head: a status line,
// which may follow the body at once, and behind it fields among which is one of markers. Then Read fails, so
// that the answer never appears complete. Other surplus bytes cannot be told from the body's own, nor can an answer
// without any of these fields.
type unframedBody struct {
	io.ReadCloser
	scanner headScanner
	// onSecond is called when a second answer is found.
	onSecond func()
	// failed reports that a second answer was found.
	failed bool
}

// newUnframedBody returns a body in which an answer with any of the fields of markers is an error. onSecond is called for it.
func newUnframedBody(body io.ReadCloser, onSecond func(), markers ...string) *unframedBody {
	return &unframedBody{ReadCloser: body, onSecond: onSecond, scanner: headScanner{markers: markers}}
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	if b.failed {
		return 0, errSecondAnswer
	}
	n, err := b.ReadCloser.Read(p)
	if b.failed = b.scanner.scan(p[:n]); b.failed {
		b.onSecond()
		return 0, errSecondAnswer
	}
	return n, err
}

// scanState is the part of a head that a headScanner expects next.
type scanState string

const (
	// scanBody: no status line has begun.
	scanBody scanState = ""
	// scanLine: the rest of a line, whose content does not matter.
	scanLine scanState = "line"
	// scanName: the name of a field, or the end of the head.
	scanName scanState = "name"
)

const (
	// statusLine is the beginning of a status line; a 0 stands for any digit.
	statusLine = "HTTP/1.0 000"
	// maxNameBytes limits what is kept of the name of a field, in bytes. No marker is as long.
	maxNameBytes = 64
)

// headScanner finds the head of an answer in a stream of which it keeps no more than the name of a field.
type headScanner struct {
	// markers are the names of the fields of which one must be in the head.
	markers []string
	// matched is how much of statusLine the stream ends with at present, in bytes.
	matched int
	state   scanState
	// name is the beginning of the current line.
	name []byte
}

// scan reads on, and reports whether the head of an answer was found.
func (s *headScanner) scan(part []byte) bool {
	for _, c := range part {
		if s.step(c) {
			return true
		}
	}
	return false
}

// step reads one byte, and reports whether it completes the name of a marker.
func (s *headScanner) step(c byte) bool {
	if s.matchStatusLine(c) {
		s.state = scanLine
		return false
	}
	switch s.state {
	case scanLine:
		if c == '\n' {
			s.state, s.name = scanName, s.name[:0]
		}
	case scanName:
		return s.stepName(c)
	}
	return false
}

// matchStatusLine reports whether a byte completes the beginning of a status line. That may happen in any state, since
// what looks like a head may be none.
func (s *headScanner) matchStatusLine(c byte) bool {
	want := statusLine[s.matched]
	switch {
	case c == want && want != '0', want == '0' && '0' <= c && c <= '9':
		s.matched++
	case c == statusLine[0]:
		s.matched = 1
	default:
		s.matched = 0
	}
	if s.matched < len(statusLine) {
		return false
	}
	s.matched = 0
	return true
}

// stepName reads one byte of a field's name, and reports whether it completes the name of a marker.
func (s *headScanner) stepName(c byte) bool {
	switch {
	case c == ':':
		s.state = scanLine
		// Blanks behind a name are invalid, but the line is still meant as that field.
		name := strings.TrimRight(string(s.name), " \t")
		return slices.ContainsFunc(s.markers, func(marker string) bool { return strings.EqualFold(marker, name) })
	case len(s.name) == 0 && (c == ' ' || c == '\t'):
		// The line continues the one before it.
		s.state = scanLine
	case c == '\n':
		// The head has ended, or the line is no field.
		s.state = scanBody
	case c != '\r' && len(s.name) < maxNameBytes:
		s.name = append(s.name, c)
	}
	return false
}
