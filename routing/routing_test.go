package routing_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	_ "slatewind.example/slatewind/internal/seeded"
	"slatewind.example/slatewind/routing"
)

// route returns a route whose name is its host and prefix.
func route(host, prefix string, methods ...string) *slatewindv1.Route {
	return &slatewindv1.Route{Name: host + prefix, Host: host, PathPrefix: prefix, Methods: methods, Kind: string(slatewind.KindRepeatable)}
}

func TestFind(t *testing.T) {
	table := routing.NewTable([]*slatewindv1.Route{
		route("", "/"), route("", "/listings", "GET"),
		{Name: "post", PathPrefix: "/listings", Methods: []string{"POST"}},
		route("shop.sn", "/listings/own"),
	})
	tests := map[string]struct{ host, method, path, route string }{
		"root":              {"a", "GET", "/", "/"},
		"whole segments":    {"a", "GET", "/listingsandmore", "/"},
		"by method":         {"a", "POST", "/listings/7", "post"},
		"method falls back": {"a", "DELETE", "/listings/7", "/"},
		"trailing slash":    {"a", "GET", "/listings/", "/listings"},
		"host first":        {"shop.sn", "POST", "/listings/own/7", "shop.sn/listings/own"},
		"host falls back":   {"shop.sn", "POST", "/listings/7", "post"},
		"no path":           {"a", "OPTIONS", "*", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, table.Find(test.host, test.method, test.path).GetName(), test.route)
		})
	}
}

// TestFindShorterPath guards against a payment that is repeated, run by another service or not refused,
// because a longer prefix takes its path for one of its own.
func TestFindShorterPath(t *testing.T) {
	table := routing.NewTable([]*slatewindv1.Route{
		route("h", "/ads/"), route("h", "/ads/boost/"), route("h", "/ads/boost/paid/"), route("h", "/post"), route("h", "/post/old/"),
		route("", "/ads/any/"),
	})
	tests := map[string]struct{ host, path, route string }{
		"without the last slash":         {"h", "/ads/boost", "h/ads/"},
		"with it":                        {"h", "/ads/boost/", "h/ads/boost/"},
		"below":                          {"h", "/ads/boost/17", "h/ads/boost/"},
		"a longer segment":               {"h", "/ads/boosted", "h/ads/"},
		"two levels":                     {"h", "/ads/boost/paid", "h/ads/boost/"},
		"no shorter prefix":              {"h", "/ads", ""},
		"encoded slash":                  {"h", "/ads/boost%2F17", "h/ads/"},
		"encoded letter":                 {"h", "/ads/boos%74/17", "h/ads/"},
		"doubled slash":                  {"h", "/ads//boost/17", "h/ads/"},
		"prefix without slash":           {"h", "/post", "h/post"},
		"below a prefix without slash":   {"h", "/post/7", "h/post"},
		"beside a prefix without slash":  {"h", "/posts", ""},
		"without slash, longer with one": {"h", "/post/old", "h/post"},
		"any host":                       {"x", "/ads/any", ""},
		"any host, below":                {"h", "/ads/any/7", "h/ads/"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, table.Find(test.host, "POST", test.path).GetName(), test.route)
		})
	}
}

// TestFindComparesAllPrefixes checks Find against a search through all routes.
func TestFindComparesAllPrefixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefixes := rapid.SliceOfDistinct(rapid.StringMatching(`(/[ab]?){1,4}`), rapid.ID[string]).Draw(t, "prefixes")
		path := rapid.StringMatching(`(/[abc]{0,2}){1,5}`).Draw(t, "path")
		var routes []*slatewindv1.Route
		longest := ""
		for _, prefix := range prefixes {
			routes = append(routes, route("h", prefix))
			matches := strings.HasPrefix(path, strings.TrimSuffix(prefix, "/")+"/") || path == prefix
			if matches && len(prefix) > len(longest) {
				longest = prefix
			}
		}
		assert.Equal(t, routing.NewTable(routes).Find("h", "GET", path).GetPathPrefix(), longest)
	})
}

func TestPathOf(t *testing.T) {
	tests := map[string]struct{ target, path string }{
		"as sent":                {"/ads/boost%2F17?x=/y/", "/ads/boost%2F17"},
		"not normalised":         {"//ads/../b/./c", "//ads/../b/./c"},
		"not encoded":            {"/ads/{b}", "/ads/{b}"},
		"absolute form":          {"http://shop.sn:80/ads/7?q", "/ads/7"},
		"absolute, without path": {"http://shop.sn?q=/ads/", "/"},
		"a URL in the path":      {"/go/http://shop.sn/ads/", "/go/http://shop.sn/ads/"},
		"server itself":          {"*", "*"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + test.target + " HTTP/1.1\r\nHost: shop.sn\r\n\r\n")))
			assert.NilError(t, err)
			assert.Equal(t, routing.PathOf(r), test.path)
		})
	}
}
