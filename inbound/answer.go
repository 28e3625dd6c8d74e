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
	"slatewind.example/slatewind/bodylimit"
	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/occupant"
)

// forwardAnswer forwards the server's answer to the sender.
func (u *use) forwardAnswer(ctx context.Context, answer *backend.Answer) error {
	if name := u.otherServer(answer); name != "" {
		return u.misdirected(answer, name)
	}
	u.answered()
	u.updateSlots(answer.Header.Get(u.in.server.Headers.Load))
	u.recordStatements(answer)
	if u.rejected(answer) {
		return u.notExecuted(answer, breaker.ResultShed, "the server rejected it with status "+strconv.Itoa(answer.StatusCode))
	}
	// If the server's answer is truncated while it is still buffered here, the request counts as
	// failed: nothing of the answer has been sent yet.
	buffered := u.in.memory.Answers.Empty()
	defer buffered.Release()
	body, complete, err := readBuffered(answer.Body, answer.ContentLength, buffered)
	if err != nil {
		return u.fail(ctx, true, err)
	}
	head := &slatewindv1.AnswerHead{Status: int32(answer.StatusCode), Headers: u.headers(answer), State: u.statement()}
	if complete {
		answer.Close()
		u.completed(answer.StatusCode)
		if answer.StatusCode >= slatewind.MinServerErrorStatus {
			head.NextPaidMs = u.payNext(slatewind.OutcomeAnswer)
		}
		return u.sendAnswer(head, body, nil)
	}
	if err := u.sendAnswer(head, body, answer.Body); err != nil {
		result := breaker.ResultBroken
		if ctx.Err() != nil || u.stream.Context().Err() != nil {
			// The sender cancelled; that is no evidence about the server.
			result = breaker.ResultNone
		}
		u.endRun(result, "a long answer broke off")
		return err
	}
	u.completed(answer.StatusCode)
	return nil
}

// readBuffered reads the body of an answer of the given length, which is negative if it is not stated, up to
// link.MaxBufferedBytes, or less if there is no memory for more than a chunk. complete reports that it is the whole body.
func readBuffered(from io.Reader, length int64, lease *bodylimit.Lease) (body []byte, complete bool, err error) {
	var buffer bytes.Buffer
	reserved := int64(link.ChunkBytes)
	if length > reserved && length <= link.MaxBufferedBytes && lease.Grow(length) == nil {
		reserved = length
		buffer.Grow(int(length) + bytes.MinRead)
	}
	for buffer.Len() <= link.MaxBufferedBytes {
		_, err := io.CopyN(&buffer, from, link.ChunkBytes)
		if errors.Is(err, io.EOF) {
			return buffer.Bytes(), buffer.Len() <= link.MaxBufferedBytes, nil
		}
		if err != nil {
			return nil, false, err
		}
		if int64(buffer.Len()) >= reserved {
			if lease.Grow(link.ChunkBytes) != nil {
				break
			}
			reserved += link.ChunkBytes
		}
	}
	return buffer.Bytes(), false, nil
}

// headers returns the header fields of an answer for its sender. A Connection field that names what proves whose the
// answer is, or how long it is, is invalid.
func (u *use) headers(answer *backend.Answer) []*slatewindv1.Header {
	names := u.in.server.Headers
	return link.AnswerHeaders(answer.Header, names.RequestID, names.Stamp, "Content-Length")
}

// rejected reports whether the server states that it did not execute the request.
func (u *use) rejected(answer *backend.Answer) bool {
	return answer.Header.Get(u.in.server.Headers.NotExecuted) != "" || answer.StatusCode == http.StatusMisdirectedRequest
}

// otherServer returns the name of the server that answered if the request was addressed to another
// one, or "".
func (u *use) otherServer(answer *backend.Answer) string {
	name := answer.Header.Get(u.in.server.Headers.Identity)
	if answer.StatusCode != http.StatusMisdirectedRequest || name == u.expected {
		return ""
	}
	return name
}

// misdirected ends a request that was answered by another server than the one that it was addressed to. What
// that server states about itself says nothing about this one.
func (u *use) misdirected(answer *backend.Answer, by string) error {
	u.in.updateOccupant(time.Now(), func(o *occupant.Local) { o.Misdirected(u.expected, by) })
	return u.notExecuted(answer, breaker.ResultNone, "it was addressed to server "+u.expected+", and server "+by+" rejected it")
}

// answered records that the server is running.
func (u *use) answered() {
	u.in.mu.Lock()
	defer u.in.mu.Unlock()
	u.in.warmup.Answered(time.Now(), u.began)
}

// completed ends a run whose complete answer was received. Any answer, an error included, shows
// that the server did not exit while it ran the request.
func (u *use) completed(status int) {
	u.endRun(u.resultOf(status), "an error answer")
	u.in.suspects.Answered(time.Now(), u.digest())
}

// errTruncated ends a reply whose answer was not sent completely.
var errTruncated = Error.New("the answer broke off")

// notExecuted ends a request that the server states it did not execute.
func (u *use) notExecuted(answer *backend.Answer, result breaker.Result, reason string) error {
	if u.in.clock.Now().After(u.expires) {
		result = breaker.ResultNone
	}
	answer.Close()
	u.endRun(result, reason)
	return u.sendFailure(slatewind.OutcomeNotRun, reason, nil)
}

// A load report has three fields: running requests, queued requests, slots
// (slatewind.ServerHeaders).
const (
	loadReportFields = 3
	loadReportSlots  = 2
	// maxReportedSlots is the largest number of slots that is believed, as in entries of servers.
	maxReportedSlots = 1 << 16
)

// updateSlots updates the number of slots from a load report. A malformed report is ignored.
func (u *use) updateSlots(report string) {
	parts := strings.Split(report, ",")
	if len(parts) != loadReportFields {
		return
	}
	if slots, err := strconv.Atoi(strings.TrimSpace(parts[loadReportSlots])); err == nil && slots <= maxReportedSlots {
		u.in.mu.Lock()
		u.in.setSlots(slots)
		u.in.mu.Unlock()
	}
}

// resultOf classifies the status of a complete answer.
func (u *use) resultOf(status int) breaker.Result {
	switch {
	case status < slatewind.MinServerErrorStatus:
		return breaker.ResultOK
	case status == http.StatusGatewayTimeout && time.Since(u.began) >= u.allowed:
		// The time that it was handed is over, which is short on some routes. How long it took is judged apart.
		return breaker.ResultNone
	}
	return breaker.ResultError
}

// sendAnswer sends an answer. The body consists of the buffered part followed by rest, which may be
// nil. A truncated answer is sent without an end, and the error is errTruncated.
func (u *use) sendAnswer(head *slatewindv1.AnswerHead, buffered []byte, rest io.Reader) error {
	if err := u.sendParts(head, buffered, rest); err != nil {
		return errors.Join(errTruncated, err)
	}
	return nil
}

// sendParts sends the head, the chunks of the body and the end of an answer.
func (u *use) sendParts(head *slatewindv1.AnswerHead, buffered []byte, rest io.Reader) error {
	if err := u.send(&slatewindv1.UseReply{Part: &slatewindv1.UseReply_Head{Head: head}}); err != nil {
		return err
	}
	w := &chunkSender{use: u, sum: xxhash.New()}
	for part := range slices.Chunk(buffered, link.ChunkBytes) {
		if err := w.send(part); err != nil {
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

// onlyReader hides WriteTo, so that io.CopyBuffer copies in chunks.
type onlyReader struct{ io.Reader }

// chunkSender sends the bytes written to it as chunks and computes their length and checksum.
type chunkSender struct {
	use    *use
	sum    *xxhash.Digest
	length int64
}

// Write implements io.Writer.
func (w *chunkSender) Write(p []byte) (int, error) {
	return len(p), w.send(bytes.Clone(p))
}

// send sends a chunk, which must not be changed afterwards.
func (w *chunkSender) send(chunk []byte) error {
	_, _ = w.sum.Write(chunk)
	w.length += int64(len(chunk))
	return w.use.send(&slatewindv1.UseReply{Part: &slatewindv1.UseReply_Chunk{Chunk: chunk}})
}
