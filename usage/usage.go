// Package usage reads how much memory and how many file descriptors the process uses, and its limits on
// them.
package usage

import (
	"os"
	"runtime"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"slatewind.example/slatewind/api/slatewindv1"
)

// unknown is the number of descriptors if the operating system does not list them.
const unknown = -1

// Limits are the limits on the process; 0 means that a limit is not known.
type Limits struct {
	// MemoryBytes limits the resident memory, in bytes.
	MemoryBytes int64
	// Descriptors limits the open file descriptors.
	Descriptors int
}

// bytesPerMiB is the size of the unit of limits.memory_mib in bytes.
const bytesPerMiB = 1 << 20

// LimitsOf returns the limits in the settings of the process. Where these state no limit on descriptors,
// that of the operating system applies.
func LimitsOf(process *slatewindv1.Process) Limits {
	limits := Limits{
		MemoryBytes: int64(process.GetLimits().GetMemoryMib()) * bytesPerMiB,
		Descriptors: int(process.GetLimits().GetDescriptors()),
	}
	var system syscall.Rlimit
	if limits.Descriptors == 0 && syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system) == nil {
		limits.Descriptors = int(system.Cur)
	}
	return limits
}

// Usage is what the process uses, in the state dump too.
type Usage struct {
	// MemoryBytes is the memory that the runtime holds, without the stacks of the C library's threads and
	// the buffers of the kernel. PeakBytes is the largest resident memory since the start.
	MemoryBytes      int64 `json:"memory_bytes"`
	PeakBytes        int64 `json:"peak_memory_bytes"`
	MemoryLimitBytes int64 `json:"memory_limit_bytes,omitempty"`
	// Descriptors is the number of open file descriptors, or -1 if it is not known.
	Descriptors     int `json:"descriptors"`
	DescriptorLimit int `json:"descriptor_limit,omitempty"`
	Goroutines      int `json:"goroutines"`
}

// Read returns the present usage. It lists all descriptors, so it must not be called often.
func Read(limits Limits) Usage {
	return Usage{
		MemoryBytes: Memory(), PeakBytes: peakMemory(), MemoryLimitBytes: limits.MemoryBytes,
		Descriptors: descriptors(), DescriptorLimit: limits.Descriptors, Goroutines: runtime.NumGoroutine(),
	}
}

// Metrics of the runtime whose difference is the memory that it holds.
const (
	totalMemory    = "/memory/classes/total:bytes"
	releasedMemory = "/memory/classes/heap/released:bytes"
)

// memorySamples are read under memoryMu.
var (
	memoryMu      sync.Mutex
	memorySamples = [2]metrics.Sample{{Name: totalMemory}, {Name: releasedMemory}}
)

// Memory returns the memory in bytes that the runtime holds and has not returned to the operating system.
func Memory() int64 {
	memoryMu.Lock()
	defer memoryMu.Unlock()
	metrics.Read(memorySamples[:])
	return int64(memorySamples[0].Value.Uint64() - memorySamples[1].Value.Uint64())
}

// peakMemory returns the largest resident memory of the process in bytes, or 0 if it is not known. That of getrusage includes the
// program that started this one.
func peakMemory() int64 {
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		value, found := strings.CutPrefix(line, "VmHWM:")
		if !found {
			continue
		}
		kibibytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		return kibibytes << 10
	}
	return 0
}

// descriptors returns the number of open file descriptors.
func descriptors() int {
	dir, err := os.Open("/proc/self/fd")
	if err != nil {
		return unknown
	}
	defer func() { _ = dir.Close() }()
	names, err := dir.Readdirnames(-1)
	if err != nil {
		return unknown
	}
	return len(names) - 1
}
