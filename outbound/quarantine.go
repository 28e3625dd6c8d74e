package outbound

import (
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/link"
)

// quarantined reports whether a request must not be sent because servers exited while running it.
func (o *Outbound) quarantined(now time.Time, rq *request) bool {
	return o.suspects.Check(now, rq.digest).Refused
}

// refuseQuarantined returns the result of a request that is not sent because servers exited while
// running it.
func (o *Outbound) refuseQuarantined(now time.Time, rq *request) requestResult {
	verdict := o.suspects.Check(now, rq.digest)
	return requestResult{
		outcome: slatewind.OutcomeNotRun, quarantine: verdict, retryAfter: verdict.TrialIn,
		reason: verdict.Reason(rq.digest()),
	}
}

// recordSuspect records what the process beside a server reported about a suspected request; suspect
// may be nil.
func (o *Outbound) recordSuspect(suspect *slatewindv1.Suspect) {
	if suspect != nil {
		o.suspects.Merge(time.Now(), link.RecordsOf([]*slatewindv1.Suspect{suspect}))
	}
}

// finishQuarantined returns the result of a request that became quarantined during an attempt.
func (d *dispatch) finishQuarantined(r attemptResult) requestResult {
	f := d.o.refuseQuarantined(time.Now(), d.rq)
	f.server = r.server
	if d.mayHaveRun {
		f.outcome = slatewind.OutcomeUnknown
	}
	return f
}
