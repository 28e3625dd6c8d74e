package sidecar

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/quarantine"
)

// TestProbeGetsAnswerOfAttempt checks that an answer with the ID of an attempt is not taken for the result of a probe, and
// that the journal tells of it.
func TestProbeGetsAnswerOfAttempt(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderAttempt, "a-1")
		w.Header().Set(HeaderDraining, "true")
	}))
	defer server.Close()
	journal := history.New(0, nil)
	s := New("vm", 7, Limits{}, config.NewStore(journal), journal, NewHTTPCaller(), quarantine.NewTable(nil, nil))
	ls := newLocalServer(time.Now(), "svc", &slatewindv1.Server{Name: "s-1", Slots: 1}, 7, 100)
	s.runProbe(t.Context(), ls, strings.TrimPrefix(server.URL, "http://"), "/health")
	assert.Assert(t, !ls.isLeaving())
	assert.Equal(t, ls.digest(true).GetSequence(), uint64(1), "the probe did not count as failed")
	dropped := journal.Find(history.Filter{Server: "s-1"})
	assert.Equal(t, len(dropped), 1)
	assert.Equal(t, dropped[0].Kind, slatewind.DecisionDropReply)
	assert.Equal(t, dropped[0].Evidence, `attempt= echoed="a-1" status=200 reused=false`)
}

// TestLateProbe checks that a probe does not end a drain that the server reported after the probe began.
func TestLateProbe(t *testing.T) {
	entered, proceed := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-proceed
	}))
	defer server.Close()
	journal := history.New(0, nil)
	s := New("vm", 7, Limits{}, config.NewStore(journal), journal, NewHTTPCaller(), quarantine.NewTable(nil, nil))
	ls := newLocalServer(time.Now(), "svc", &slatewindv1.Server{Name: "s-1", Slots: 1}, 7, 100)
	probe := func(during func()) {
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			s.runProbe(t.Context(), ls, strings.TrimPrefix(server.URL, "http://"), "/health")
		}()
		<-entered
		during()
		proceed <- struct{}{}
		<-ended
	}
	probe(func() { ls.drain(time.Now()) })
	assert.Assert(t, ls.isLeaving())
	// The answer of another request may repeat what the server reported.
	probe(func() { ls.drain(time.Now()) })
	assert.Assert(t, ls.isLeaving())
	probe(func() {})
	assert.Assert(t, !ls.isLeaving())
}
