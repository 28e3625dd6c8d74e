package choice_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/choice"
)

// TestSurvey checks that each server of a service is counted once, by why it was not asked.
func TestSurvey(t *testing.T) {
	start := time.Unix(1000, 0)
	s := choice.NewService(choice.Place{DataCentre: "near"}, 1)
	names := []string{"asked", "tried", "leaving", "told-leaving", "stopping", "full", "sick", "spent", "silent", "left"}
	for _, name := range names {
		s.Put(start, slatewind.ServerEntry{Name: name, Service: "s", DataCentre: "near", Slots: 4, Leaving: name == "leaving"})
	}
	s.Replied(start, "stopping", choice.Status{Stopping: true, BackIn: time.Second})
	s.Replied(start, "full", choice.Status{Full: true, SlotIn: time.Second})
	s.Replied(start, "sick", choice.Status{Unhealthy: true, TrialIn: time.Second})
	s.Replied(start, "spent", choice.Status{Spent: true})
	s.NoReply(start, "silent")
	request := choice.Request{Constraints: breaker.Constraints{Careful: true}, Extra: true}
	s.Replied(start, "told-leaving", choice.Status{Leaving: true})
	s.Reserved(start.Add(5*time.Millisecond), "asked")
	now, asked, tried := start.Add(10*time.Millisecond), map[string]bool{"asked": true}, map[string]bool{"tried": true}
	got := s.Survey(now, request, asked, tried, false)
	assert.DeepEqual(t, got, choice.Survey{Known: 10, Asked: 1, Leaving: 2, Stopping: 1, Full: 1, Sick: 1, Spent: 1, Silent: 1, Tried: 1, Left: 1})
	assert.Equal(t, got.String(), "known=10 asked=1 not_asked: leaving=2 stopping=1 full=1 sick=1 spent=1 silent=1 tried=1 left=1")
	assert.Equal(t, s.Survey(now, request, asked, tried, true).String(), got.String()+
		" beliefs=asked:asked/0.0/-1.0/0.0,full:full/0.0/0.0/-1.0,leaving:leaving/0.0/-1.0/-1.0,left:left/0.0/-1.0/-1.0,"+
		"sick:sick/0.0/0.0/-1.0,silent:silent/0.0/-1.0/-1.0,spent:spent/0.0/0.0/-1.0,stopping:stopping/0.0/0.0/-1.0,"+
		"told-leaving:told-leaving/0.0/0.0/-1.0,tried:tried/0.0/-1.0/-1.0")
}
