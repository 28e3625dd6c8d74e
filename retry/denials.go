package retry

// mostDenials is how many servers deny an extra attempt of the highest rank before its
// search ends, and leastDenials that of any rank. Where all servers reject half of their
// requests, each earns an extra attempt a second and some thirty searches a second ask
// it, so that hardly one is left unused. Asking all 178 servers of a service took up to a
// second and more messages than all other requests together.
const (
	mostDenials  = 12
	leastDenials = 2
)

// MostDenials returns after how many denials the search for a server that may get an
// extra attempt ends: the lower the rank, the sooner, so that most of the few attempts go
// to the higher ones. Rank 0 is the highest.
func MostDenials(rank uint32) int {
	return max(int(mostDenials/(uint64(rank)+1)), leastDenials)
}
