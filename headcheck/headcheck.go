// Package headcheck refuses HTTP answers with invalid names of fields.
//
// The standard library's reader takes a name that contains a blank as it is. "Content-Length : 4" is then another field than the
// Content-Length that the sender meant, and the body seems to end elsewhere.
package headcheck

import (
	"errors"
	"io"
	"net/http"
	"slices"

	"github.com/zeebo/errs"
	"golang.org/x/net/http/httpguts"

	"slatewind.example/slatewind/clip"
)

// Error is the class of errors of this package.
var Error = errs.Class("headcheck")

// maxNameBytes limits what an error quotes of a name, in bytes.
const maxNameBytes = 64

// Response returns an error if the name of a field in an answer's header is invalid (RFC 9110, section 5.1). Otherwise a name in
// the trailer that is invalid becomes the error of the body's end.
func Response(r *http.Response) error {
	if err := Fields(r.Header); err != nil {
		return err
	}
	if slices.Contains(r.TransferEncoding, "chunked") {
		r.Body = &trailedBody{ReadCloser: r.Body, response: r}
	}
	return nil
}

// Fields returns an error if the name of a field is invalid.
func Fields[V any](fields map[string]V) error {
	for name := range fields {
		if err := Name(name); err != nil {
			return err
		}
	}
	return nil
}

// Name returns an error if the name of a field is invalid.
func Name(name string) error {
	if httpguts.ValidHeaderFieldName(name) {
		return nil
	}
	return Error.New("the name %q of a field is invalid", clip.Text(name, maxNameBytes))
}

// trailedBody is the body of an answer in chunks, which a trailer may follow.
type trailedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := Fields(b.response.Trailer); invalid != nil {
			return n, invalid
		}
	}
	return n, err
}
