package retry

import "time"

// Window bounds the extra arrivals at one server. It is not safe for use by several
// goroutines; its host guards it.
type Window struct {
	ratio float64
	span  time.Duration
	// slack is the share of this server; saved is what of the ratio is saved up.
	slack float64
	saved float64
	// spent holds when the newest attempts that were paid from the slack arrived, oldest
	// first.
	spent []time.Time
	// heldRatio and heldSlack count the payments for attempts that have not arrived yet.
	heldRatio, heldSlack int
	// since is when the slack may first be used.
	since time.Time
	// earning is when the ratio that is saved began to be earned.
	earning time.Time
	// earned bounds what is spent of the ratio where there is no slack to cover it, and bare says
	// that no server of the service has any.
	earned earned
	bare   bool
}

// mostSaved bounds how much of the ratio is saved up, in attempts. More would
// have to be taken off what the slack allows at any time.
const mostSaved = 2.0

// lapsesIn is the part of a span, one in so many, after which what is saved without slack is
// lost. So the extra arrivals of a span are paid by its first arrivals and, where the load is
// even, by an eighth as many from before it: the share of the bound that package inbound keeps
// back covers these.
const lapsesIn = 8

// Payment says what an extra arrival was paid from.
type Payment string

// Payments of extra arrivals.
const (
	// PaidNothing: it was denied.
	PaidNothing Payment = ""
	PaidRatio   Payment = "ratio"
	PaidSlack   Payment = "slack"
)

// NewWindow returns the account of a server whose process begins now. Its slack
// can be used a span later, since the process before it may have spent it.
func NewWindow(now time.Time, ratio float64, span time.Duration) *Window {
	return &Window{ratio: ratio, span: span, since: now.Add(span)}
}

// SetBounds changes the ratio and the span. Where the span grows, what was spent within
// it may be forgotten already, so that the slack can be used a new span later.
func (w *Window) SetBounds(now time.Time, ratio float64, span time.Duration) {
	if span > w.span {
		w.since = now.Add(span)
	}
	w.ratio, w.span = ratio, span
}

// SetSlack states how many extra arrivals of each span are this server's.
func (w *Window) SetSlack(slack float64) {
	w.slack = slack
	w.saved = min(w.saved, w.maySave())
}

// SetBare states whether the operators allow the service no slack at all.
func (w *Window) SetBare(bare bool) { w.bare = bare }

// mostSaved returns how much of the ratio may be saved: one attempt at least, for a moment
// where the slack allows none.
func (w *Window) mostSaved() float64 { return max(min(w.slack, mostSaved), 1) }

// maySave returns how much of the ratio may be saved besides the payments for attempts that
// have not arrived yet.
func (w *Window) maySave() float64 { return w.mostSaved() - float64(w.heldRatio) }

// lapse drops what was saved without slack and too long ago.
func (w *Window) lapse(now time.Time) {
	if w.slack < 1 && now.Sub(w.earning) > w.span/lapsesIn {
		w.saved = min(w.saved, 0)
	}
}

// First notes a request whose first server this is.
func (w *Window) First(now time.Time) {
	w.lapse(now)
	if w.saved <= 0 && w.heldRatio == 0 {
		w.earning = now
	}
	w.saved = min(w.saved+w.ratio, w.maySave())
	w.earned.first(now, w.span)
}

// savedLeft reports whether an attempt can be paid from what is saved.
func (w *Window) savedLeft(now time.Time) bool {
	w.lapse(now)
	return w.saved >= 1 && (w.slack >= 1 || w.earned.covers(now, w.ratio, w.span, w.bare))
}

// Left reports whether an extra arrival would be paid for.
func (w *Window) Left(now time.Time) bool {
	return w.savedLeft(now) || w.slackLeft(now)
}

// slackLeft reports whether the slack allows one more.
func (w *Window) slackLeft(now time.Time) bool {
	w.forget(now)
	return !now.Before(w.since) && float64(len(w.spent)+w.heldSlack+1) <= w.slack-w.mostSaved()
}

// Take pays for an extra arrival, or denies it.
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

// Arrived notes that an attempt that was paid for has arrived.
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

// Charge counts an extra arrival that cannot be denied any more: later ones are
// until it is earned.
func (w *Window) Charge() { w.saved-- }

// Return takes back the payment of an arrival that did not come about.
func (w *Window) Return(p Payment) {
	switch p {
	case PaidRatio:
		w.heldRatio--
		w.earned.giveBack()
		w.saved = min(w.saved+1, w.maySave())
	case PaidSlack:
		w.heldSlack--
	case PaidNothing:
	}
}

// forget drops what was spent a span ago.
func (w *Window) forget(now time.Time) {
	n := 0
	for n < len(w.spent) && now.Sub(w.spent[n]) > w.span {
		n++
	}
	w.spent = w.spent[n:]
}
