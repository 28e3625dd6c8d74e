package daemon

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// benchNodes is how many nodes the benchmarks run; their stand-ins share the process.
const benchNodes = 2

// processorTime returns how much processor time this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkQuietNode gives what a node without requests costs: milliseconds of processor
// time a second.
func BenchmarkQuietNode(b *testing.B) {
	newNodes(b, benchNodes)
	time.Sleep(time.Second)
	before := processorTime(b)
	b.ResetTimer()
	for b.Loop() {
		time.Sleep(time.Second)
	}
	spent := processorTime(b) - before
	b.ReportMetric(float64(spent.Microseconds())/1000/float64(benchNodes*b.N), "cpu-ms/node-second")
}

// BenchmarkNodeRequest gives what a request costs that begins at one node and runs beside
// another: microseconds of processor time, those of caller and server included.
func BenchmarkNodeRequest(b *testing.B) {
	f := newNodes(b, benchNodes)
	for i := range 10 * benchNodes {
		assert.Equal(b, f.send(i%benchNodes, "/look/x", fmt.Sprint("warm-", i)), http.StatusOK)
	}
	before := processorTime(b)
	b.ResetTimer()
	i := 0
	for b.Loop() {
		assert.Equal(b, f.send(i%benchNodes, "/look/x", fmt.Sprint("bench-", i)), http.StatusOK)
		i++
	}
	spent := processorTime(b) - before
	b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "cpu-us/request")
}
