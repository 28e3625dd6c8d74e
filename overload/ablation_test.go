//go:build ablation

package overload

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/internal/overlay"
)

const (
	breakerFile = "breaker/breaker.go"
	costFile    = "choice/cost.go"
	queueFile   = "choice/queue.go"
	searchFile  = "search/search.go"
	orderFile   = "admission/order.go"
	ingressFile = "overload/ingress_test.go"
	serverFile  = "overload/server_test.go"
)

// mechanisms holds, for each mechanism, the edits that disable it. Those that the simulation does
// not have are missing: hedges, costs of bytes and of warming up, readers, pings.
var mechanisms = map[string][]overlay.Edit{
	"nothing": nil,
	"breaker": {
		{File: breakerFile, From: "case b.state == StateClosed:\n\t\treturn !c", To: "case true, b.state == StateClosed:\n\t\treturn true || !c"},
	},
	"slow requests count": {
		{File: breakerFile, From: "slowWeight    = 0.5", To: "slowWeight    = 0.0"},
	},
	"suspicion opens": {
		{File: breakerFile, From: "b.Suspicion(now) >= hangSuspicion", To: "false"},
	},
	"suspicion limit": {
		{File: breakerFile, From: "return !c.RiskAverse() || b.Suspicion(now) <= c.maxSuspicion()", To: "return true"},
	},
	"trials of scarce": {
		{File: breakerFile, From: "return b.trials == 0 && now.Sub(b.lastTrial) >= b.trialAfter+TrialOverdue", To: "return false"},
		{File: costFile, From: "return now.Sub(server.trialAt) >= breaker.TrialOverdue", To: "return false"},
	},
	"trials first": {
		{File: costFile, From: "trialShare = 0.3", To: "trialShare = 0.0"},
	},
	"concurrent trials": {
		{File: breakerFile, From: "maxTrials = 3", To: "maxTrials = 1"},
	},
	"last resort": {
		{File: searchFile, From: "s.request.Constraints.LastResort = true", To: "s.request.Constraints.LastResort = false"},
	},
	"retries": {
		{File: ingressFile, From: "const attempts = 2", To: "const attempts = 1"},
	},
	"budget of extra attempts": {
		{File: serverFile, From: "case r.extra() && !s.extras.Left(now):", To: "case false:"},
		{File: serverFile, From: "r.payment == retry.PaidNothing", To: "false"},
	},
	"own data centre first": {
		{File: costFile, From: "remoteCost     = 1.0", To: "remoteCost     = 0.0"},
	},
	"cost of unhealthy": {
		{File: costFile, From: "unhealthyCost = 3.0", To: "unhealthyCost = 0.0"},
	},
	"unhealthy skipped": {
		{File: costFile, From: "case server.status.Unhealthy && !server.trialDue(now, request):", To: "case false:"},
	},
	"full skipped": {
		{File: costFile, From: "case server.status.Full && age < server.status.pause():", To: "case false:"},
	},
	"spent skipped": {
		{File: costFile, From: "case request.Extra && server.status.Spent && age < spentPause:", To: "case false:"},
	},
	"cost of suspicion": {
		{File: costFile, From: "suspicionCost = 0.1", To: "suspicionCost = 0.0"},
	},
	"cost of rejections": {
		{File: costFile, From: "shedCost = 1.5", To: "shedCost = 0.0"},
	},
	"cost of no reply": {
		{File: costFile, From: "noReplyCost = 10.0", To: "noReplyCost = 0.0"},
	},
	"cost of no success": {
		{File: costFile, From: "noSuccessCost = 0.2", To: "noSuccessCost = 0.0"},
	},
	"unhealthy share of stale": {
		{File: queueFile, From: "return float64(unhealthy) / (", To: "return 0 / ("},
	},
	"queue at three": {
		{File: searchFile, From: "maxQueued = 3", To: "maxQueued = 1"},
	},
	"widening": {
		{File: searchFile, From: "return s.queued > 0\n", To: "return false\n"},
	},
	"cost gap of queues": {
		{File: searchFile, From: "waitGap = 0.75", To: "waitGap = 100.0"},
	},
	"limit of denials": {
		{File: searchFile, From: "return s.denied() && s.queued == 0 && s.denials >=", To: "return false && s.denials >="},
	},
	"rank": {
		{File: orderFile, From: "if a.Rank != b.Rank {", To: "if false {"},
		{File: orderFile, From: "l == own && q.Rank <= it.Rank", To: "l == own"},
		{File: orderFile, From: "l == own && s.queue[i].Rank > it.Rank", To: "false"},
		{File: orderFile, From: "l == lowest && q.Rank >= s.queue[last].Rank", To: "l == lowest"},
	},
	"fairness among workspaces": {
		{File: orderFile, From: "return s.running[a.Customer] < s.running[b.Customer]", To: "return false"},
		{File: orderFile, From: "return s.largestCustomer(it, own)", To: "return -1"},
	},
	"jitter": {
		{File: costFile, From: "jitter = 0.15", To: "jitter = 0.0"},
	},
}

// TestAblation simulates all patterns with one mechanism disabled at a time and prints the results.
// It checks no bounds: patterns need not keep them without a mechanism.
func TestAblation(t *testing.T) {
	for name, edits := range mechanisms {
		t.Run(name, func(t *testing.T) {
			list, err := overlay.Write("..", t.TempDir(), edits)
			assert.NilError(t, err)
			replay := exec.Command("go", "test", "-overlay", list, "-count=1", "-v", "-run", "TestPatterns", ".")
			replay.Stderr = os.Stderr
			output, err := replay.Output()
			assert.Assert(t, strings.Contains(string(output), "requests: served"), "%v: %s", err, output)
			for line := range strings.Lines(string(output)) {
				if strings.Contains(line, "requests: served") {
					t.Log(strings.TrimSpace(line))
				}
			}
		})
	}
}
