package outbound_test

import (
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/internal/standin"
)

// TestPaymentBesideRepeatableRoute guards against a payment that runs twice because a route for repeatable
// requests below its path is taken for its own.
func TestPaymentBesideRepeatableRoute(t *testing.T) {
	tests := map[string]struct {
		path   string
		status int
		runs   int
	}{
		"the route's prefix without its last slash":   {"/pay/boost", http.StatusBadGateway, 1},
		"an encoded slash":                            {"/pay/boost%2F17", http.StatusBadGateway, 1},
		"an encoded slash at the end":                 {"/pay/boost%2f", http.StatusBadGateway, 1},
		"a path of the repeatable route":              {"/pay/boost/17", http.StatusBadGateway, 2},
		"the prefix of a route with no shorter one":   {"/other", http.StatusNotFound, 0},
		"an encoded slash behind such a route's name": {"/other%2F1", http.StatusNotFound, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t, "a", "b")
			repeatable := func(prefix string) *slatewindv1.Route {
				return &slatewindv1.Route{
					Name: prefix, Host: "h.example", PathPrefix: prefix, Kind: string(slatewind.KindRepeatable), Service: "svc", Attempts: 2,
					Timeout: durationpb.New(2 * time.Second),
				}
			}
			m.publish(2, repeatable("/pay/boost/"), repeatable("/other/"))
			m.setAll(standin.StampedLost)
			assert.Equal(t, m.send(http.MethodPost, test.path, "id", "", time.Second).status, test.status)
			assert.Equal(t, m.runs("id"), test.runs)
		})
	}
}
