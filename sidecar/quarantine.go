package sidecar

import (
	"context"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/crash"
	"slatewind.example/slatewind/quarantine"
)

// contentOf returns the parts of a request by which equal requests are
// recognised.
func contentOf(request *slatewindv1.RunRequest) quarantine.Content {
	return quarantine.Content{
		Workspace: request.GetCustomer(), Method: request.GetMethod(), Host: request.GetHost(), Target: string(request.GetTarget()), Body: request.GetBody(),
	}
}

// checkQuarantine returns why the request must not be sent to the server, or nil.
func (r *run) checkQuarantine(now time.Time) *refusal {
	verdict := r.sidecar.suspects.Begin(now, r.digest, quarantine.Turn{})
	r.trial = verdict.Trial
	if !verdict.Refused {
		return nil
	}
	return &refusal{reason: verdict.Reason(r.digest()), retryAfter: verdict.TrialIn}
}

// recordCrash records whether the server crashed while it ran the request, after
// the run failed.
func (r *run) recordCrash(ctx context.Context, started bool, err error) {
	now := time.Now()
	at := crash.Run{Digest: r.digest(), Trial: r.trial, Began: r.began, Sent: started}
	if ctx.Err() != nil {
		r.server.crashes.Abandoned(now, at)
		return
	}
	end, ok := r.server.crashes.Failed(at, err)
	if !ok {
		return
	}
	r.sidecar.journal.Add(end.Decision(now, slatewind.Decision{Service: r.server.service, Server: r.server.name}))
	r.sidecar.suspects.ServerCrashed(now, end)
}
