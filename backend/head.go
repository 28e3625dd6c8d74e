package backend

import "net"

// maxHeadBytes limits the head of an answer, in bytes. Without it, a server that sends bytes without end would fill
// the memory until the deadline of its request.
const maxHeadBytes = 64 << 10

// headLimiter reads from a connection. While a head is read, it fails with ErrHeadTooLarge after maxHeadBytes;
// the body is not limited here.
type headLimiter struct {
	conn   net.Conn
	inHead bool
	// read is the number of bytes that were read in all.
	read int64
	// left is the number of bytes that may still be read of the head.
	left int
}

// beginHead starts to limit what is read.
func (l *headLimiter) beginHead() { l.inHead, l.left = true, maxHeadBytes }

// endHead ends the limit after a whole head was read.
func (l *headLimiter) endHead() { l.inHead = false }

// Read implements io.Reader.
func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.inHead {
		return l.count(l.conn.Read(b))
	}
	if l.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := l.count(l.conn.Read(b[:min(len(b), l.left)]))
	l.left -= n
	return n, err
}

// count adds to the number of bytes that were read and returns its arguments.
func (l *headLimiter) count(n int, err error) (int, error) {
	l.read += int64(n)
	return n, err
}
