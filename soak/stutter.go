package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/platform"
)

const (
	// stutterTime is how long servers send answers more than once, stutterers the number of these servers.
	stutterTime = 8 * time.Second
	stutterers  = 2
	// stutterFailures is the share of failures and rejections among their answers, low enough that they are used.
	stutterFailures = 0.1
	// maxPipelined is the maximum number of requests that a caller writes before it reads their answers.
	maxPipelined = 6
	// maxStutterUpload is the maximum length of a body in addition to the id that it begins with.
	maxStutterUpload = 256 << 10
	// sameIDPath is the path of requests that all have the id sameID, sameIDs the number of them on one connection. Their
	// bodies are of up to maxSameIDBody bytes more than an id has.
	sameIDPath    = repeatablePath + "same"
	sameID        = "same"
	sameIDs       = 10
	maxSameIDBody = 1 << 10
	// maxLeaveDelay is the maximum time after which a caller leaves.
	maxLeaveDelay = 2 * serviceTime
)

// framedCopies are the forms of copies of answers whose ends are marked.
var framedCopies = []standin.CopyForm{
	standin.CopySame, standin.CopyNoID, standin.CopyEmptyID, standin.CopyChunked, standin.CopyNoIDChunk,
}

// stutterCallers are the kinds of callers of each process in addition to the usual ones. Each sends something and
// reads the answers, if it waits for them.
var stutterCallers = []func(*fleet, *node, *rand.Rand){
	(*fleet).sendPipelined, (*fleet).sendWithBody, (*fleet).sendAndLeave, (*fleet).sendSameID,
}

// checkStutter lets some servers send their answers more than once, in some forms, while processes fail and one of them stops. No
// caller may get another request's answer, nor learn the result of another request.
func (f *fleet) checkStutter(ctx context.Context, random *rand.Rand, forms ...standin.CopyForm) error {
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	var stuttering []*node
	for _, i := range random.Perm(len(f.nodes))[:stutterers] {
		stuttering = append(stuttering, f.nodes[i])
	}
	for _, n := range stuttering {
		n.stutter(rand.New(rand.NewPCG(random.Uint64(), uint64(n.number))), forms)
	}
	sending, stop := context.WithCancel(ctx)
	defer stop()
	var work sync.WaitGroup
	for _, n := range f.nodes {
		for i, call := range stutterCallers {
			own := rand.New(rand.NewPCG(random.Uint64(), uint64(i)))
			work.Go(func() {
				for sending.Err() == nil {
					call(f, n, own)
					sleep(sending, randomDuration(own, minPause, maxPause))
				}
			})
		}
	}
	stopping, after := f.randomNode(random), randomDuration(random, 0, stutterTime/2)
	work.Go(func() {
		sleep(ctx, after)
		f.endAndRestart(stopping, syscall.SIGTERM)()
	})
	f.disturbProcesses(ctx, random, stutterTime)
	stop()
	work.Wait()
	for _, n := range stuttering {
		n.endStutter()
		if len(n.stutterer.Copies()) == 0 && ctx.Err() == nil {
			return Error.New("server %d sent no answer twice", n.number)
		}
	}
	return nil
}

// stutter makes a node's server send answers more than once; some of them are failures and rejections.
func (n *node) stutter(random *rand.Rand, forms []standin.CopyForm) {
	modes := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
	n.server.SetModeDraw(func() standin.StampedMode {
		if modes.Float64() < stutterFailures {
			return pick(modes, standin.StampedError, standin.StampedShed)
		}
		return standin.StampedOK
	})
	n.stutterer.Start(random, forms...)
}

// endStutter ends what stutter began.
func (n *node) endStutter() {
	n.stutterer.Stop()
	n.server.SetModeDraw(nil)
}

// rawRequest is a request that a caller writes to a connection itself.
type rawRequest struct {
	sentRequest
	method, path, body string
	// deadline is the time that the caller gives the request.
	deadline time.Duration
}

// newRawRequest draws a request to a node whose body begins with its id, followed by at most more bytes.
func newRawRequest(random *rand.Rand, n *node, kind slatewind.Kind, more int) rawRequest {
	r := rawRequest{
		sentRequest: sentRequest{ID: fmt.Sprintf("%016x", random.Uint64()), Kind: kind, Node: n.number, At: time.Now()},
		method:      http.MethodPost, path: repeatablePath, deadline: requestTimeout,
	}
	if kind == slatewind.KindSingle {
		r.path = pick(random, singlePaths...)
	}
	r.body = r.ID + strings.Repeat("b", random.IntN(more+1))
	return r
}

// write writes the request.
func (r rawRequest) write(w io.Writer) error {
	names := platform.Callers()
	_, err := fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s", r.method, r.path, host,
		names.RequestID, r.ID, names.Deadline, r.deadline.Milliseconds(), len(r.body), r.body)
	return err
}

// readAnswer reads the answer to a request and records it; the status remains 0 if no complete answer comes.
func (f *fleet) readAnswer(reader *bufio.Reader, r rawRequest) error {
	defer func() {
		r.Ended = time.Now()
		f.record.addSent(r.sentRequest)
	}()
	response, err := http.ReadResponse(reader, &http.Request{Method: r.method})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	text := string(body)
	if r.method == http.MethodHead {
		// Such an answer has no body: only its header tells whose it is.
		names := platform.Servers()
		text = strings.TrimSuffix(response.Header.Get(names.Stamp), "-stamp") + " " + r.path + " " + r.body
	}
	r.Status, r.Own = response.StatusCode, isOwn(response.Header, text, r.path, r.ID, r.body)
	f.checkAnswer(response, text, r.path, r.ID, r.body)
	return nil
}

// callNode opens a connection of a caller to a process; it waits a while if there is none.
func (f *fleet) callNode(n *node) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", f.address(ownBase, n.number, portCallers), connectTimeout)
	if err != nil {
		sleep(context.Background(), disturbTime)
		return nil, err
	}
	return conn, conn.SetDeadline(time.Now().Add(clientTimeout))
}

// sendPipelined writes repeatable requests back to back on one connection, HEAD among them, and reads their answers. It
// does so twice, so that the connection is also used again.
func (f *fleet) sendPipelined(n *node, random *rand.Rand) {
	conn, err := f.callNode(n)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for range 2 {
		var sent []rawRequest
		for range 1 + random.IntN(maxPipelined) {
			r := newRawRequest(random, n, slatewind.KindRepeatable, 0)
			if random.IntN(maxPipelined) == 0 {
				r.method, r.body = http.MethodHead, ""
			}
			if r.write(conn) != nil {
				return
			}
			sent = append(sent, r)
		}
		for _, r := range sent {
			err = f.readAnswer(reader, r)
		}
		if err != nil {
			return
		}
	}
}

// sendWithBody sends a request with a longer body and reads the answer.
func (f *fleet) sendWithBody(n *node, random *rand.Rand) {
	conn, err := f.callNode(n)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	r := newRawRequest(random, n, pick(random, slatewind.KindSingle, slatewind.KindRepeatable), maxStutterUpload)
	// A process may answer before it has read the whole body.
	_ = r.write(conn)
	_ = f.readAnswer(bufio.NewReader(conn), r)
}

// sendSameID sends repeatable requests with the id of those of all such callers and different bodies, one after the other on a
// connection.
func (f *fleet) sendSameID(n *node, random *rand.Rand) {
	conn, err := f.callNode(n)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for range sameIDs {
		r := newRawRequest(random, n, slatewind.KindRepeatable, maxSameIDBody)
		r.ID, r.path = sameID, sameIDPath
		if r.write(conn) != nil || f.readAnswer(reader, r) != nil {
			return
		}
	}
}

// sendAndLeave sends a request and closes the connection a little later, with the answer unread.
func (f *fleet) sendAndLeave(n *node, random *rand.Rand) {
	conn, err := f.callNode(n)
	if err != nil {
		return
	}
	r := newRawRequest(random, n, pick(random, slatewind.KindSingle, slatewind.KindRepeatable), maxStutterUpload)
	delay := time.Duration(random.Int64N(int64(maxLeaveDelay)))
	time.AfterFunc(delay, func() { _ = conn.Close() })
	_ = r.write(conn)
	time.Sleep(delay)
	r.Ended = time.Now()
	f.record.addSent(r.sentRequest)
}
