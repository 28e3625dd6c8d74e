package config

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// Settings travel between processes in chunks, so that a change of one service
// moves the bytes of that service and not of the whole file. A chunk begins at
// each line that starts an item of a list ("  - " or "- "), with any indent up
// to itemIndent, and holds at least minChunk bytes.
const (
	itemIndent = 4
	minChunk   = 512
)

// Split cuts a file into chunks; joined, they are the file.
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

// Missing returns the chunks whose digests are not in have, in order.
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

// Join puts a file together from the digests of its chunks, the chunks of an
// older file and those that came. It reports false if one is missing.
func Join(digests []uint64, older, came [][]byte) ([]byte, bool) {
	known := make(map[uint64][]byte, len(older)+len(came))
	for _, chunk := range append(older, came...) {
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
