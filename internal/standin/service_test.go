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
		is.Equal(status(t, client, "k1"), http.StatusConflict) // it runs
		is.Equal(status(t, client, "k2"), http.StatusNotFound)
		time.Sleep(time.Minute)
		is.Equal(s.ByIdentity("k1"), 1)
		is.Equal(status(t, client, "k1"), http.StatusOK)
	})
}

// TestServersShareALedger: symptom: a tip is paid twice and no count shows it.
// Sequence: one call goes to two servers of a service. Cause: each would count
// one execution.
func TestServersShareALedger(t *testing.T) {
	is := is.New(t)
	ledger := NewLedger()
	for range 2 {
		s := NewService(ServiceConfig{Ledger: ledger})
		client := http.Client{Transport: MemoryNetwork{"s": s.Handler()}}
		request, err := http.NewRequest(http.MethodPost, "http://s/tips", strings.NewReader("{}"))
		is.NoErr(err)
		request.Header.Set(HeaderIdentity, "k1")
		response, err := client.Do(request)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
	}
	is.Equal(ledger.Doubled(), []string{"k1"})
	is.Equal(ledger.ByPayload([]byte("{}")), 2)
}

func status(t *testing.T, c http.Client, identity string) int {
	t.Helper()
	response, err := c.Get("http://s" + PathStatus + identity)
	is.New(t).NoErr(err)
	defer response.Body.Close()
	return response.StatusCode
}
