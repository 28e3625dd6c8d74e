package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/platform"
)

const (
	// longPath is the path prefix of repeatable requests with long answers. Single ones go to uploadPath.
	longPath = "/read/"
	// longTime is how long callers ask for long answers. longCallers of each of the longNodes first processes
	// do, the only ones whose servers do not leave.
	longTime    = 10 * time.Second
	longCallers = 4
	longNodes   = 2
	// minLongBytes and maxLongBytes bound the length of these answers. A process passes on what is longer than
	// 1 MiB while it arrives.
	minLongBytes = 900 << 10
	maxLongBytes = 4 << 20
	// maxLongDeadline is the maximum deadline of their requests, maxReadPause the maximum time before
	// their callers begin to read, maxStepPause that before each step of reading.
	maxLongDeadline = 1500 * time.Millisecond
	maxReadPause    = 2 * time.Second
	maxStepPause    = 20 * time.Millisecond
	// readStep is the number of bytes that a caller reads at once.
	readStep = 128 << 10
	// longTimeout is how long a caller waits at most.
	longTimeout = 15 * time.Second
)

// checkLong lets callers read long answers slowly, while servers cut their answers and processes fail. No
// answer that ended early may appear complete.
func (f *fleet) checkLong(ctx context.Context, random *rand.Rand) error {
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	f.publishUploads(longPath)
	sleep(ctx, settingsTimeout)
	for _, n := range f.nodes[longNodes:] {
		f.leave(ctx, n.number)
	}
	sending, stop := context.WithCancel(ctx)
	defer stop()
	var work sync.WaitGroup
	for _, n := range f.nodes[:longNodes] {
		for i := range longCallers {
			own := rand.New(rand.NewPCG(random.Uint64(), uint64(i)))
			work.Go(func() { f.readLongAnswers(sending, n, own) })
		}
	}
	cutting := f.nodes[random.IntN(longNodes)]
	cutting.server.SetMode(standin.StampedCut)
	f.disturbProcesses(ctx, random, longTime)
	cutting.server.SetMode(standin.StampedOK)
	stop()
	work.Wait()
	return nil
}

// readLongAnswers asks a process for long answers, one after the other.
func (f *fleet) readLongAnswers(ctx context.Context, n *node, random *rand.Rand) {
	for ctx.Err() == nil {
		id := fmt.Sprintf("%016x", random.Uint64())
		body := strings.Repeat("l", minLongBytes+random.IntN(maxLongBytes-minLongBytes))
		path := pick(random, uploadPath, longPath)
		got, complete := f.readLongAnswer(n, random, path, id, body)
		if complete && !strings.HasSuffix(got, " "+path+" "+body) {
			f.record.addBreach(PromiseOwnAnswer, "answer to %s at node %d appears complete with %d bytes, its body has %d", id, n.number, len(got), len(body))
		}
	}
}

// readLongAnswer sends a request whose answer repeats its body, and reads the answer slowly. complete reports that
// it has status 200 and appears complete.
func (f *fleet) readLongAnswer(n *node, random *rand.Rand, path, id, body string) (got string, complete bool) {
	conn, err := net.DialTimeout("tcp", f.address(ownBase, n.number, portCallers), connectTimeout)
	if err != nil {
		sleep(context.Background(), disturbTime)
		return "", false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(longTimeout))
	names := platform.Callers()
	deadline := time.Duration(random.Int64N(int64(maxLongDeadline)))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, host, names.RequestID, id, names.Deadline, max(deadline.Milliseconds(), 1), len(body), body)
	if err != nil {
		return "", false
	}
	time.Sleep(time.Duration(random.Int64N(int64(maxReadPause))))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", false
	}
	defer func() { _ = response.Body.Close() }()
	pause := time.Duration(random.Int64N(int64(maxStepPause)))
	var text strings.Builder
	for {
		_, err := io.CopyN(&text, response.Body, readStep)
		if errors.Is(err, io.EOF) {
			return text.String(), response.StatusCode == http.StatusOK
		}
		if err != nil {
			return "", false
		}
		time.Sleep(pause)
	}
}
