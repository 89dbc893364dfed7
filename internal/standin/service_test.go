package standin

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestExecutionOutlivesItsCaller: symptom: a caller that left is told "not run"
// of a call that ran. Sequence: the caller leaves while the call is executed.
// Cause: a service knows nothing of its callers' connections.
func TestExecutionOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewService(ServiceConfig{Delay: time.Minute})
		client := http.Client{Transport: MemoryNetwork{"s": s.Handler()}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://s/arrivals", strings.NewReader("{}"))
		is.NoErr(err)
		request.Header.Set(HeaderIdentity, "k1")
		_, err = client.Do(request)
		is.True(err != nil)
		is.Equal(status(t, client, "k1"), http.StatusAccepted) // it runs
		is.Equal(status(t, client, "k2"), http.StatusNotFound)
		time.Sleep(time.Minute)
		is.Equal(s.ByIdentity("k1"), 1)
		is.Equal(status(t, client, "k1"), http.StatusOK)
	})
}

func status(t *testing.T, c http.Client, identity string) int {
	t.Helper()
	response, err := c.Get("http://s" + PathStatus + identity)
	is.New(t).NoErr(err)
	defer response.Body.Close()
	return response.StatusCode
}
