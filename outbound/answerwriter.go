package outbound

import (
	"errors"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"slatewind.example/slatewind/link"
)

// unreadTimeout is how long a caller may take to read a chunk of its answer. It bounds how long a
// caller that never reads holds a connection.
const unreadTimeout = 30 * time.Second

// Errors of answerWriter.
var (
	errUnreadMemory = Error.New("the caller did not read it, and its memory was needed for other answers")
	errUnreadLong   = Error.New("the caller did not read it")
)

// answerWriter writes an answer to its caller. It is cut off if the caller does not read it in time,
// or if it is the oldest unread answer when their memory is exhausted.
type answerWriter struct {
	w          http.ResponseWriter
	connection *http.ResponseController
	release    func()

	// mu guards aborted, and keeps the deadline of an aborted answer from being extended.
	mu      sync.Mutex
	aborted bool
}

// newAnswerWriter returns a writer for an answer of which the given number of bytes is held.
func (o *Outbound) newAnswerWriter(w http.ResponseWriter, held int) *answerWriter {
	a := &answerWriter{w: w, connection: http.NewResponseController(w)}
	a.release = o.memory.Answers.Hold(int64(held), a.abort)
	return a
}

// abort makes the present write and all later ones fail.
func (a *answerWriter) abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted = true
	// Only response writers of tests do not support deadlines.
	_ = a.connection.SetWriteDeadline(time.Now())
}

// extend gives the caller unreadTimeout from now on. It returns false if the answer was aborted.
func (a *answerWriter) extend() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.aborted {
		return false
	}
	_ = a.connection.SetWriteDeadline(time.Now().Add(unreadTimeout))
	return true
}

// Write implements io.Writer.
func (a *answerWriter) Write(p []byte) (int, error) {
	written := 0
	for part := range slices.Chunk(p, link.ChunkBytes) {
		if !a.extend() {
			return written, errUnreadMemory
		}
		n, err := a.w.Write(part)
		written += n
		if err != nil {
			return written, a.cause(err)
		}
	}
	return written, nil
}

// flush writes what is still buffered, so that its caller has unreadTimeout to read it too.
func (a *answerWriter) flush() error {
	if !a.extend() {
		return errUnreadMemory
	}
	if err := a.connection.Flush(); err != nil {
		return a.cause(err)
	}
	return nil
}

// cause returns the error of a failed write, with the reason if it was the time that ended it.
func (a *answerWriter) cause(err error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.aborted:
		return errUnreadMemory
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errUnreadLong
	}
	return err
}

// close ends the writing of the answer.
func (a *answerWriter) close() {
	a.release()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.aborted {
		_ = a.connection.SetWriteDeadline(time.Time{})
	}
}
