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

// TestExecutionOutlivesCaller guards against a "not run" report for a call that ran, when
// the caller disconnects while the call is executed. A service does not notice that its
// callers have disconnected.
func TestExecutionOutlivesCaller(t *testing.T) {
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
		is.Equal(callStatus(t, client, "k1"), http.StatusConflict) // still running
		is.Equal(callStatus(t, client, "k2"), http.StatusNotFound)
		time.Sleep(time.Minute)
		is.Equal(s.ByIdentity("k1"), 1)
		is.Equal(callStatus(t, client, "k1"), http.StatusOK)
	})
}

// TestServersShareLedger guards against a tip that is paid twice without any count that
// shows it. If one call is sent to two servers of a service with separate ledgers, each
// server counts one execution.
func TestServersShareLedger(t *testing.T) {
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

func callStatus(t *testing.T, c http.Client, identity string) int {
	t.Helper()
	response, err := c.Get("http://s" + PathStatus + identity)
	is.New(t).NoErr(err)
	defer response.Body.Close()
	return response.StatusCode
}
