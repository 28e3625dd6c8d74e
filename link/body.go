package link

import (
	"io"
	"net/http"
	"time"
)

// bodyReadTimeout limits how long a caller may take to send its body.
const bodyReadTimeout = 30 * time.Second

// ReadBody reads a caller's request body of at most limit bytes within bodyReadTimeout. If
// the body is longer, the error is an *http.MaxBytesError.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	connection := http.NewResponseController(w)
	// Only response writers of tests do not support deadlines, so errors are ignored.
	_ = connection.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	defer func() { _ = connection.SetReadDeadline(time.Time{}) }()
	return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
}
