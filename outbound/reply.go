package outbound

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/choice"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/quarantine"
)

// rejection is a request that is refused before anything is sent.
type rejection struct {
	status     int
	reason     string
	retryAfter time.Duration
	// evidence holds the figures that decided, if there are any.
	evidence string
}

// Error implements error.
func (r *rejection) Error() string { return r.reason }

// reject answers a request that cannot be sent anywhere.
func (o *Outbound) reject(w http.ResponseWriter, r *http.Request, err error) {
	rejected := &rejection{status: http.StatusBadRequest, reason: err.Error()}
	errors.As(err, &rejected)
	o.meter.Request("", slatewind.OutcomeNotRun, 0)
	o.journal.Add(slatewind.Decision{
		Time: time.Now(), Kind: slatewind.DecisionRefuse, Request: r.Header.Get(o.dialect.RequestID), Reason: rejected.reason,
		Evidence: strings.TrimSpace(fmt.Sprintf("status=%d version=%d %s", rejected.status, o.store.Version().Revision, rejected.evidence)),
	})
	o.writeOwn(w, r.Header.Get(o.dialect.RequestID), rejected.status, rejected.reason, rejected.retryAfter)
}

// retryAfterDecimals is how exactly callers are told when to come back: in
// hundredths of a second.
const retryAfterDecimals = 2

// writeOwn writes an answer that is not a server's.
func (o *Outbound) writeOwn(w http.ResponseWriter, id string, status int, reason string, retryAfter time.Duration) {
	if id != "" {
		w.Header().Set(o.dialect.RequestID, id)
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		seconds := max(retryAfter, leastRetryAfter).Seconds()
		w.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', retryAfterDecimals, 64))
	}
	http.Error(w, reason, status)
}

// final is what becomes of a request.
type final struct {
	outcome    slatewind.Outcome
	reason     string
	retryAfter time.Duration
	server     string
	// survey counts the servers that the last search asked, where it found no slot.
	survey choice.Survey
	// quarantine says why the request was not sent, where servers ended under it.
	quarantine quarantine.Verdict
	// timedOut says that the request's time ended while a server had it.
	timedOut bool
	// answer is set for OutcomeAnswer.
	answer *answer
}

// status returns that of the server's answer, 0 where there is none.
func (f *final) status() int32 {
	if f.answer == nil {
		return 0
	}
	return f.answer.head.GetStatus()
}

// served reports whether the outcome is a server's answer and no error of its own.
func (f *final) served() bool {
	return f.answer != nil && f.answer.head.GetStatus() < slatewind.MinServerErrorStatus
}

// surveyed returns the counts of the last search, where it found no slot.
func (f *final) surveyed() string {
	if f.survey.Known == 0 {
		return ""
	}
	return " " + f.survey.String()
}

// statusOf returns the status of an answer that is not a server's, for an outcome. A request
// that is proved to end servers is refused as bad, so that its caller does not send it again;
// where a single one may have run, nothing is said about that.
func (rq *request) statusOf(f final) int {
	switch {
	case f.quarantine.Proven && (f.outcome == slatewind.OutcomeNotRun || rq.repeatable()):
		return http.StatusBadRequest
	case f.outcome == slatewind.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case f.timedOut:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// answer gives a caller the outcome of its request.
func (o *Outbound) answer(w http.ResponseWriter, rq *request, f final) {
	if f.outcome == slatewind.OutcomeAnswer {
		o.passOn(w, rq, f)
		return
	}
	kind, status := slatewind.DecisionRefuse, rq.statusOf(f)
	if f.outcome == slatewind.OutcomeUnknown {
		kind = slatewind.DecisionUnknown
	}
	if f.quarantine.Refused {
		o.meter.Quarantined(rq.service)
	}
	o.journal.Add(slatewind.Decision{
		Time: time.Now(), Kind: kind, Service: rq.service, Server: f.server, Request: rq.id, Reason: f.reason,
		Evidence: fmt.Sprintf("route=%s kind=%s status=%d took=%s version=%d%s",
			rq.route.GetName(), rq.kind(), status, time.Since(rq.began).Round(time.Millisecond), rq.snapshot.Version.Revision, f.surveyed()),
	})
	o.writeOwn(w, rq.id, status, f.reason, f.retryAfter)
}

// passOn gives the server's own answer to the caller. One that breaks off while
// it is passed on cuts the caller's connection, so that it cannot look whole.
func (o *Outbound) passOn(w http.ResponseWriter, rq *request, f final) {
	defer f.answer.close()
	header := w.Header()
	for _, h := range f.answer.head.GetHeaders() {
		if !link.HopByHop[h.GetName()] {
			header.Add(h.GetName(), h.GetValue())
		}
	}
	if _, ok := header["Content-Type"]; !ok {
		// Without this the library would guess one.
		header["Content-Type"] = nil
	}
	if f.answer.rest == nil {
		header.Set("Content-Length", strconv.Itoa(len(f.answer.body)))
	}
	w.WriteHeader(int(f.answer.head.GetStatus()))
	_, err := w.Write(f.answer.body)
	for err == nil && f.answer.rest != nil {
		var chunk []byte
		if chunk, err = f.answer.rest(); err == nil {
			_, err = w.Write(chunk)
		}
	}
	if err == nil || errors.Is(err, io.EOF) || errors.Is(err, http.ErrBodyNotAllowed) {
		return
	}
	o.journal.Add(slatewind.Decision{
		Time: time.Now(), Kind: slatewind.DecisionUnknown, Service: rq.service, Server: f.server, Request: rq.id,
		Reason: "the answer broke off while it was passed on: " + err.Error(),
	})
	if f.answer.rest != nil {
		panic(http.ErrAbortHandler)
	}
}
