package outbound

import (
	"fmt"
	"strings"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/clip"
)

// maxJournalledID is how much of each id of a response is recorded, in bytes.
const maxJournalledID = 64

// errOtherAnswer means that the head of a response does not prove that it belongs to the request.
var errOtherAnswer = Error.New("the answer does not carry the request's id")

// checkOwner checks that a response belongs to the request: it carries the request's id, exactly once. Not
// every process beside a server has checked that. A response to a request without an id must not carry one.
func (o *Outbound) checkOwner(rq *request, server string, head *slatewindv1.AnswerHead) error {
	ids := o.idsOf(head)
	if owns(rq.id, ids) {
		return nil
	}
	for i, id := range ids {
		ids[i] = clip.Text(id, maxJournalledID)
	}
	o.journal.Add(slatewind.Decision{
		Time: time.Now(), Kind: slatewind.DecisionDropReply, Service: rq.service, Server: server, Request: rq.id, Reason: errOtherAnswer.Error(),
		Evidence: fmt.Sprintf("ids=%q status=%d route=%s kind=%s", ids, head.GetStatus(), rq.route.GetName(), rq.kind()),
	})
	return errOtherAnswer
}

// idsOf returns the request ids that the head of a response carries.
func (o *Outbound) idsOf(head *slatewindv1.AnswerHead) []string {
	var ids []string
	for _, h := range head.GetHeaders() {
		if strings.EqualFold(h.GetName(), o.headerNames.RequestID) {
			ids = append(ids, string(h.GetValue()))
		}
	}
	return ids
}

// owns reports whether a response that carries the given ids belongs to the request with the given id, which
// is empty if the request has none.
func owns(id string, ids []string) bool {
	if id == "" && len(ids) == 0 {
		return true
	}
	return len(ids) == 1 && ids[0] == id
}
