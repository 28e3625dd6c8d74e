package retry

// A search for an extra attempt asks one server after the other whether it may get one,
// and ends after so many denials: calmDenials where none was denied lately, scarceDenials
// where some were. While attempts are scarce, each one that a server earns is found at once
// by one of the many searches, and longer ones only cost messages (package overload,
// all-shed-half). At other times the few servers that have earned an attempt have to be
// found. Lower ranks ask fewer, leastDenials at the least.
const (
	calmDenials   = 24
	scarceDenials = 6
	leastDenials  = 2
)

// MostDenials returns after how many denials the search for a server that may get an
// extra attempt ends. scarce says that others were denied lately; rank 0 is the highest.
func MostDenials(rank uint32, scarce bool) int {
	most := uint64(calmDenials)
	if scarce {
		most = scarceDenials
	}
	return int(max(most/(uint64(rank)+1), leastDenials))
}
