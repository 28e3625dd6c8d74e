package config

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// Settings are transferred between processes in chunks, so that a change to one service
// transfers only the bytes of that service. A chunk boundary is a line that starts a list
// item ("- " with an indent of at most itemIndent spaces) at least minChunk bytes after the
// previous boundary.
const (
	itemIndent = 4
	minChunk   = 512
)

// Split splits a file into chunks. Their concatenation is the file.
func Split(text []byte) [][]byte {
	var chunks [][]byte
	start := 0
	for at := 0; at < len(text); {
		end := bytes.IndexByte(text[at:], '\n')
		if end < 0 {
			break
		}
		if at-start >= minChunk && startsItem(text[at:at+end]) {
			chunks = append(chunks, text[start:at])
			start = at
		}
		at += end + 1
	}
	return append(chunks, text[start:])
}

func startsItem(line []byte) bool {
	trimmed := bytes.TrimLeft(line, " ")
	return len(line)-len(trimmed) <= itemIndent && bytes.HasPrefix(trimmed, []byte("- "))
}

// ChunkDigests returns the digest of each chunk.
func ChunkDigests(chunks [][]byte) []uint64 {
	digests := make([]uint64, len(chunks))
	for i, chunk := range chunks {
		digests[i] = xxhash.Sum64(chunk)
	}
	return digests
}

// Missing returns the chunks whose digests are not in have, in their order.
func Missing(chunks [][]byte, have []uint64) [][]byte {
	known := make(map[uint64]bool, len(have))
	for _, digest := range have {
		known[digest] = true
	}
	var missing [][]byte
	for _, chunk := range chunks {
		if !known[xxhash.Sum64(chunk)] {
			missing = append(missing, chunk)
		}
	}
	return missing
}

// Join assembles a file from the digests of its chunks, the chunks of an older file and the
// received chunks. It reports false if a chunk is missing.
func Join(digests []uint64, older, received [][]byte) ([]byte, bool) {
	known := make(map[uint64][]byte, len(older)+len(received))
	for _, chunk := range append(older, received...) {
		known[xxhash.Sum64(chunk)] = chunk
	}
	var text []byte
	for _, digest := range digests {
		chunk, ok := known[digest]
		if !ok {
			return nil, false
		}
		text = append(text, chunk...)
	}
	return text, true
}
