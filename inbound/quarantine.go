package inbound

import (
	"context"
	"sync"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/crash"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/quarantine"
)

// quarantined returns the verdict on whether the request may be sent to the server. It is the last
// check before the request is sent, since reports of other servers' exits may arrive while the
// request is queued or its body is being read.
func (u *use) quarantined(now time.Time, request *slatewindv1.SlotRequest, body []byte) quarantine.Verdict {
	u.digest = sync.OnceValue(quarantine.Content{
		Workspace: u.reservation.GetWorkspace(), Method: request.GetMethod(), Host: request.GetHost(), Target: string(request.GetTarget()), Body: body,
	}.Digest)
	verdict := u.in.suspects.Begin(now, u.digest, u.in.turn())
	u.trial = verdict.Trial
	return verdict
}

// turn returns the server's position among the servers of its service, which take turns in trials
// of quarantined requests.
func (in *Inbound) turn() quarantine.Turn {
	in.mu.Lock()
	defer in.mu.Unlock()
	return quarantine.Turn{Place: in.sharer.Rank, Places: in.sharer.Servers}
}

// refuseQuarantined refuses a request that servers were running when they exited.
func (u *use) refuseQuarantined(now time.Time, verdict quarantine.Verdict) error {
	u.in.mu.Lock()
	refusal := u.in.refusal(CauseQuarantined, verdict.Reason(u.digest()), verdict.TrialIn)
	u.in.mu.Unlock()
	refusal.Suspect = link.SuspectOf(u.in.suspects.Record(now, u.digest()))
	return u.sendRefusal(refusal)
}

// crashRun describes the run of the request for crash detection. sent reports whether any byte
// was written to the server.
func (u *use) crashRun(sent bool) crash.Run {
	return crash.Run{Digest: u.digest(), Trial: u.trial, Began: u.began, Sent: sent}
}

// recordServerExit records whether the server exited while it was running the request, whose run
// failed with err. It returns the record of the request, so that the sender has it before it
// tries another server, or nil if no exit was found or the run was cancelled.
func (u *use) recordServerExit(ctx context.Context, sent bool, err error) *slatewindv1.Suspect {
	now := time.Now()
	if ctx.Err() != nil {
		u.in.crashes.Abandoned(now, u.crashRun(sent))
		return nil
	}
	end, ok := u.in.crashes.Failed(u.crashRun(sent), err)
	if !ok {
		return nil
	}
	u.in.serverDown()
	u.in.journal.Add(end.Decision(now, slatewind.Decision{Service: u.in.server.Service, Server: u.in.serverName(), Request: u.id}))
	u.in.suspects.ServerCrashed(now, end)
	return link.SuspectOf(u.in.suspects.Record(now, u.digest()))
}
