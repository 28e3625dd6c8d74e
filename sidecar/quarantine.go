package sidecar

import (
	"context"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/crash"
	"slatewind.example/slatewind/quarantine"
)

// contentOf returns what makes two attempts' requests the same.
func contentOf(request *slatewindv1.RunRequest) quarantine.Content {
	return quarantine.Content{
		Workspace: request.GetCustomer(), Method: request.GetMethod(), Host: request.GetHost(), Target: request.GetTarget(), Body: request.GetBody(),
	}
}

// quarantined returns why the request must not be given to the server, or nil.
func (r *run) quarantined(now time.Time) *refusal {
	verdict := r.sidecar.suspects.Begin(now, r.digest, quarantine.Turn{})
	r.trial = verdict.Trial
	if !verdict.Refused {
		return nil
	}
	return &refusal{reason: verdict.Reason(r.digest()), retryAfter: verdict.TrialIn}
}

// noteEnd notes whether the server ended under the request, whose run failed.
func (r *run) noteEnd(ctx context.Context, started bool, err error) {
	now := time.Now()
	at := crash.Run{Digest: r.digest(), Trial: r.trial, Began: r.began, Sent: started}
	if ctx.Err() != nil {
		r.door.crashes.Abandoned(now, at)
		return
	}
	end, ok := r.door.crashes.Failed(at, err)
	if !ok {
		return
	}
	r.sidecar.journal.Add(end.Decision(now, slatewind.Decision{Service: r.door.service, Server: r.door.name}))
	r.sidecar.suspects.ServerCrashed(now, end)
}
