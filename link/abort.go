package link

import (
	"context"
	"net"
	"net/http"
)

// connKey is the context key of a caller's connection.
type connKey struct{}

// ConnContext is the http.Server.ConnContext hook that GuardAnswer needs.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// GuardAnswer prepares an answer whose end is that of the caller's connection. Until whole is called, the connection ends with a
// reset, also if the server closes it or the process exits. ctx is the context of the request.
func GuardAnswer(ctx context.Context) (whole func()) {
	tcp, ok := ctx.Value(connKey{}).(lingerer)
	if !ok {
		return func() {}
	}
	_ = tcp.SetLinger(0)
	return func() { _ = tcp.SetLinger(defaultLinger) }
}

// defaultLinger has a closed connection deliver what was written to it.
const defaultLinger = -1

// lingerer is a TCP connection.
type lingerer interface{ SetLinger(seconds int) error }

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
	if tcp, ok := conn.(lingerer); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
