package daemon

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// benchNodes is how many nodes the benchmarks run. The stand-ins run in the same process.
const benchNodes = 2

// processorTime returns the user and system time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkQuietNode measures the processor time of a node without requests, in milliseconds
// per second.
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

// BenchmarkNodeRequest measures the processor time of a request that is received by one node and
// may run beside another, in microseconds, caller and server included.
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
