package link

import (
	"net/http"
	"slices"
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
	dropped := map[string]bool{}
	for _, name := range without {
		dropped[http.CanonicalHeaderKey(name)] = true
	}
	for _, value := range h.Values("Connection") {
		addConnectionFields(dropped, value)
	}
	return list(h, func(name string) bool { return !HopByHop[name] && !dropped[name] })
}

// EndToEnd returns the header fields of an answer that are forwarded to its caller: all but the hop-by-hop
// fields and those that the Connection field names.
func EndToEnd(fields []*slatewindv1.Header) []*slatewindv1.Header {
	dropped := map[string]bool{}
	for _, field := range fields {
		if field.GetName() == "Connection" {
			addConnectionFields(dropped, string(field.GetValue()))
		}
	}
	return slices.DeleteFunc(slices.Clone(fields), func(field *slatewindv1.Header) bool {
		return HopByHop[field.GetName()] || dropped[field.GetName()]
	})
}

// addConnectionFields adds the fields that a value of the Connection field names.
func addConnectionFields(to map[string]bool, value string) {
	for token := range strings.SplitSeq(value, ",") {
		to[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
	}
}

// AllHeaders returns all header fields, including the hop-by-hop ones.
func AllHeaders(h http.Header) []*slatewindv1.Header {
	return list(h, func(string) bool { return true })
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
