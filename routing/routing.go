// Package routing finds the route of a request by host, path and method.
package routing

import (
	"net/http"
	"strings"

	"slatewind.example/slatewind/api/slatewindv1"
)

// Table finds the route of a request. A lookup costs at most four map accesses per segment of the
// path, independent of the number of routes.
type Table struct {
	// hosts holds the routes by host and path prefix.
	hosts map[string]map[string][]*slatewindv1.Route
}

// NewTable returns a table of routes.
func NewTable(routes []*slatewindv1.Route) *Table {
	t := &Table{hosts: map[string]map[string][]*slatewindv1.Route{}}
	for _, route := range routes {
		prefixes := t.hosts[route.GetHost()]
		if prefixes == nil {
			prefixes = map[string][]*slatewindv1.Route{}
			t.hosts[route.GetHost()] = prefixes
		}
		prefixes[route.GetPathPrefix()] = append(prefixes[route.GetPathPrefix()], route)
	}
	return t
}

// Find returns the route of a request, or nil if there is none. Routes for the request's host take
// precedence over routes for any host, then the longest prefix does. A prefix that ends with a slash
// matches the paths that begin with it; another one matches the path that equals it, too. path is
// compared as PathOf returns it.
func (t *Table) Find(host, method, path string) *slatewindv1.Route {
	if route := findPrefix(t.hosts[host], method, path); route != nil {
		return route
	}
	return findPrefix(t.hosts[""], method, path)
}

// findPrefix returns the route that accepts the method under the longest matching prefix of path, or
// nil if there is none.
func findPrefix(prefixes map[string][]*slatewindv1.Route, method, path string) *slatewindv1.Route {
	if len(prefixes) == 0 {
		return nil
	}
	if route := findMethod(prefixes[path], method); route != nil {
		return route
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := findMethod(prefixes[path[:end+1]], method); route != nil {
			return route
		}
		if route := findMethod(prefixes[path[:end]], method); route != nil {
			return route
		}
	}
	return nil
}

// findMethod returns the route for a method. A route that lists the method takes precedence over
// one for any method.
func findMethod(routes []*slatewindv1.Route, method string) *slatewindv1.Route {
	var anyMethod *slatewindv1.Route
	for _, route := range routes {
		if len(route.GetMethods()) == 0 {
			anyMethod = route
		}
		for _, m := range route.GetMethods() {
			if m == method {
				return route
			}
		}
	}
	return anyMethod
}

// PathOf returns the path of a received request without its query, as the caller sent it. It is not
// decoded, since an encoded slash separates no segments (RFC 3986, section 2.2).
func PathOf(r *http.Request) string {
	target, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(target, "/") {
		target = withoutAuthority(target)
	}
	if target == "" {
		return "/"
	}
	return target
}

// withoutAuthority removes scheme and authority of a target in absolute form.
func withoutAuthority(target string) string {
	_, rest, absolute := strings.Cut(target, "://")
	if !absolute {
		return target
	}
	_, path, found := strings.Cut(rest, "/")
	if !found {
		return ""
	}
	return "/" + path
}
