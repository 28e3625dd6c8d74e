package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/platform"
)

// watch requests the changes of a store after a revision.
func watch(t *testing.T, store *Platform, after uint64) (status int, era string, keys []string) {
	t.Helper()
	r := httptest.NewRequest(http.MethodGet, fmt.Sprintf("%s?%s=%d&%s=0", platform.PathWatch, platform.ParamAfter, after, platform.ParamWait), nil)
	w := httptest.NewRecorder()
	store.Handler().ServeHTTP(w, r)
	var answer platform.Answer
	if w.Code == http.StatusOK {
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &answer))
	}
	for _, event := range answer.Events {
		keys = append(keys, event.Key)
	}
	return w.Code, w.Header().Get(platform.HeaderEra), keys
}

// TestRestore checks that a restored store lacks the writes after the copy, assigns their
// revisions again, and sends the next era, in error responses too.
func TestRestore(t *testing.T) {
	store := NewPlatform()
	store.Put("a", nil)
	backup := store.Copy()
	store.Put("b", nil)
	store.Put("c", nil)
	store.Restore(backup)
	assert.Equal(t, store.Revision(), slatewind.Revision{Era: 1, Number: 1})

	status, era, _ := watch(t, store, 3)
	assert.Equal(t, status, http.StatusGone)
	assert.Equal(t, era, "1")

	assert.Equal(t, store.Put("d", nil), uint64(2))
	status, _, keys := watch(t, store, 1)
	assert.Equal(t, status, http.StatusOK)
	assert.DeepEqual(t, keys, []string{"d"})

	store.SetMode(PlatformDown)
	status, era, _ = watch(t, store, 1)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, era, "1")
}
