package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestBytes is the size of a digest: no two requests that anybody can find share one.
const digestBytes = 16

// shownBytes is how much of a digest is written into logs and dumps.
const shownBytes = 4

// Digest stands for a request's content. It is a part of its SHA-256, so that nobody can make a
// request for which another one is taken.
type Digest [digestBytes]byte

// String returns the beginning of the digest in hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:shownBytes]) }

// Content is what makes two requests the same, wherever they begin and whatever ids they have.
type Content struct {
	// Workspace is the caller's, empty where it has none.
	Workspace string
	Method    string
	Host      string
	// Target is the path with its query.
	Target string
	Body   []byte
}

// Digest returns that of the content. The time it takes grows with the body.
func (c Content) Digest() Digest {
	sum := sha256.New()
	for _, part := range []string{c.Workspace, c.Method, c.Host, c.Target} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = sum.Write(length[:])
		_, _ = sum.Write([]byte(part))
	}
	_, _ = sum.Write(c.Body)
	return Digest(sum.Sum(nil)[:digestBytes])
}
