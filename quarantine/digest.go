package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestBytes is the size of a digest in bytes, large enough that collisions cannot be found in
// practice.
const digestBytes = 16

// shownBytes is the number of digest bytes written to logs and state dumps.
const shownBytes = 4

// Digest identifies the content of a request. It is a truncated SHA-256, so that nobody can craft a
// request with the digest of another one.
type Digest [digestBytes]byte

// String returns the first bytes of the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:shownBytes]) }

// Content holds the parts of a request that make it the same as another one, regardless of its
// origin and request id.
type Content struct {
	// Workspace is the workspace of the caller; empty if it has none.
	Workspace string
	Method    string
	Host      string
	// Target is the path including the query.
	Target string
	Body   []byte
}

// Digest returns the digest of the content. Its cost grows with the size of the body.
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
