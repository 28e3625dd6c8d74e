package retry

import "time"

// loan is a payment for an extra attempt that arrives at another server of the service.
type loan struct {
	// settled is the latest time at which the attempt arrives.
	settled time.Time
	payment Payment
}

// Lend pays for an extra attempt that arrives at another server of the service within the given time, and reports
// whether anything was left. A server that fails requests has little else to spend its share on, while the
// servers that get the next attempts would have to pay for them out of theirs.
//
// The window is not told when the attempt arrives, or whether it does: the payment counts until the time has
// passed, and then as if the attempt had arrived at its end.
func (w *Window) Lend(now time.Time, within time.Duration) bool {
	payment := w.Take(now)
	if payment == PaidNothing {
		return false
	}
	w.loans = append(w.loans, loan{now.Add(within), payment})
	return true
}

// settle counts the attempts that were lent for and have arrived by now, if at all.
func (w *Window) settle(now time.Time) {
	n := 0
	for n < len(w.loans) && !now.Before(w.loans[n].settled) {
		w.Arrived(w.loans[n].settled, w.loans[n].payment)
		n++
	}
	w.loans = w.loans[n:]
}
