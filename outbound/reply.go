package outbound

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/choice"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/quarantine"
)

// rejection is the error for a request that is refused before anything is sent to a server.
type rejection struct {
	status     int
	reason     string
	retryAfter time.Duration
	// evidence holds the figures on which the rejection is based, if any.
	evidence string
}

// Error implements error.
func (r *rejection) Error() string { return r.reason }

// reject responds to a request that newRequest rejected with err. An err that is no rejection gets
// status 400.
func (o *Outbound) reject(w http.ResponseWriter, r *http.Request, err error) {
	rejected := &rejection{status: http.StatusBadRequest, reason: err.Error()}
	errors.As(err, &rejected)
	o.meter.Request("", slatewind.OutcomeNotRun, 0)
	o.journal.Add(slatewind.Decision{
		Time: time.Now(), Kind: slatewind.DecisionRefuse, Request: r.Header.Get(o.headerNames.RequestID), Reason: rejected.reason,
		Evidence: strings.TrimSpace(fmt.Sprintf("status=%d version=%d %s", rejected.status, o.store.Version().Revision, rejected.evidence)),
	})
	o.writeError(w, r.Header.Get(o.headerNames.RequestID), rejected.status, rejected.reason, rejected.retryAfter)
}

// retryAfterDecimals is the precision of Retry-After: hundredths of a second.
const retryAfterDecimals = 2

// writeError writes a response that does not come from a server.
func (o *Outbound) writeError(w http.ResponseWriter, id string, status int, reason string, retryAfter time.Duration) {
	if id != "" {
		w.Header().Set(o.headerNames.RequestID, id)
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		seconds := max(retryAfter, minRetryAfter).Seconds()
		w.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', retryAfterDecimals, 64))
	}
	http.Error(w, reason, status)
}

// requestResult is the result of a request, or of one attempt at it.
type requestResult struct {
	outcome    slatewind.Outcome
	reason     string
	retryAfter time.Duration
	server     string
	// survey counts the servers asked and not asked by the last search; set if that found no slot.
	survey choice.Survey
	// quarantine is the verdict because of which the request was not sent, if it is quarantined.
	quarantine quarantine.Verdict
	// timedOut reports that the request's time ended before its response was complete. It affects
	// the status only if the request may have run.
	timedOut bool
	// answer is set if the outcome is OutcomeAnswer.
	answer *answer
}

// status returns the status of the server's response, or 0 if there is none.
func (f *requestResult) status() int32 {
	if f.answer == nil {
		return 0
	}
	return f.answer.head.GetStatus()
}

// served reports whether a server responded with a status other than a server error.
func (f *requestResult) served() bool {
	return f.answer != nil && f.answer.head.GetStatus() < slatewind.MinServerErrorStatus
}

// surveyText returns the counts of the last search, or "" if there are none.
func (f *requestResult) surveyText() string {
	if f.survey.Known == 0 {
		return ""
	}
	return " " + f.survey.String()
}

// statusOf returns the HTTP status for a result without a server's response. A request that is proven
// to make servers exit gets 400, so that its caller does not send it again; but not a single request
// that may have run, since 400 would say that it did not.
func (rq *request) statusOf(f requestResult) int {
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

// answer writes the result of a request to its caller.
func (o *Outbound) answer(ctx context.Context, w http.ResponseWriter, rq *request, f requestResult) {
	if f.outcome == slatewind.OutcomeAnswer {
		o.forwardAnswer(ctx, w, rq, f)
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
			rq.route.GetName(), rq.kind(), status, time.Since(rq.began).Round(time.Millisecond), rq.snapshot.Version.Revision, f.surveyText()),
	})
	o.writeError(w, rq.id, status, f.reason, f.retryAfter)
}

// forwardAnswer writes the server's response to the caller. If the response breaks off while it is
// being forwarded, the caller's connection is closed, so that the caller cannot take the response
// for complete.
func (o *Outbound) forwardAnswer(ctx context.Context, w http.ResponseWriter, rq *request, f requestResult) {
	defer f.answer.close()
	f.answer.writeHeader(w.Header())
	whole := func() {}
	if rq.oldCaller && w.Header().Get("Content-Length") == "" {
		whole = link.GuardAnswer(ctx)
	}
	caller := o.newAnswerWriter(w, len(f.answer.body))
	// From here on the answer counts among those that callers have not read.
	f.answer.buffered.Release()
	defer caller.close()
	w.WriteHeader(int(f.answer.head.GetStatus()))
	err := f.answer.writeBody(caller)
	if err == nil || errors.Is(err, http.ErrBodyNotAllowed) {
		whole()
		return
	}
	o.journal.Add(slatewind.Decision{
		Time: time.Now(), Kind: slatewind.DecisionUnknown, Service: rq.service, Server: f.server, Request: rq.id,
		Reason: "the answer broke off while it was passed on: " + err.Error(),
	})
	link.AbortAnswer(w, rq.oldCaller)
}

// writeHeader sets the header fields of the response. Its length is stated if it is known, so that the
// caller notices a truncated body.
func (a *answer) writeHeader(header http.Header) {
	for _, h := range a.head.GetHeaders() {
		if !link.HopByHop[h.GetName()] {
			header.Add(h.GetName(), string(h.GetValue()))
		}
	}
	if _, ok := header["Content-Type"]; !ok {
		// Otherwise net/http would detect a content type.
		header["Content-Type"] = nil
	}
	length := len(a.body)
	if a.bodiless || a.rest != nil {
		length = a.stated
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.Itoa(length))
	}
}

// writeBody writes the body of the response. It returns nil only if the response was complete.
func (a *answer) writeBody(caller *answerWriter) error {
	if _, err := caller.Write(a.body); err != nil {
		return err
	}
	for a.rest != nil {
		chunk, done, err := a.rest.next()
		if err != nil {
			return err
		}
		if done {
			break
		}
		if _, err := caller.Write(chunk); err != nil {
			return err
		}
	}
	return caller.flush()
}
