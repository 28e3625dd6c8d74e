package outbound

import (
	"errors"

	"github.com/cespare/xxhash/v2"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/link"
)

// errIncompleteAnswer means that a response ended early, or that its length or checksum does not
// match.
var errIncompleteAnswer = Error.New("the answer is truncated or corrupt")

// bodyReader reads the body of a response from the replies that follow its head. It holds the last chunk
// back until the end of the response is verified: a caller that knows the length takes a body of that
// length for complete.
type bodyReader struct {
	use link.Use
	// stated is the length that the body must have, or -1.
	stated int
	// recordState receives the server's state, which may be nil, after the whole response.
	recordState func(*slatewindv1.SlotState)
	sum         *xxhash.Digest
	length      int64
	// held is the newest chunk.
	held []byte
	// verified reports that the whole response was received.
	verified bool
}

func newBodyReader(use link.Use, stated int, recordState func(*slatewindv1.SlotState)) *bodyReader {
	return &bodyReader{use: use, stated: stated, recordState: recordState, sum: xxhash.New()}
}

// next returns the next chunk. done reports that there is none and that the response was complete, which
// only its verified end shows: the stream of a response that broke off may end without an error.
func (r *bodyReader) next() (chunk []byte, done bool, err error) {
	for !r.verified {
		before := r.held
		if err := r.receive(); err != nil {
			return nil, false, err
		}
		if !r.verified && len(before) > 0 {
			return before, false, nil
		}
	}
	chunk, r.held = r.held, nil
	return chunk, len(chunk) == 0, nil
}

// receive receives a chunk, or verifies the end of the response. After that, held is the last chunk.
func (r *bodyReader) receive() error {
	reply, err := r.use.Recv()
	if err != nil {
		return errors.Join(errIncompleteAnswer, link.EarlyEnd(err))
	}
	switch part := reply.GetPart().(type) {
	case *slatewindv1.UseReply_Chunk:
		_, _ = r.sum.Write(part.Chunk)
		r.length += int64(len(part.Chunk))
		r.held = part.Chunk
		return nil
	case *slatewindv1.UseReply_End:
		return r.verify(part.End)
	}
	return errIncompleteAnswer
}

// verify checks the end of the response.
func (r *bodyReader) verify(end *slatewindv1.AnswerEnd) error {
	if r.stated >= 0 && r.length != int64(r.stated) || end.GetLength() != r.length || end.GetChecksum() != r.sum.Sum64() {
		return errIncompleteAnswer
	}
	r.verified = true
	r.recordState(end.GetState())
	return nil
}
