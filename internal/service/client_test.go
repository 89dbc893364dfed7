package service_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/service"
	"github.com/oriolebend/oriolebend/internal/standin"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

var tip = message.Call{
	Attempt:  message.Attempt{RequestID: "r", Number: 1},
	Method:   http.MethodPost,
	Path:     "/tips",
	Header:   map[string]string{"Content-Type": "application/json", "Authorization": "secret", "Connection": "close"},
	Body:     []byte(`{"tab":"t-118","tip":8000}`),
	Identity: "acme/tips/k1",
}

// unusedURL is an address on which no process listens. A port that a test has closed
// may be in use by another process.
const unusedURL = "http://127.0.0.1:1"

// serve runs a fake service on loopback and returns it with a client of it.
func serve(t *testing.T) (*standin.Service, *service.Client) {
	t.Helper()
	fake := standin.NewService(standin.ServiceConfig{Name: "liquidacion"})
	server, err := standin.Serve(fake.Handler())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = server.Close() })
	return fake, service.NewClient(service.Config{BaseURL: server.URL(), MaxBodyBytes: 1 << 10})
}

func TestCallAndStatus(t *testing.T) {
	is := is.New(t)
	fake, client := serve(t)
	got, err := client.Call(t.Context(), tip)
	is.NoErr(err)
	is.Equal(got.Attempt, tip.Attempt)
	is.Equal(got.Status, http.StatusOK)
	var answer standin.ServiceAnswer
	is.NoErr(json.Unmarshal(got.Body, &answer))
	is.Equal(answer.Execution, 1)
	is.Equal(fake.ByPayload(tip.Body), 1)
	query := message.StatusQuery{Attempt: tip.Attempt, Path: "/status/{identity}", Identity: tip.Identity}
	status, err := client.Status(t.Context(), query)
	is.NoErr(err)
	is.Equal(status.Body, got.Body) // the answer of the earlier call
	query.Identity = "never sent"
	status, err = client.Status(t.Context(), query)
	is.NoErr(err)
	is.Equal(status.Status, http.StatusNotFound)
	is.Equal(fake.Total(), 1) // a status query runs nothing
}

func TestHeaders(t *testing.T) {
	is := is.New(t)
	var seen http.Header
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header
		w.Header().Set("Set-Cookie", "session=1")
		w.Header().Set("Tab", "t-118")
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(http.StatusTemporaryRedirect)
	})
	client := service.NewClient(service.Config{BaseURL: "http://s", Transport: standin.MemoryNetwork{"s": handler}})
	got, err := client.Call(t.Context(), tip)
	is.NoErr(err)
	is.Equal(got.Status, http.StatusTemporaryRedirect) // not followed: that would run the call twice
	is.Equal(got.Header["Tab"], "t-118")
	is.Equal(got.Header["Set-Cookie"], "")
	is.Equal(seen.Get("Idempotency-Key"), tip.Identity)
	is.Equal(seen.Get("Content-Type"), "application/json")
	is.Equal(seen.Get("Authorization"), "") // the caller's token is for the router only
}

// Guards against a tip that is paid twice, or that is reported as not run although it
// was paid, when the connection fails during the call. Only a call that never had a
// connection certainly did not run, and the client must not resend a call.
func TestRanOfAFailedCall(t *testing.T) {
	for _, row := range []struct {
		name   string
		fault  standin.Fault
		reason oriolebend.Reason
		ran    oriolebend.Ran
		count  int
	}{
		{"lost before the execution", standin.FaultBefore, oriolebend.ReasonOutcomeLost, oriolebend.RanUnknown, 0},
		{"lost after the execution", standin.FaultAfter, oriolebend.ReasonOutcomeLost, oriolebend.RanUnknown, 1},
		{"lost in the answer", standin.FaultHalf, oriolebend.ReasonOutcomeLost, oriolebend.RanUnknown, 1},
		{"connection refused", "", oriolebend.ReasonServerLost, oriolebend.RanNo, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			fake, client := serve(t)
			fake.FailNext(row.fault)
			if row.fault == "" {
				client = service.NewClient(service.Config{BaseURL: unusedURL})
			}
			_, err := client.Call(t.Context(), tip)
			var serviceErr *service.Error
			is.True(errors.As(err, &serviceErr))
			is.Equal(serviceErr.Reason, row.reason)
			is.Equal(serviceErr.Ran, row.ran)
			is.Equal(fake.ByIdentity(tip.Identity), row.count)
		})
	}
}

// Guards against a tip that is paid twice: net/http keeps the connection of a successful
// call, the connection ends during the next call, and net/http resends that call because
// it has an Idempotency-Key.
func TestReusedConnectionEnds(t *testing.T) {
	is := is.New(t)
	fake, client := serve(t)
	_, err := client.Call(t.Context(), tip)
	is.NoErr(err)
	fake.FailNext(standin.FaultAfter)
	second := tip
	second.Identity = "acme/tips/k2"
	_, err = client.Call(t.Context(), second)
	is.True(err != nil)
	is.Equal(fake.ByIdentity(second.Identity), 1)
	is.Equal(len(fake.Doubled()), 0)
}

func TestLimitsOfACall(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	long := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, strings.Repeat("x", 2<<10)) }
	for _, row := range []struct {
		name    string
		path    string
		within  time.Duration
		handler http.HandlerFunc
		reason  oriolebend.Reason
		ran     oriolebend.Ran
	}{
		{"too slow", "/tips", time.Hour, hang, oriolebend.ReasonDeadline, oriolebend.RanUnknown},
		{"caller cancels", "/tips", time.Second, hang, oriolebend.ReasonCallerCancelled, oriolebend.RanUnknown},
		{"answer too long", "/tips", time.Hour, long, oriolebend.ReasonOutcomeLost, oriolebend.RanUnknown},
		{"path without a slash", "tips", time.Hour, long, oriolebend.ReasonMalformed, oriolebend.RanNo},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer time.AfterFunc(row.within, cancel).Stop()
				client := service.NewClient(service.Config{
					BaseURL:      "http://s",
					MaxBodyBytes: 1 << 10,
					Transport:    standin.MemoryNetwork{"s": withEarlyHead(row.handler)},
				})
				call := tip
				call.Path = row.path
				_, err := client.Call(ctx, call)
				var serviceErr *service.Error
				is.True(errors.As(err, &serviceErr))
				is.Equal(serviceErr.Reason, row.reason)
				is.Equal(serviceErr.Ran, row.ran)
			})
		})
	}
}

// withEarlyHead writes the head of the answer before h runs: a MemoryNetwork reports no
// connection to the client, which would take an earlier failure for a failed connect.
func withEarlyHead(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		h(w, r)
	}
}
