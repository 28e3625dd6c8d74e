package link

import (
	"io"
	"net/http"
	"time"
)

// bodyTime bounds how long a caller may take to send its body.
const bodyTime = 30 * time.Second

// ReadBody reads a caller's body, within a limit of bytes and time. The error is an
// http.MaxBytesError where it is longer.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	connection := http.NewResponseController(w)
	// A connection that knows no deadlines is a test's.
	_ = connection.SetReadDeadline(time.Now().Add(bodyTime))
	defer func() { _ = connection.SetReadDeadline(time.Time{}) }()
	return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
}
