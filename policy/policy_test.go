package policy_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/outlier"
	"slatewind.example/slatewind/policy"
)

var begin = time.Unix(1_700_000_000, 0)

func newService(servers int) *policy.Service {
	settings := &slatewindv1.Service{Name: "kassa", Floor: 1, Caution: 12}
	for i := range servers {
		settings.Servers = append(settings.Servers, &slatewindv1.Server{Name: fmt.Sprint("s", i), Vm: fmt.Sprint("vm-", i), Slots: 5})
	}
	p := policy.NewService("kassa", "dc-0", 1)
	p.Update(begin, settings, func(vm string) string { return "dc-" + vm[len(vm)-1:] })
	return p
}

func digest(server string, serial uint64, leaving bool) *slatewindv1.Digest {
	return &slatewindv1.Digest{Server: server, Incarnation: 1<<24 | 1, Serial: serial, Slots: 5, Leaving: leaving}
}

// picks returns how often each server is chosen.
func picks(p *policy.Service, now time.Time) map[string]int {
	chosen := map[string]int{}
	for range 300 {
		if i := p.Pick(now, slatewind.KindRepeatable, nil); i != policy.None {
			chosen[p.Name(i)]++
		}
	}
	return chosen
}

// TestListedLeavingOverridesDigest checks that a server gets no requests while the VM list
// has its VM as leaving, although its sidecar has not received that yet and still reports
// that the server is not leaving.
func TestListedLeavingOverridesDigest(t *testing.T) {
	p := newService(2)
	p.SetLeaving(begin, "s0", true)
	p.ApplyDigest(begin, digest("s0", 1, false), true)
	assert.Equal(t, picks(p, begin)["s0"], 0)
	p.SetLeaving(begin, "s0", false)
	assert.Assert(t, picks(p, begin)["s0"] > 0)
}

// TestLateDigestChangesNothing checks that digests that arrive out of order are ignored:
// neither an older digest nor one of the previous process of the sidecar returns a leaving
// server to service.
func TestLateDigestChangesNothing(t *testing.T) {
	p := newService(2)
	p.ApplyDigest(begin, digest("s0", 5, true), true)
	p.ApplyDigest(begin, digest("s0", 4, false), true)
	before := digest("s0", 9, false)
	before.Incarnation = 1
	p.ApplyDigest(begin, before, true)
	assert.Equal(t, picks(p, begin)["s0"], 0)
	assert.Equal(t, p.Incarnation("s0"), uint64(1<<24|1))
}

// TestOwnDataCentreFirst checks that servers of the own data centre get the requests until
// they are full.
func TestOwnDataCentreFirst(t *testing.T) {
	p := newService(3)
	chosen := picks(p, begin)
	assert.Equal(t, chosen["s0"], 300)
	for range 5 {
		p.Started(begin, 0, 1)
	}
	chosen = picks(p, begin)
	assert.Assert(t, chosen["s0"] == 0 && chosen["s1"] > 0 && chosen["s2"] > 0, "%v", chosen)
}

// TestUnreachableServersAreSkipped checks that a server gets no requests for a while after
// its sidecar could not be reached, unless no server can be reached: then an attempt is
// better than a refusal.
func TestUnreachableServersAreSkipped(t *testing.T) {
	p := newService(2)
	p.ConnectFailed(begin, "s0")
	assert.Equal(t, picks(p, begin)["s0"], 0)
	assert.Equal(t, p.Capacity(), 1)
	assert.Assert(t, picks(p, begin.Add(time.Second))["s0"] > 0)
	p.ConnectFailed(begin, "s0")
	p.ConnectFailed(begin, "s1")
	assert.Assert(t, len(picks(p, begin)) > 0)
}

// TestUnansweredAttemptsAreEvidence checks that a server from which no reply arrives at all
// is ejected for its unanswered attempts, while one that still answers other requests is
// judged by what its sidecar reports.
func TestUnansweredAttemptsAreEvidence(t *testing.T) {
	for _, silent := range []bool{true, false} {
		t.Run(fmt.Sprint("silent=", silent), func(t *testing.T) {
			p := newService(3)
			now := begin
			serials := uint64(0)
			receive := func(server string) {
				serials++
				var ring outlier.Ring
				for range outlier.RingSize {
					ring.Add(1, slatewind.ResultOK, 10*time.Millisecond)
				}
				d := digest(server, serials, false)
				d.Sequence, d.Outcomes = serials*outlier.RingSize, ring.Newest(nil)
				p.ApplyDigest(now, d, true)
			}
			for _, server := range []string{"s0", "s1", "s2"} {
				receive(server)
			}
			now = now.Add(time.Millisecond)
			for range 8 {
				p.Started(now, 0, 1)
			}
			for range 20 {
				now = now.Add(100 * time.Millisecond)
				receive("s1")
				receive("s2")
				if !silent {
					receive("s0")
				}
				p.Tick(now)
			}
			assert.Equal(t, p.State("s0") == slatewind.ServerEjected, silent)
		})
	}
}

func TestRace(t *testing.T) {
	r := policy.NewRace(begin.Add(time.Second))
	r.Launched(0)
	assert.Equal(t, r.Record(begin, slatewind.OutcomeNotRun, false), policy.RaceRetry)
	r.Launched(1)
	r.Launched(2)
	assert.Equal(t, r.Record(begin, slatewind.OutcomeUnknown, false), policy.RaceWait)
	assert.Equal(t, r.Record(begin, slatewind.OutcomeNotRun, false), policy.RaceLost)
	assert.Equal(t, r.Outcome(), slatewind.OutcomeUnknown)

	late := policy.NewRace(begin)
	late.Launched(0)
	assert.Equal(t, late.Record(begin, slatewind.OutcomeNotRun, false), policy.RaceLost)
	assert.Equal(t, late.Outcome(), slatewind.OutcomeNotRun)
}
