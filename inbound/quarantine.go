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

// quarantined says whether the server may be given the request. It is asked last, since news of
// other servers' ends may come while a request waits or is read.
func (u *use) quarantined(now time.Time, request *slatewindv1.SlotRequest, body []byte) quarantine.Verdict {
	u.digest = sync.OnceValue(quarantine.Content{
		Workspace: u.reservation.GetWorkspace(), Method: request.GetMethod(), Host: request.GetHost(), Target: request.GetTarget(), Body: body,
	}.Digest)
	verdict := u.in.suspects.Begin(now, u.digest, u.in.turn())
	u.trial = verdict.Trial
	return verdict
}

// turn returns the process's among those beside the servers of its service.
func (in *Inbound) turn() quarantine.Turn {
	in.mu.Lock()
	defer in.mu.Unlock()
	return quarantine.Turn{Place: in.sharer.Rank, Places: in.sharer.Servers}
}

// refuseQuarantined refuses a request under which servers ended.
func (u *use) refuseQuarantined(now time.Time, verdict quarantine.Verdict) error {
	u.in.mu.Lock()
	refusal := u.in.refusal(CauseQuarantined, verdict.Reason(u.digest()), verdict.TrialIn)
	u.in.mu.Unlock()
	refusal.Suspect = link.SuspectOf(u.in.suspects.Record(now, u.digest()))
	return u.sendRefusal(refusal)
}

// atServer returns the run of the request at the server, which may have had it.
func (u *use) atServer(sent bool) crash.Run {
	return crash.Run{Digest: u.digest(), Trial: u.trial, Began: u.began, Sent: sent}
}

// noteEnd notes whether the server ended under the request, whose run failed. It returns what is
// known of the request then, so that its sender knows before it tries another server.
func (u *use) noteEnd(ctx context.Context, sent bool, err error) *slatewindv1.Suspect {
	now := time.Now()
	if ctx.Err() != nil {
		u.in.crashes.Left(now, u.atServer(sent))
		return nil
	}
	end, ok := u.in.crashes.Failed(u.atServer(sent), err)
	if !ok {
		return nil
	}
	u.in.journal.Add(end.Decision(now, slatewind.Decision{Service: u.in.server.Service, Server: u.in.serverName(), Request: u.id}))
	u.in.suspects.Ended(now, end)
	return link.SuspectOf(u.in.suspects.Record(now, u.digest()))
}
