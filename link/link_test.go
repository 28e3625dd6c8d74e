package link_test

import (
	"errors"
	"io"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/link"
)

func head(id string) *slatewindv1.RunReply {
	return &slatewindv1.RunReply{Part: &slatewindv1.RunReply_Head{Head: &slatewindv1.RunHead{AttemptId: id}}}
}

func chunk(text string) *slatewindv1.RunReply {
	return &slatewindv1.RunReply{Part: &slatewindv1.RunReply_Chunk{Chunk: []byte(text)}}
}

// answerHead returns the head of a server's answer to attempt 1, with fields of the given names.
func answerHead(status int32, names ...string) *slatewindv1.RunReply {
	head := &slatewindv1.RunHead{AttemptId: "1", Outcome: string(slatewind.OutcomeAnswer), Status: status}
	for _, name := range names {
		head.Headers = append(head.Headers, &slatewindv1.Header{Name: name})
	}
	return &slatewindv1.RunReply{Part: &slatewindv1.RunReply_Head{Head: head}}
}

func end(id, text string) *slatewindv1.RunReply {
	return &slatewindv1.RunReply{Part: &slatewindv1.RunReply_End{End: &slatewindv1.RunEnd{
		AttemptId: id, Length: int64(len(text)), Checksum: xxhash.Sum64String(text),
	}}}
}

// TestReadReply: a reply is accepted only if it belongs to the attempt and is complete.
// TestReadReply guards against a reply that ended early and is taken for a complete one, whether its stream ends with an
// error or without one.
func TestReadReply(t *testing.T) {
	for name, lost := range map[string]error{"connection lost": errors.New("connection lost"), "stream ended": io.EOF} {
		t.Run(name, func(t *testing.T) { testReadReply(t, lost) })
	}
}

// testReadReply reads replies whose stream ends with the error lost.
func testReadReply(t *testing.T, lost error) {
	tests := map[string]struct {
		parts []*slatewindv1.RunReply
		body  string
		err   error
	}{
		"whole":                  {parts: []*slatewindv1.RunReply{head("1"), chunk("ab"), chunk("c"), end("1", "abc")}, body: "abc"},
		"empty":                  {parts: []*slatewindv1.RunReply{head("1"), end("1", "")}},
		"another's":              {parts: []*slatewindv1.RunReply{head("2"), end("2", "")}, err: link.ErrAttemptMismatch},
		"another's head":         {parts: []*slatewindv1.RunReply{head("2"), chunk("abc"), end("1", "abc")}, err: link.ErrAttemptMismatch},
		"another's end":          {parts: []*slatewindv1.RunReply{head("1"), chunk("abc"), end("2", "abc")}, err: link.ErrAttemptMismatch},
		"cut off":                {parts: []*slatewindv1.RunReply{head("1"), chunk("ab")}, err: link.ErrCorrupt},
		"a chunk missing":        {parts: []*slatewindv1.RunReply{head("1"), chunk("ab"), end("1", "abc")}, err: link.ErrCorrupt},
		"a chunk doubled":        {parts: []*slatewindv1.RunReply{head("1"), chunk("ab"), chunk("ab"), end("1", "ab")}, err: link.ErrCorrupt},
		"another text":           {parts: []*slatewindv1.RunReply{head("1"), chunk("abd"), end("1", "abc")}, err: link.ErrCorrupt},
		"a second head":          {parts: []*slatewindv1.RunReply{head("1"), head("1"), end("1", "")}, err: link.ErrCorrupt},
		"no head":                {parts: []*slatewindv1.RunReply{chunk("abc"), end("1", "abc")}, err: link.ErrCorrupt},
		"status 000":             {parts: []*slatewindv1.RunReply{answerHead(0), end("1", "")}, err: link.ErrCorrupt},
		"status 101":             {parts: []*slatewindv1.RunReply{answerHead(101), end("1", "")}, err: link.ErrCorrupt},
		"status 599":             {parts: []*slatewindv1.RunReply{answerHead(599), end("1", "")}},
		"status 700":             {parts: []*slatewindv1.RunReply{answerHead(700), end("1", "")}, err: link.ErrCorrupt},
		"a field":                {parts: []*slatewindv1.RunReply{answerHead(200, "X-A"), end("1", "")}},
		"a blank behind a name":  {parts: []*slatewindv1.RunReply{answerHead(200, "X-A", "X-B "), end("1", "")}, err: link.ErrCorrupt},
		"a line end in a name":   {parts: []*slatewindv1.RunReply{answerHead(200, "X\nA"), end("1", "")}, err: link.ErrCorrupt},
		"an empty name":          {parts: []*slatewindv1.RunReply{answerHead(200, ""), end("1", "")}, err: link.ErrCorrupt},
		"nothing came back":      {err: lost},
		"nothing after the head": {parts: []*slatewindv1.RunReply{head("1")}, err: link.ErrCorrupt},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			parts := tt.parts
			reply, err := link.ReadReply("1", func() (*slatewindv1.RunReply, error) {
				if len(parts) == 0 {
					return nil, lost
				}
				part := parts[0]
				parts = parts[1:]
				return part, nil
			})
			if tt.err != nil {
				assert.ErrorIs(t, err, tt.err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(reply.Body), tt.body)
		})
	}
}

// TestLongReplyIsCutShortVisibly: a reply that is too long to buffer ends with io.EOF only
// if it is complete.
func TestLongReplyIsCutShortVisibly(t *testing.T) {
	long := string(make([]byte, link.MaxBufferedBytes+1))
	for name, last := range map[string]*slatewindv1.RunReply{"whole": end("1", long+"abc"), "wrong": end("1", long+"ab"), "none": nil} {
		t.Run(name, func(t *testing.T) {
			parts := []*slatewindv1.RunReply{head("1"), chunk(long), chunk("abc"), last}
			reply, err := link.ReadReply("1", func() (*slatewindv1.RunReply, error) {
				part := parts[0]
				if part == nil {
					return nil, io.EOF
				}
				parts = parts[1:]
				return part, nil
			})
			assert.NilError(t, err)
			rest, err := reply.Rest()
			assert.NilError(t, err)
			assert.Equal(t, string(rest), "abc")
			_, err = reply.Rest()
			assert.Equal(t, errors.Is(err, io.EOF), name == "whole")
		})
	}
}
