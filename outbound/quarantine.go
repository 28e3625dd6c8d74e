package outbound

import (
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/link"
)

// quarantined reports whether a request must not be sent, since servers ended under it.
func (o *Outbound) quarantined(now time.Time, rq *request) bool {
	return o.suspects.Check(now, rq.digest).Refused
}

// refuseQuarantined is the outcome of a request that is not sent since servers ended under it.
func (o *Outbound) refuseQuarantined(now time.Time, rq *request) final {
	verdict := o.suspects.Check(now, rq.digest)
	return final{
		outcome: slatewind.OutcomeNotRun, quarantine: verdict, retryAfter: verdict.TrialIn,
		reason: verdict.Reason(rq.digest()),
	}
}

// hearSuspect takes what the process beside a server knows of a request.
func (o *Outbound) hearSuspect(suspect *slatewindv1.Suspect) {
	if suspect != nil {
		o.suspects.Take(time.Now(), link.RecordsOf([]*slatewindv1.Suspect{suspect}))
	}
}

// quarantine ends a request that an attempt showed to be one under which servers end.
func (d *dispatch) quarantine(r result) final {
	f := d.o.refuseQuarantined(time.Now(), d.rq)
	f.server = r.server
	if d.mayHaveRun {
		f.outcome = slatewind.OutcomeUnknown
	}
	return f
}
