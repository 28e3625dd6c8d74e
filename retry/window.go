package retry

import "time"

// Window limits the extra arrivals at one server, which are arrivals of extra attempts. It is not safe for concurrent use; the
// caller must hold a lock.
type Window struct {
	// ratio is the fraction of an attempt that each request earns.
	ratio float64
	// span is the length of the sliding window.
	span time.Duration
	// share is what this server may use of the service's slack; nextShare holds from growsAt on.
	share, nextShare Share
	growsAt          time.Time
	// saved is the level of the token bucket, in attempts. It is negative while calls overdraw it.
	saved float64
	// spent holds the arrival times of the newest attempts that were paid from the slack,
	// oldest first.
	spent []time.Time
	// heldRatio and heldSlack count the payments for attempts that have not arrived yet.
	heldRatio, heldSlack int
	// loans holds the payments for attempts that arrive at other servers, oldest first.
	loans []loan
	// since is the time from which the slack may be used.
	since time.Time
	// earning is the time at which the first part of saved was earned.
	earning time.Time
	// earned limits payments from the bucket if the server has no slack to cover them.
	earned earned
	// noSlack is set if the operators allow the service no slack, so that no server of the
	// service has any.
	noSlack bool
}

// maxSaved is the capacity of the token bucket, in attempts. A larger capacity would have
// to be deducted from the attempts that the slack allows at any time. With a smaller one, a server loses what
// it earns while the only attempt that it has saved is granted and has not arrived.
const maxSaved = 2.0

// expiryFraction divides the span: without slack, saved tokens expire after a span divided
// by this number. So the extra arrivals of a span are paid by its first arrivals and, if the
// load is even, by an eighth as many from before the span. The share of the limit that package
// inbound keeps in reserve covers these.
const expiryFraction = 8

// Payment is the source that an extra arrival was paid from.
type Payment string

// Payments of extra arrivals.
const (
	// PaidNothing means that the extra arrival was denied.
	PaidNothing Payment = ""
	// PaidRatio is a payment from the token bucket that requests fill.
	PaidRatio Payment = "ratio"
	// PaidSlack is a payment from the server's share of the slack.
	PaidSlack Payment = "slack"
)

// NewWindow returns the window of a server whose process starts now. Its slack can be
// used a span later, since the previous process may have spent it.
func NewWindow(now time.Time, ratio float64, span time.Duration) *Window {
	return &Window{ratio: ratio, span: span, since: now.Add(span)}
}

// SetBounds changes the ratio and the span. If the span grows, some of the attempts spent
// within the new one may have been dropped already, so the slack can be used only after
// another full span.
func (w *Window) SetBounds(now time.Time, ratio float64, span time.Duration) {
	if span > w.span {
		w.since = now.Add(span)
	}
	w.ratio, w.span = ratio, span
}

// Share is the part of a service's slack that one server may use, in attempts for each span.
type Share struct {
	// Slack is for all extra arrivals. Credit is how many attempts the calls of extra runs may overdraw
	// the token bucket by.
	Slack, Credit float64
}

// SetShare sets the server's share of the slack. A larger share than before holds a span later, when what
// other servers spent of it is no longer in any span. A process that has just started does not
// use its share for as long anyway.
func (w *Window) SetShare(now time.Time, share Share) {
	w.growShare(now)
	smaller := Share{min(w.share.Slack, share.Slack), min(w.share.Credit, share.Credit)}
	switch {
	case now.Before(w.since):
		smaller = share
	case share != w.nextShare && share != smaller:
		w.growsAt = now.Add(w.span)
	}
	w.share, w.nextShare = smaller, share
	w.saved = min(w.saved, w.saveLimit())
}

// growShare applies a larger share when its time has come.
func (w *Window) growShare(now time.Time) {
	if !now.Before(w.growsAt) {
		w.share = w.nextShare
	}
}

// SetNoSlack sets whether the operators allow the service no slack at all.
func (w *Window) SetNoSlack(noSlack bool) { w.noSlack = noSlack }

// capacity returns the capacity of the token bucket, in attempts: at least one, which expires
// soon if the slack allows none.
func (w *Window) capacity() float64 { return max(min(w.share.Slack, maxSaved), 1) }

// saveLimit returns the maximum of saved: the capacity less the payments for attempts that have
// not arrived yet.
func (w *Window) saveLimit() float64 { return w.capacity() - float64(w.heldRatio) }

// expire drops what was saved too long ago by a server without slack.
func (w *Window) expire(now time.Time) {
	if w.share.Slack < 1 && now.Sub(w.earning) > w.span/expiryFraction {
		w.saved = min(w.saved, 0)
	}
}

// RecordFirst records a request whose first server this is.
func (w *Window) RecordFirst(now time.Time) {
	w.settle(now)
	w.expire(now)
	if w.saved <= 0 && w.heldRatio == 0 {
		w.earning = now
	}
	w.saved = min(w.saved+w.ratio, w.saveLimit())
	w.earned.first(now, w.span)
}

// savedLeft reports whether an attempt can be paid from the token bucket.
func (w *Window) savedLeft(now time.Time) bool {
	w.settle(now)
	w.expire(now)
	return w.saved >= 1 && (w.share.Slack >= 1 || w.earned.covers(now, w.ratio, w.span, w.noSlack))
}

// Left reports whether an extra arrival would be granted now.
func (w *Window) Left(now time.Time) bool {
	return w.savedLeft(now) || w.slackLeft(now)
}

// slackLeft reports whether an attempt can be paid from the slack.
func (w *Window) slackLeft(now time.Time) bool {
	w.growShare(now)
	w.dropOld(now)
	return !now.Before(w.since) && float64(len(w.spent)+w.heldSlack+1) <= w.share.Slack-w.capacity()
}

// creditLeft reports whether a call of an extra run may overdraw the token bucket. A process that starts
// grants no credit for one span, since its predecessor may have granted it.
func (w *Window) creditLeft(now time.Time) bool {
	w.growShare(now)
	return !now.Before(w.since) && w.saved-1 >= -w.share.Credit
}

// LeftForCall reports whether a call of an extra run would be granted now.
func (w *Window) LeftForCall(now time.Time) bool {
	return w.Left(now) || w.creditLeft(now)
}

// TakeCall pays for a call that a run makes which was itself an extra arrival. Such a call may also overdraw
// the bucket, since denying it wastes the work of the run.
func (w *Window) TakeCall(now time.Time) Payment {
	if payment := w.Take(now); payment != PaidNothing {
		return payment
	}
	if !w.creditLeft(now) {
		return PaidNothing
	}
	w.saved--
	w.heldRatio++
	w.earned.spend(now)
	return PaidRatio
}

// Take pays for an extra arrival, or denies it by returning PaidNothing. A payment must
// be completed by Arrived or Return.
func (w *Window) Take(now time.Time) Payment {
	if w.savedLeft(now) {
		w.saved--
		w.heldRatio++
		w.earned.spend(now)
		return PaidRatio
	}
	if !w.slackLeft(now) {
		return PaidNothing
	}
	w.heldSlack++
	return PaidSlack
}

// Arrived records that an attempt that was paid for has arrived.
func (w *Window) Arrived(now time.Time, p Payment) {
	switch p {
	case PaidRatio:
		w.heldRatio--
	case PaidSlack:
		w.heldSlack--
		w.spent = append(w.spent, now)
	case PaidNothing:
	}
}

// Return refunds the payment for an attempt that will not arrive.
func (w *Window) Return(p Payment) {
	switch p {
	case PaidRatio:
		w.heldRatio--
		w.earned.refund()
		w.saved = min(w.saved+1, w.saveLimit())
	case PaidSlack:
		w.heldSlack--
	case PaidNothing:
	}
}

// dropOld drops attempts that arrived more than a span ago from spent.
func (w *Window) dropOld(now time.Time) {
	n := 0
	for n < len(w.spent) && now.Sub(w.spent[n]) > w.span {
		n++
	}
	w.spent = w.spent[n:]
}
