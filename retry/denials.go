package retry

// A search for an extra attempt asks one server after the other for permission and ends
// after a limited number of denials: normalDenials if no extra attempt was denied recently,
// scarceDenials if one was. While extra attempts are scarce, each one that a server earns is
// found immediately by one of the many searches, and longer searches only cost messages
// (pattern all-shed-half of package overload). At other times a search has to find the few
// servers that have earned an attempt. Requests of lower priority ask fewer servers, but at
// least minDenials.
const (
	normalDenials = 24
	scarceDenials = 6
	minDenials    = 2
)

// MaxDenials returns the number of denials after which the search for a server that
// grants an extra attempt ends. scarce is set if other extra attempts were denied recently;
// rank 0 is the highest priority.
func MaxDenials(rank uint32, scarce bool) int {
	limit := uint64(normalDenials)
	if scarce {
		limit = scarceDenials
	}
	return int(max(limit/(uint64(rank)+1), minDenials))
}
