package inbound

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/backend"
	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/link"
)

// pass gives the server's answer to the sender.
func (u *use) pass(ctx context.Context, answer *backend.Answer) error {
	u.learnSlots(answer.Header.Get(u.in.server.Dialect.Load))
	if answer.Header.Get(u.in.server.Dialect.NotExecuted) != "" || answer.StatusCode == http.StatusMisdirectedRequest {
		return u.notExecuted(answer)
	}
	// An answer that breaks off while it is still held is a plain failure and
	// not half an answer, since its head was not sent yet.
	body, err := io.ReadAll(io.LimitReader(answer.Body, link.MaxHeld+1))
	if err != nil {
		return u.fail(ctx, true, err)
	}
	head := &slatewindv1.AnswerHead{Status: int32(answer.StatusCode), Headers: link.AllHeaders(answer.Header)}
	if len(body) <= link.MaxHeld {
		answer.Close()
		u.answered(answer.StatusCode)
		return u.sendAnswer(head, body, nil)
	}
	if err := u.sendAnswer(head, body, answer.Body); err != nil {
		result := breaker.ResultBroken
		if ctx.Err() != nil || u.stream.Context().Err() != nil {
			// The sender left; that says nothing of the server.
			result = breaker.ResultNone
		}
		u.end(result, "a long answer broke off")
		return errors.Join(errBrokenOff, err)
	}
	u.answered(answer.StatusCode)
	return nil
}

// answered ends a run with the server's whole answer. What it answers, be it with an error, does
// not end it.
func (u *use) answered(status int) {
	u.end(resultOf(status), "an error answer")
	u.in.suspects.Answered(time.Now(), u.digest())
}

// errBrokenOff ends a reply whose answer broke off.
var errBrokenOff = Error.New("the answer broke off")

// notExecuted ends a request that the server says it did not run.
func (u *use) notExecuted(answer *backend.Answer) error {
	result := breaker.ResultShed
	reason := "the server rejected it with status " + strconv.Itoa(answer.StatusCode)
	if answer.StatusCode == http.StatusMisdirectedRequest {
		result = breaker.ResultNone
		u.in.mu.Lock()
		if name := answer.Header.Get(u.in.server.Dialect.Identity); name != "" {
			u.in.rename(time.Now(), name, 0)
		}
		u.in.mu.Unlock()
	}
	if u.in.clock.Now().After(u.expires) {
		result = breaker.ResultNone
	}
	answer.Close()
	u.end(result, reason)
	return u.sendFailure(slatewind.OutcomeNotRun, reason, nil)
}

// A load report has three figures: requests running, requests waiting, slots
// (slatewind.ServerHeaders).
const (
	loadFigures = 3
	slotsFigure = 2
)

// learnSlots takes the number of slots from a load report.
func (u *use) learnSlots(report string) {
	parts := strings.Split(report, ",")
	if len(parts) != loadFigures {
		return
	}
	if slots, err := strconv.Atoi(strings.TrimSpace(parts[slotsFigure])); err == nil {
		u.in.mu.Lock()
		u.in.setSlots(slots)
		u.in.mu.Unlock()
	}
}

// resultOf returns what an answer's status says of the server.
func resultOf(status int) breaker.Result {
	if status >= slatewind.MinServerErrorStatus {
		return breaker.ResultError
	}
	return breaker.ResultOK
}

// sendAnswer sends head, chunks and end: first the held part of the body, then
// the rest, which may be nil. A body that breaks off gets no end.
func (u *use) sendAnswer(head *slatewindv1.AnswerHead, held []byte, rest io.Reader) error {
	if err := u.send(&slatewindv1.UseReply{Part: &slatewindv1.UseReply_Head{Head: head}}); err != nil {
		return err
	}
	w := &chunkSender{use: u, sum: xxhash.New()}
	for part := range slices.Chunk(held, link.ChunkBytes) {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	if rest != nil {
		if _, err := io.CopyBuffer(w, onlyReader{rest}, make([]byte, link.ChunkBytes)); err != nil {
			return err
		}
	}
	return u.send(&slatewindv1.UseReply{Part: &slatewindv1.UseReply_End{End: &slatewindv1.AnswerEnd{
		Length: w.length, Checksum: w.sum.Sum64(), State: u.state(),
	}}})
}

// onlyReader hides WriteTo, so that copies are made in chunks.
type onlyReader struct{ io.Reader }

// chunkSender sends what is written to it and keeps length and checksum.
type chunkSender struct {
	use    *use
	sum    *xxhash.Digest
	length int64
}

// Write implements io.Writer.
func (w *chunkSender) Write(p []byte) (int, error) {
	_, _ = w.sum.Write(p)
	w.length += int64(len(p))
	err := w.use.send(&slatewindv1.UseReply{Part: &slatewindv1.UseReply_Chunk{Chunk: bytes.Clone(p)}})
	return len(p), err
}
