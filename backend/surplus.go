package backend

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"slatewind.example/slatewind/clip"
)

// SurplusKind is the kind of what a server sent although no request asked for it.
type SurplusKind string

// Kinds of surplus answers and bytes.
const (
	// SurplusForeignID is an answer with the ID of another request.
	SurplusForeignID SurplusKind = "foreign-id"
	// SurplusNoID, SurplusEmptyID and SurplusSeveralIDs are answers that do not state exactly one ID.
	SurplusNoID       SurplusKind = "no-id"
	SurplusEmptyID    SurplusKind = "empty-id"
	SurplusSeveralIDs SurplusKind = "several-ids"
	// SurplusInBody is an answer in the body of another one, whose length is not stated.
	SurplusInBody SurplusKind = "in-body"
	// SurplusAtClose are bytes behind the end of an answer, SurplusAtReuse bytes that arrived on an idle
	// connection. The connection is closed.
	SurplusAtClose SurplusKind = "left-at-close"
	SurplusAtReuse SurplusKind = "left-at-reuse"
)

// maxIDBytes limits the ID of a surplus answer that is kept, in bytes.
const maxIDBytes = 64

// Surplus is an answer, or other bytes, that is not known to belong to the request on its connection.
type Surplus struct {
	Kind SurplusKind
	// Request is the ID of the request on the connection, or of the one that was about to be sent.
	Request string
	// Carried is the ID in the answer, shortened; several are separated by commas.
	Carried string
	// Status is the status of the answer, or of the one in whose body it was; 0 for other bytes.
	Status int
	// Earlier is the number of requests that the connection had carried before.
	Earlier int
	// Last states the last answer before it on the connection, empty if there was none.
	Last string
}

// hasID reports whether the ID fields of a request state one ID, by which its answer can be told from others.
func hasID(ids []string) bool { return len(ids) == 1 && ids[0] != "" }

// surplusKind returns the kind of an answer by the values of its ID fields and of those of its request. It is
// empty if the answer is the request's own: it states the request's ID and no other. The answer to a
// request without one ID, which is the first on its connection, need only state no other ID.
func surplusKind(answered, requested []string) SurplusKind {
	isOther := func(id string) bool { return id != "" && !slices.Contains(requested, id) }
	switch {
	case !hasID(requested) && !slices.ContainsFunc(answered, isOther):
		return ""
	case len(answered) == 0:
		return SurplusNoID
	case len(answered) > 1:
		return SurplusSeveralIDs
	case answered[0] == "":
		return SurplusEmptyID
	case isOther(answered[0]):
		return SurplusForeignID
	}
	return ""
}

// isOwn reports whether an answer is the final one to the request on its connection. It records the answer, and
// reports one that no request asked for.
func (p *Pool) isOwn(c *conn, request *http.Request, response *http.Response) bool {
	status := strconv.Itoa(response.StatusCode)
	if isInterim(response) {
		c.last = "interim " + status
		return false
	}
	ids := response.Header.Values(p.dialect.RequestID)
	kind := surplusKind(ids, request.Header.Values(p.dialect.RequestID))
	if kind == "" {
		c.last = request.Method + " " + status
		return true
	}
	carried := clip.Text(strings.Join(ids, ","), maxIDBytes)
	if kind != SurplusForeignID || !slices.Contains(c.earlier, p.idHash(response.Header)) {
		// The answers that follow may not be told apart. Late ones to earlier requests on the connection are, by their IDs.
		c.spent = true
	}
	p.report(c, request, Surplus{Kind: kind, Carried: carried, Status: response.StatusCode})
	c.last = string(kind) + " " + status
	return false
}

// report completes a surplus and passes it to the observer.
func (p *Pool) report(c *conn, request *http.Request, s Surplus) {
	if p.observe == nil {
		return
	}
	s.Request, s.Earlier, s.Last = request.Header.Get(p.dialect.RequestID), len(c.earlier), c.last
	p.observe(s)
}
