package link

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// TestReadBodyWithoutLength checks that a body without a stated length is read whole, that one that breaks off is not taken for
// complete, and how much memory is asked for.
func TestReadBodyWithoutLength(t *testing.T) {
	errNoMemory := errors.New("no memory")
	tests := map[string]struct {
		length int
		end    error
		// memory is how much may be asked for, in bytes; it must be needed too.
		memory int64
		err    error
	}{
		"empty":              {length: 0, end: io.EOF},
		"one byte":           {length: 1, end: io.EOF},
		"one step":           {length: minStep, end: io.EOF},
		"first lease":        {length: BodyStep, end: io.EOF, memory: BodyStep},
		"several":            {length: 5*BodyStep + 7, end: io.EOF, memory: 5 * BodyStep},
		"breaks off":         {length: BodyStep / 2, end: io.ErrUnexpectedEOF, err: io.ErrUnexpectedEOF},
		"breaks off at once": {length: 0, end: io.ErrUnexpectedEOF, err: io.ErrUnexpectedEOF},
		"no memory":          {length: 5 * BodyStep, end: io.EOF, memory: 2 * BodyStep, err: errNoMemory},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.Repeat("abcdefg", test.length/7+1)[:test.length]
			for _, from := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text)), iotest.DataErrReader(strings.NewReader(text))} {
				asked := int64(0)
				body, err := readBody(io.MultiReader(from, iotest.ErrReader(test.end)), -1, func(bytes int64) error {
					if asked += bytes; asked > test.memory {
						return errNoMemory
					}
					return nil
				})
				if test.err != nil {
					assert.ErrorIs(t, err, test.err)
					continue
				}
				assert.NilError(t, err)
				assert.Assert(t, bytes.Equal(body, []byte(text)))
				assert.Equal(t, asked, test.memory)
			}
		})
	}
}
