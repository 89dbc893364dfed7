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

// nobody is an address on which nothing listens. A port that a test gave up
// may be taken by another process.
const nobody = "http://127.0.0.1:1"

// serve serves a stand-in service over loopback and returns a client of it.
func serve(t *testing.T) (*standin.Service, *service.Client) {
	t.Helper()
	stand := standin.NewService(standin.ServiceConfig{Name: "liquidacion"})
	server, err := standin.Serve(stand.Handler())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = server.Close() })
	return stand, service.NewClient(service.Config{BaseURL: server.URL(), MaxBodyBytes: 1 << 10})
}

func TestCallAndStatus(t *testing.T) {
	is := is.New(t)
	stand, client := serve(t)
	got, err := client.Call(t.Context(), tip)
	is.NoErr(err)
	is.Equal(got.Attempt, tip.Attempt)
	is.Equal(got.Status, http.StatusOK)
	var answer standin.ServiceAnswer
	is.NoErr(json.Unmarshal(got.Body, &answer))
	is.Equal(answer.Execution, 1)
	is.Equal(stand.ByPayload(tip.Body), 1)
	query := message.StatusQuery{Attempt: tip.Attempt, Path: "/status/{identity}", Identity: tip.Identity}
	status, err := client.Status(t.Context(), query)
	is.NoErr(err)
	is.Equal(status.Body, got.Body) // the answer of the earlier call
	query.Identity = "never came"
	status, err = client.Status(t.Context(), query)
	is.NoErr(err)
	is.Equal(status.Status, http.StatusNotFound)
	is.Equal(stand.Total(), 1) // asking runs nothing
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
	is.Equal(got.Status, http.StatusTemporaryRedirect) // not followed: that would run it twice
	is.Equal(got.Header["Tab"], "t-118")
	is.Equal(got.Header["Set-Cookie"], "")
	is.Equal(seen.Get("Idempotency-Key"), tip.Identity)
	is.Equal(seen.Get("Content-Type"), "application/json")
	is.Equal(seen.Get("Authorization"), "") // the caller's token is the router's business
}

// TestWhatIsToldOfALostCall: symptom: a tip is paid twice, or a caller is told
// "not run" of one that was paid. Sequence: the connection fails at some
// moment of the call. Cause: only a call that never got a connection certainly
// did not run; nothing may be sent again by itself.
func TestWhatIsToldOfALostCall(t *testing.T) {
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
		{"nobody listens", "", oriolebend.ReasonServerLost, oriolebend.RanNo, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			stand, client := serve(t)
			stand.FailNext(row.fault)
			if row.fault == "" {
				client = service.NewClient(service.Config{BaseURL: nobody})
			}
			_, err := client.Call(t.Context(), tip)
			var typed *service.Error
			is.True(errors.As(err, &typed))
			is.Equal(typed.Reason, row.reason)
			is.Equal(typed.Ran, row.ran)
			is.Equal(stand.ByIdentity(tip.Identity), row.count)
		})
	}
}

// TestKeptConnectionDies: symptom: a tip is paid twice. Sequence: a call ended
// well, its connection is kept, the next call meets the connection's end. Cause:
// net/http sends a request that carries an Idempotency-Key again by itself.
func TestKeptConnectionDies(t *testing.T) {
	is := is.New(t)
	stand, client := serve(t)
	_, err := client.Call(t.Context(), tip)
	is.NoErr(err)
	stand.FailNext(standin.FaultAfter)
	second := tip
	second.Identity = "acme/tips/k2"
	_, err = client.Call(t.Context(), second)
	is.True(err != nil)
	is.Equal(stand.ByIdentity(second.Identity), 1)
	is.Equal(len(stand.Doubled()), 0)
}

func TestBoundsOfACall(t *testing.T) {
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
		{"caller leaves", "/tips", time.Second, hang, oriolebend.ReasonCallerCancelled, oriolebend.RanUnknown},
		{"answer too long", "/tips", time.Hour, long, oriolebend.ReasonOutcomeLost, oriolebend.RanUnknown},
		{"path without a slash", "tips", time.Hour, long, oriolebend.ReasonMalformed, oriolebend.RanNo},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, leave := context.WithCancel(t.Context())
				defer time.AfterFunc(row.within, leave).Stop()
				client := service.NewClient(service.Config{
					BaseURL:      "http://s",
					MaxBodyBytes: 1 << 10,
					Transport:    standin.MemoryNetwork{"s": connected(row.handler)},
				})
				call := tip
				call.Path = row.path
				_, err := client.Call(ctx, call)
				var typed *service.Error
				is.True(errors.As(err, &typed))
				is.Equal(typed.Reason, row.reason)
				is.Equal(typed.Ran, row.ran)
			})
		})
	}
}

// connected begins the answer at once: a MemoryNetwork has no connection that
// a client could see.
func connected(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		h(w, r)
	}
}
