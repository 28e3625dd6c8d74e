package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/admin"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/platform"
)

const (
	// uploadPath is the path prefix of a route whose requests may take uploadTimeout.
	uploadPath    = "/send/"
	uploadTimeout = 10 * time.Second
	// uploadBytes is the size of an upload: on a delayed link it takes longer than the time for
	// which a granted slot is kept.
	uploadBytes = 500 << 10
	// uploads is the number of uploads of the caller beside each server.
	uploads = 3
)

const (
	// silentCallers is the number of callers of one process that do not read their answers, each
	// of answerBytes.
	silentCallers = 60
	answerBytes   = 800 << 10
	// answerLimit is the bound on unread answers in the settings of the processes.
	answerLimit = 4 << 20
	// unreadTime is how long they stay unread.
	unreadTime = 4 * time.Second
	// readTimeout is how long a caller that reads may have to wait meanwhile.
	readTimeout = 2 * time.Second
)

// checkUploads sends uploads over slow links, from VMs whose own servers leave. All of them must be
// served, whole.
func (f *fleet) checkUploads(ctx context.Context) error {
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	f.publishUploads()
	sleep(ctx, settingsTimeout)
	senders := f.nodes[:len(f.nodes)/2]
	for _, n := range senders {
		f.leave(ctx, n.number)
	}
	for _, n := range f.nodes {
		n.peerProxy.set(linkDelayed)
	}
	var work sync.WaitGroup
	for _, n := range senders {
		work.Go(func() { f.upload(ctx, n) })
	}
	work.Wait()
	for _, n := range f.nodes {
		n.peerProxy.set(linkOpen)
	}
	return nil
}

// publishUploads publishes settings with the route for uploads, and one of the same time for each path prefix of
// repeatable requests.
func (f *fleet) publishUploads(repeatable ...string) {
	settings := settingsOf(f.version.Add(1))
	routes := []*slatewindv1.Route{newRoute(uploadPath, slatewind.KindSingle)}
	for _, prefix := range repeatable {
		routes = append(routes, newRoute(prefix, slatewind.KindRepeatable))
	}
	for _, route := range routes {
		route.Timeout, route.Objective = durationpb.New(uploadTimeout), durationpb.New(uploadTimeout/2)
	}
	settings.Fleet.Routes = append(settings.Fleet.Routes, routes...)
	f.store.Put(platform.ConfigKey, encode(settings, nil))
}

// upload sends uploads to a process, one after the other.
func (f *fleet) upload(ctx context.Context, n *node) {
	client := &http.Client{Timeout: uploadTimeout}
	defer client.CloseIdleConnections()
	body := strings.Repeat("u", uploadBytes)
	for range uploads {
		if ctx.Err() != nil {
			return
		}
		header := http.Header{platform.Callers().Deadline: {strconv.FormatInt(uploadTimeout.Milliseconds(), 10)}}
		status, _, text := f.post(client, n.number, uploadPath, newID(), body, header)
		if status != http.StatusOK || !strings.HasSuffix(text, " "+body) {
			f.record.addBreach(PromiseUpload, "an upload at node %d got status %d and %d bytes", n.number, status, len(text))
		}
	}
}

// checkUnread opens many connections to one process whose callers do not read their answers. These
// must stay within their bound, and other callers of the process must be served meanwhile.
func (f *fleet) checkUnread(ctx context.Context) error {
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	f.publishUploads()
	sleep(ctx, settingsTimeout)
	n := f.nodes[0]
	body := bytes.Repeat([]byte("r"), answerBytes)
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	for range silentCallers {
		conn, err := f.sendUnread(n, body)
		if err != nil {
			return err
		}
		conns = append(conns, conn)
	}
	for end := time.Now().Add(unreadTime); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, pollInterval) {
		f.checkAnswerBytes(n)
		f.checkReader(n)
	}
	return nil
}

// sendUnread sends a request with a body and does not read the answer, which repeats the body.
func (f *fleet) sendUnread(n *node, body []byte) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", f.address(ownBase, n.number, portCallers), connectTimeout)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// A small receive buffer leaves most of the answer at the process.
		_ = tcp.SetReadBuffer(1)
	}
	go func() {
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", uploadPath, host, platform.Callers().RequestID, newID(), len(body))
		_, _ = conn.Write(body)
	}()
	return conn, nil
}

// checkAnswerBytes checks the memory of unread answers in the state dump of a process.
func (f *fleet) checkAnswerBytes(n *node) {
	client := http.Client{Timeout: readyRequestTimeout}
	response, err := client.Get("http://" + f.address(ownBase, n.number, portAdmin) + "/state")
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	var state admin.State
	text, err := io.ReadAll(response.Body)
	if err != nil || json.Unmarshal(text, &state) != nil || state.Outbound == nil {
		return
	}
	if held := state.Outbound.Memory.Answers.Bytes; held > answerLimit {
		f.record.addBreach(PromiseUnread, "node %d holds %d bytes of unread answers, %d allowed", n.number, held, answerLimit)
	}
}

// checkReader checks that a caller that reads its answer is served in time.
func (f *fleet) checkReader(n *node) {
	client := newCaller()
	defer client.CloseIdleConnections()
	began := time.Now()
	if status, _ := f.send(client, n.number, repeatablePath, newID()); status == http.StatusOK && time.Since(began) > readTimeout {
		f.record.addBreach(PromiseUnread, "a caller of node %d that reads waited %s", n.number, time.Since(began))
	}
}
