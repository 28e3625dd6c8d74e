package link

import "net/http"

// AbortAnswer ends the handler of a request whose answer broke off, so that the caller does not take what
// it has got for the whole. It does not return. oldCaller reports that the caller uses HTTP/1.0, which has no
// chunks: if no length was stated, only a reset of its connection shows that the body is not complete.
func AbortAnswer(w http.ResponseWriter, oldCaller bool) {
	if oldCaller && w.Header().Get("Content-Length") == "" {
		resetConnection(w)
	}
	panic(http.ErrAbortHandler)
}

// resetConnection closes the caller's connection with a reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
