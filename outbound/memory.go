package outbound

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"slatewind.example/slatewind/bodylimit"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/search"
	"slatewind.example/slatewind/usage"
)

// defaultBodyBytes limits the size of a body, in bytes, if the settings set no limit.
const defaultBodyBytes = 64 << 20

// Memory bounds the memory of an ingress. A nil field means the default bound.
type Memory struct {
	// Guard refuses requests while the process is short of memory; nil means that no limit is known.
	Guard *usage.Guard
	// Requests bounds the bodies of requests that are in flight.
	Requests *bodylimit.Budget
	// Buffers bounds the bodies of answers that are buffered until they are complete, beyond the first chunk of each. An
	// answer that does not fit is passed on while it arrives.
	Buffers *bodylimit.Budget
	// Answers bounds the answers that callers have not read yet.
	Answers *bodylimit.Answers
}

func (m Memory) withDefaults() Memory {
	if m.Requests == nil {
		m.Requests = bodylimit.NewBudget(0)
	}
	if m.Buffers == nil {
		m.Buffers = bodylimit.NewBudget(bodylimit.DefaultAnswerBytes)
	}
	if m.Answers == nil {
		m.Answers = bodylimit.NewAnswers(0)
	}
	return m
}

// MemoryView is the use of Memory in a state dump.
type MemoryView struct {
	RequestBytes int64 `json:"request_bytes"`
	// BufferBytes is the memory of answers that are not complete yet.
	BufferBytes int64                 `json:"buffer_bytes"`
	Answers     bodylimit.AnswersView `json:"answers"`
}

func (m Memory) view() MemoryView {
	return MemoryView{RequestBytes: m.Requests.InUse(), BufferBytes: m.Buffers.InUse(), Answers: m.Answers.View()}
}

// errShortOfMemory refuses a request before anything of it is kept.
var errShortOfMemory = &rejection{status: http.StatusServiceUnavailable, reason: "the process is short of memory", retryAfter: noMemoryRetryAfter}

// readBody reads the caller's body. It waits for memory before it reads, for as long as the request
// may wait for a slot, so that further bodies stay with their callers. rq.bodyLease must be released
// when the request needs its body no longer, also after an error.
func (o *Outbound) readBody(rq *request, w http.ResponseWriter, r *http.Request) error {
	limit := int64(rq.snapshot.Fleet.GetCallerLimits().GetBodyBytes())
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength <= limit {
		if err := o.acquireBody(rq, r); err != nil {
			return err
		}
	}
	deadline := rq.deadline
	if latest := rq.began.Add(link.MaxBodyTime); latest.Before(deadline) {
		deadline = latest
	}
	body, err := link.ReadBody(w, r, link.BodyLimits{Bytes: limit, Deadline: deadline, Grow: rq.bodyLease.Grow})
	if err != nil {
		return bodyRejection(err)
	}
	rq.body = body
	return nil
}

// acquireBody takes memory for the body of a request. One without a stated length takes more as it
// is read.
func (o *Outbound) acquireBody(rq *request, r *http.Request) error {
	ctx, cancel := context.WithTimeout(r.Context(), search.MaxSlotWait(rq.remaining(time.Now()), rq.objective(), rq.call != nil))
	defer cancel()
	bytes := r.ContentLength
	if bytes < 0 {
		bytes = link.BodyStep
	}
	lease, err := o.memory.Requests.Acquire(ctx, bytes)
	if err != nil {
		return bodyRejection(err)
	}
	rq.bodyLease = lease
	return nil
}

// bodyRejection returns the rejection of a request whose body could not be read.
func bodyRejection(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &rejection{status: http.StatusRequestEntityTooLarge, reason: fmt.Sprintf("body is over the limit of %d bytes", tooLarge.Limit)}
	case errors.Is(err, link.ErrBodyLate):
		return &rejection{status: http.StatusRequestTimeout, reason: err.Error()}
	case errors.Is(err, bodylimit.ErrExhausted):
		return &rejection{status: http.StatusServiceUnavailable, reason: err.Error(), retryAfter: noMemoryRetryAfter}
	}
	return &rejection{status: http.StatusBadRequest, reason: "reading the request body failed: " + err.Error()}
}
