package link

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"slatewind.example/slatewind/bodylimit"
)

// MaxBodyTime limits how long a caller may take to send its body.
const MaxBodyTime = 30 * time.Second

// BodyStep is how much of a body without a stated length is read at a time, in bytes.
const BodyStep = 32 << 10

// ErrBodyLate is returned if a body has not arrived in time.
var ErrBodyLate = Error.New("the request body did not arrive in time")

// BodyLimits bounds the body of a caller's request.
type BodyLimits struct {
	// Bytes is the maximum size.
	Bytes int64
	// Deadline is when the whole body must have arrived.
	Deadline time.Time
	// Grow, which may be nil, is called before each step of a body without a stated length after
	// the first is held; it returns an error if there is no memory for it.
	Grow func(bytes int64) error
}

// ReadBody reads the body of a caller's request. If the body is too large, the error is an
// *http.MaxBytesError; a body whose stated length is too large is not read at all. If it arrives
// too late, the error is ErrBodyLate.
func ReadBody(w http.ResponseWriter, r *http.Request, limits BodyLimits) ([]byte, error) {
	if r.ContentLength > limits.Bytes {
		return nil, &http.MaxBytesError{Limit: limits.Bytes}
	}
	connection := http.NewResponseController(w)
	// Only response writers of tests do not support deadlines, so errors are ignored.
	_ = connection.SetReadDeadline(limits.Deadline)
	body, err := readBody(http.MaxBytesReader(w, r.Body, limits.Bytes), r.ContentLength, limits.Grow)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The deadline stays in force: without it, net/http would wait for the rest of the body before it sends the answer.
		return nil, ErrBodyLate
	}
	_ = connection.SetReadDeadline(time.Time{})
	return body, err
}

// readBody reads a body of a stated length, or up to its end if length is negative.
func readBody(from io.Reader, length int64, grow func(int64) error) ([]byte, error) {
	if length >= 0 {
		body := bodylimit.Buffer(length)[:length]
		_, err := io.ReadFull(from, body)
		return body, err
	}
	steps, length, err := readSteps(from, grow)
	if err != nil {
		return nil, err
	}
	body := bodylimit.Buffer(length)
	for _, step := range steps {
		body = append(body, step...)
	}
	return body, nil
}

// minStep is the size in bytes of the first step in which a body without a stated length is read. Each further step is as
// large as what is held already, up to BodyStep.
const minStep = 1 << 10

// readSteps reads a body to its end and returns it in steps, with their total length. A buffer that grows would take up to
// three times that length.
func readSteps(from io.Reader, grow func(int64) error) (steps [][]byte, length int64, err error) {
	for allowed := int64(BodyStep); ; {
		step := make([]byte, min(max(length, minStep), BodyStep))
		if length+int64(len(step)) > allowed && grow != nil {
			if err := grow(BodyStep); err != nil {
				return nil, 0, err
			}
			allowed += BodyStep
		}
		n, err := readStep(from, step)
		steps, length = append(steps, step[:n]), length+int64(n)
		if errors.Is(err, io.EOF) {
			return steps, length, nil
		}
		if err != nil {
			return nil, 0, err
		}
	}
}

// readStep fills step and returns the number of bytes read. Unlike that of io.ReadFull, its error io.EOF always means that
// the body has ended in order.
func readStep(from io.Reader, step []byte) (n int, err error) {
	for n < len(step) && err == nil {
		var read int
		read, err = from.Read(step[n:])
		n += read
	}
	return n, err
}
