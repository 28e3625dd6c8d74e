package daemon

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/platform"
	"slatewind.example/slatewind/ratelimit"
)

// Keys of the workspaces in these tests. None of them may appear in any output. secretPrefix is the
// prefix of all of them.
const (
	sellersKey   = "secret-sellers-1"
	rotatedKey   = "secret-sellers-2"
	buyersKey    = "secret-buyers-1"
	unknownKey   = "secret-nobody-1"
	secretPrefix = "secret-"
)

// publishKeys publishes settings whose workspaces have the given keys, by name of workspace. The
// route "look" is public.
func (f *nodes) publishKeys(version uint64, keys map[string][]string, workspaces ...*slatewindv1.Workspace) {
	public := nodeRoute("look", slatewind.KindRepeatable)
	public.Public = true
	value, err := platform.EncodeConfig(slatewind.PublishedSettings{Version: version, Fleet: &slatewindv1.Fleet{
		Services:     []*slatewindv1.Service{{Name: "svc"}},
		Routes:       []*slatewindv1.Route{nodeRoute("pay", slatewind.KindSingle), public},
		KeysRequired: true, Workspaces: workspaces,
	}}, keys)
	assert.NilError(f.t, err)
	f.store.Put(platform.ConfigKey, value)
}

// awaitVersion waits until all nodes have a version of the settings in force.
func (f *nodes) awaitVersion(version uint64) {
	f.await(fmt.Sprint("version ", version), func() bool {
		for _, n := range f.nodes {
			if n.store.Version().Revision < version {
				return false
			}
		}
		return true
	})
}

// sendWith sends a request with header fields to a node and returns the status, the body and the
// Retry-After field of the answer.
func (f *nodes) sendWith(i int, path, id string, header http.Header) (status int, answer string, retryAfter string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+f.address(i, 8000)+path, bytes.NewReader([]byte("b")))
	assert.NilError(f.t, err)
	r.Host = "h.example"
	r.Header = header.Clone()
	if r.Header == nil {
		r.Header = http.Header{}
	}
	r.Header.Set(platform.Callers().RequestID, id)
	r.Header.Set(platform.Callers().Deadline, "8000")
	response, err := http.DefaultClient.Do(r)
	assert.NilError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	assert.NilError(f.t, err)
	return response.StatusCode, string(text), response.Header.Get("Retry-After")
}

// withKey returns the header fields of a caller with a key.
func withKey(key string) http.Header {
	return http.Header{platform.Callers().Key: {key}}
}

// received returns the header fields that a server received with a request, or nil if none did.
func (f *nodes) received(id string) http.Header {
	for _, server := range f.servers {
		if h := server.Headers(id); h != nil {
			return h
		}
	}
	return nil
}

// twoWorkspaces returns the workspaces that have sellersKey and buyersKey.
func twoWorkspaces() []*slatewindv1.Workspace {
	return []*slatewindv1.Workspace{{Name: "sellers", Rank: 1}, {Name: "buyers"}}
}

var twoKeys = map[string][]string{"sellers": {sellersKey}, "buyers": {buyersKey}}

// TestWorkspaceIsTold checks that servers get the name of the workspace that the key belongs to, and
// neither the key nor a name that the caller states, whichever node receives the request.
func TestWorkspaceIsTold(t *testing.T) {
	f := newNodes(t, 2)
	f.publishKeys(2, twoKeys, twoWorkspaces()...)
	f.awaitVersion(2)
	dialect := platform.Callers()
	claimed := withKey(sellersKey)
	claimed[dialect.Workspace] = []string{"buyers", "others"}
	tests := map[string]struct {
		path      string
		header    http.Header
		status    int
		workspace string
	}{
		"a key":                         {path: "/pay/1", header: withKey(sellersKey), status: http.StatusOK, workspace: "sellers"},
		"another name is claimed":       {path: "/pay/1", header: claimed, status: http.StatusOK, workspace: "sellers"},
		"another workspace":             {path: "/pay/1", header: withKey(buyersKey), status: http.StatusOK, workspace: "buyers"},
		"no key":                        {path: "/pay/1", status: http.StatusUnauthorized},
		"a name without a key":          {path: "/pay/1", header: http.Header{dialect.Workspace: {"sellers"}}, status: http.StatusUnauthorized},
		"an unknown key":                {path: "/pay/1", header: withKey(unknownKey), status: http.StatusUnauthorized},
		"two keys":                      {path: "/pay/1", header: http.Header{dialect.Key: {sellersKey, buyersKey}}, status: http.StatusUnauthorized},
		"public":                        {path: "/look/1", status: http.StatusOK},
		"public, a name without a key":  {path: "/look/1", header: http.Header{dialect.Workspace: {"sellers"}}, status: http.StatusOK},
		"public, with a key":            {path: "/look/1", header: withKey(sellersKey), status: http.StatusOK, workspace: "sellers"},
		"public, with an unknown key":   {path: "/look/1", header: withKey(unknownKey), status: http.StatusOK},
		"the key is named hop by hop":   {path: "/pay/1", header: http.Header{dialect.Key: {sellersKey}, "Connection": {dialect.Key}}, status: http.StatusOK, workspace: "sellers"},
		"the name is named hop by hop":  {path: "/pay/1", header: http.Header{dialect.Key: {sellersKey}, "Connection": {dialect.Workspace}}, status: http.StatusOK, workspace: "sellers"},
		"a path for which no route is":  {path: "/none/1", header: withKey(sellersKey), status: http.StatusNotFound},
		"a path for which none is, bad": {path: "/none/1", header: withKey(unknownKey), status: http.StatusNotFound},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for i := range f.nodes {
				id := fmt.Sprintf("%s-%d", strings.ReplaceAll(name, " ", "-"), i)
				status, answer, _ := f.sendWith(i, test.path, id, test.header)
				assert.Equal(t, status, test.status, answer)
				assert.Assert(t, !strings.Contains(answer, secretPrefix), "a key is in the answer")
				got := f.received(id)
				assert.Equal(t, got != nil, test.status == http.StatusOK)
				assert.Equal(t, len(got.Values(dialect.Key)), 0, "the server got a key")
				if test.workspace == "" {
					assert.Equal(t, len(got.Values(dialect.Workspace)), 0)
					continue
				}
				assert.DeepEqual(t, got.Values(dialect.Workspace), []string{test.workspace})
			}
		})
	}
	f.assertNoKeys()
}

// assertNoKeys fails the test if a key appears in the settings, the journal or a page of the admin
// address of a node.
func (f *nodes) assertNoKeys() {
	f.t.Helper()
	for i, n := range f.nodes {
		output := fmt.Sprintf("%+v %+v", n.store.Current().Fleet, n.history.Find(history.Filter{}))
		for _, path := range []string{"/state", "/settings", "/metrics", "/journal"} {
			response, err := http.Get("http://" + f.address(i, 8002) + path)
			assert.NilError(f.t, err)
			text, err := io.ReadAll(response.Body)
			assert.NilError(f.t, err)
			_ = response.Body.Close()
			assert.Equal(f.t, response.StatusCode, http.StatusOK, path)
			output += string(text)
		}
		assert.Assert(f.t, len(output) > 0)
		assert.Assert(f.t, !strings.Contains(output, secretPrefix), "node %d exposes a key", i)
	}
}

// TestKeyIsRotated checks that a key can be replaced without a refused request, by way of settings
// with both keys, and that all nodes refuse the old key once the settings without it are in force.
func TestKeyIsRotated(t *testing.T) {
	f := newNodes(t, 3)
	keys := func(own ...string) map[string][]string {
		return map[string][]string{"sellers": own, "buyers": {buyersKey}}
	}
	f.publishKeys(2, keys(sellersKey), twoWorkspaces()...)
	f.awaitVersion(2)
	f.publishKeys(3, keys(sellersKey, rotatedKey), twoWorkspaces()...)
	for n, i := 0, 0; n < 3*len(f.nodes); i++ {
		node := i % len(f.nodes)
		status, answer, _ := f.sendWith(node, "/pay/1", fmt.Sprint("old-", i), withKey(sellersKey))
		assert.Equal(t, status, http.StatusOK, answer)
		if f.nodes[node].store.Version().Revision == 3 {
			status, answer, _ = f.sendWith(node, "/pay/1", fmt.Sprint("new-", i), withKey(rotatedKey))
			assert.Equal(t, status, http.StatusOK, answer)
			n++
		}
	}
	f.publishKeys(4, keys(rotatedKey), twoWorkspaces()...)
	f.awaitVersion(4)
	for i := range f.nodes {
		status, _, _ := f.sendWith(i, "/pay/1", fmt.Sprint("late-", i), withKey(sellersKey))
		assert.Equal(t, status, http.StatusUnauthorized)
		status, _, _ = f.sendWith(i, "/pay/1", fmt.Sprint("now-", i), withKey(rotatedKey))
		assert.Equal(t, status, http.StatusOK)
	}
	f.publishKeys(5, keys(), twoWorkspaces()...)
	f.awaitVersion(5)
	status, _, _ := f.sendWith(0, "/pay/1", "none", withKey(rotatedKey))
	assert.Equal(t, status, http.StatusUnauthorized, "the workspace has no key any more")
	f.assertNoKeys()
}

// TestLimitOfWorkspace checks that all nodes together enforce one limit, that refused requests have
// a Retry-After field, reach no server and are in the journal, that a lower limit applies once it is
// in force, and that other workspaces are not limited.
func TestLimitOfWorkspace(t *testing.T) {
	f := newNodes(t, 3)
	f.publishKeys(2, twoKeys, &slatewindv1.Workspace{Name: "sellers", Rate: 20, Burst: 20}, &slatewindv1.Workspace{Name: "buyers"})
	f.awaitVersion(2)
	flood := func(prefix string, n int) (served, over int) {
		for i := range n {
			id := fmt.Sprint(prefix, i)
			status, answer, after := f.sendWith(i%3, "/pay/1", id, withKey(sellersKey))
			switch status {
			case http.StatusOK:
				served++
			case http.StatusTooManyRequests:
				over++
				assert.Assert(t, after != "" && after != "0.00", after)
				assert.Equal(t, f.runs(id), 0)
			default:
				t.Fatal(status, answer)
			}
		}
		return served, over
	}
	began := time.Now()
	served, over := flood("first-", 300)
	most := 20 + 20*time.Since(began).Seconds() + 3
	assert.Assert(t, float64(served) <= most, "%d served in %v", served, time.Since(began))
	assert.Assert(t, served >= 1 && over > 0)
	status, answer, _ := f.sendWith(0, "/pay/1", "buyers", withKey(buyersKey))
	assert.Equal(t, status, http.StatusOK, answer)

	f.publishKeys(3, twoKeys, &slatewindv1.Workspace{Name: "sellers", Rate: 1, Burst: 1}, &slatewindv1.Workspace{Name: "buyers"})
	f.awaitVersion(3)
	began = time.Now()
	served, _ = flood("second-", 300)
	assert.Assert(t, float64(served) <= 1+time.Since(began).Seconds()+1, "%d served in %v", served, time.Since(began))

	uses, refusals := 0, 0
	for _, n := range f.nodes {
		uses += len(n.limiter.Uses(time.Now()))
		for _, d := range n.history.Find(history.Filter{}) {
			if d.Reason == ratelimit.ReasonOverLimit && strings.Contains(d.Evidence, "workspace=sellers rate=") {
				refusals++
			}
		}
	}
	assert.Assert(t, uses > 0, "some node shows the use of the limit")
	assert.Assert(t, refusals > 0, "a refusal is in the journal")
	f.assertNoKeys()
}
