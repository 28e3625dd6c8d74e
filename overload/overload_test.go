package overload

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
	"gotest.tools/v3/assert"
)

// load reads a pattern from testdata.
func load(t testing.TB, file string) pattern {
	text, err := os.Open(file)
	assert.NilError(t, err)
	defer func() { _ = text.Close() }()
	var p pattern
	decoder := yaml.NewDecoder(text)
	decoder.KnownFields(true)
	assert.NilError(t, decoder.Decode(&p), file)
	return p
}

// percentile90 returns the 90th percentile.
func percentile90(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)*9/10]
}

// TestPatterns checks that each pattern of load has its required results.
func TestPatterns(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".yaml")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := load(t, file)
			got := simulateSeeds(p)
			served := float64(got.served) / float64(got.requests)
			reservations := float64(got.reservations) / float64(got.requests)
			extra := float64(got.extra) / float64(max(got.first, 1))
			held := percentile90(got.held)
			t.Logf("%s: %d requests: served %.3f (%.3f in time), refused %d, failed %d, held %s; %.3f extra arrivals; %.2f reservations per request, of all %d refused as unhealthy, %d as full, %d denied, %d queued",
				name, got.requests, served, float64(got.inTime)/float64(got.requests), got.refused, got.failed, held.Round(time.Millisecond), extra, reservations, got.unhealthy, got.full, got.denied, got.queued)
			assert.Equal(t, got.served+got.refused+got.failed, got.requests, "each request has one outcome")
			assert.Check(t, served >= p.Want.Served, "served %.3f", served)
			assert.Check(t, float64(got.inTime) >= p.Want.InTime*float64(got.requests), "%d served in time", got.inTime)
			assert.Check(t, reservations <= p.Want.Reservations, "%.2f reservations per request", reservations)
			assert.Check(t, extra <= p.Want.Extra, "%.3f extra arrivals", extra)
			assert.Check(t, held <= p.Want.Held, "held %s", held)
			abroad := float64(got.abroad) / float64(got.requests)
			t.Logf("%s: %.3f ran in another region", name, abroad)
			assert.Check(t, abroad <= p.Want.Abroad, "%.3f ran in another region", abroad)
			for _, load := range p.Workspaces {
				share := float64(got.answered[load.Name]) / float64(max(got.sent[load.Name], 1))
				t.Logf("%s: %d requests, served %.3f", load.Name, got.sent[load.Name], share)
				assert.Check(t, share >= load.Served, "%s: served %.3f", load.Name, share)
			}
		})
	}
}

// BenchmarkPatterns measures the time to simulate a pattern, and the reservations per request.
func BenchmarkPatterns(b *testing.B) {
	files, err := filepath.Glob("testdata/*.yaml")
	assert.NilError(b, err)
	for _, file := range files {
		p := load(b, file)
		b.Run(strings.TrimSuffix(filepath.Base(file), ".yaml"), func(b *testing.B) {
			var all tally
			for i := 0; b.Loop(); i++ {
				got := simulate(p, uint64(i))
				all.requests += got.requests
				all.reservations += got.reservations
			}
			b.ReportMetric(float64(all.reservations)/float64(all.requests), "reservations/request")
		})
	}
}
