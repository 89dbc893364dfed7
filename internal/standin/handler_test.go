package standin

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/engine"
)

// TestLongLoadSendsHeartbeats guards against a load of a minute that is treated as a lost
// engine and ordered repeatedly. The engine has no output until the load ends, and without
// empty lines it looks frozen.
func TestLongLoadSendsHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEngine(t, EngineConfig{LoadTime: time.Minute})
		client := engine.NewClient(engine.Config{BaseURL: "http://e", Transport: MemoryNetwork{"e": e.Handler()}})
		is.New(t).NoErr(client.Order(t.Context(), loadOrder))
	})
}

func TestInvalidRequests(t *testing.T) {
	network := MemoryNetwork{"e": NewEngine(EngineConfig{}).Handler()}
	for _, row := range []struct {
		method string
		path   string
		body   string
		want   int
	}{
		{http.MethodPost, engine.PathPrefill, "{", http.StatusBadRequest},
		{http.MethodPost, engine.PathDecode, `{"offset":"one"}`, http.StatusBadRequest},
		{http.MethodPost, engine.PathOrders, "[]", http.StatusBadRequest},
		{http.MethodPost, engine.PathCancel, "", http.StatusBadRequest},
		{http.MethodPost, engine.PathPrefill, `"` + strings.Repeat("x", maxRequestBytes) + `"`, http.StatusRequestEntityTooLarge},
		{http.MethodGet, engine.PathCacheEvents + "?after=-1", "", http.StatusBadRequest},
		{http.MethodGet, engine.PathPrefill, "", http.StatusMethodNotAllowed},
		{http.MethodGet, engine.PathKV + "none", "", http.StatusGone},
		{http.MethodGet, "/", "", http.StatusNotFound},
	} {
		is := is.New(t)
		request, err := http.NewRequestWithContext(t.Context(), row.method, "http://e"+row.path, strings.NewReader(row.body))
		is.NoErr(err)
		response, err := network.RoundTrip(request)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, row.want) // status of the row
	}
}
