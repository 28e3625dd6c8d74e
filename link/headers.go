package link

import (
	"net/http"
	"strings"

	"slatewind.example/slatewind/api/slatewindv1"
)

// HopByHop is the set of header fields, by canonical name, that must not be forwarded: the
// hop-by-hop fields (RFC 9110, section 7.6.1) and others that concern a single connection.
var HopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
	"Proxy-Authorization": true, "Proxy-Authenticate": true,
}

// ForwardedHeaders returns the header fields to forward: all but the hop-by-hop fields,
// those that the Connection field names, and those in without, which the caller sets itself.
func ForwardedHeaders(h http.Header, without ...string) []*slatewindv1.Header {
	dropped := connectionFields(h)
	for _, name := range without {
		dropped[http.CanonicalHeaderKey(name)] = true
	}
	return list(h, func(name string) bool { return !HopByHop[name] && !dropped[name] })
}

// AnswerHeaders returns the header fields of a server's answer that another process gets: all, including the
// hop-by-hop ones, but those that the Connection field names. Fields in kept stay although they are named.
func AnswerHeaders(h http.Header, kept ...string) []*slatewindv1.Header {
	dropped := connectionFields(h)
	for _, name := range kept {
		delete(dropped, http.CanonicalHeaderKey(name))
	}
	return list(h, func(name string) bool { return !dropped[name] })
}

// connectionFields returns the canonical names of the fields that the Connection field names.
func connectionFields(h http.Header) map[string]bool {
	names := map[string]bool{}
	for _, value := range h.Values("Connection") {
		for token := range strings.SplitSeq(value, ",") {
			names[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	return names
}

// list returns the fields whose names are wanted. Fields of different names come in no
// particular order; the values of one field keep theirs.
func list(h http.Header, wanted func(name string) bool) []*slatewindv1.Header {
	var fields []*slatewindv1.Header
	for name, values := range h {
		if !wanted(name) {
			continue
		}
		for _, value := range values {
			fields = append(fields, &slatewindv1.Header{Name: name, Value: []byte(value)})
		}
	}
	return fields
}
