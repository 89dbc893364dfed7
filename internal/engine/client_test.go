package engine_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/standin"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// newHandlerClient returns a client that calls a handler without a socket.
func newHandlerClient(h http.HandlerFunc) *engine.Client {
	return engine.NewClient(engine.Config{
		BaseURL:      "http://engine",
		MaxLineBytes: 1 << 10,
		MaxBodyBytes: 1 << 10,
		Transport:    standin.MemoryNetwork{"engine": h},
	})
}

func reasonOf(t *testing.T, err error) oriolebend.Reason {
	t.Helper()
	var typed *engine.Error
	if !errors.As(err, &typed) {
		t.Fatalf("error is %v, want an *engine.Error", err)
	}
	return typed.Reason
}

// TestDecodeRejectsInvalidStream guards against damaged output, and against a caller
// that waits forever, when the response violates the protocol. A faulty engine, or
// another process that listens on its port, sends such responses.
func TestDecodeRejectsInvalidStream(t *testing.T) {
	part := `{"part":{"offset":4,"tokens":2,"text":" a b"}}` + "\n"
	last := `{"part":{"offset":6,"tokens":1,"text":" c","finish":"stop"}}` + "\n"
	for _, row := range []struct {
		name   string
		status int
		body   string
		want   oriolebend.Reason // empty if the decode must succeed
	}{
		{"complete", 200, part + "\n" + last, ""},
		{"data after the last part", 200, part + last + "garbage", ""},
		{"not JSON", 200, "<html>", oriolebend.ReasonEngineFailed},
		{"JSON of another kind", 200, "[1]\n", oriolebend.ReasonEngineFailed},
		{"empty body", 200, "", oriolebend.ReasonServerLost},
		{"no last part", 200, part, oriolebend.ReasonServerLost},
		{"truncated line", 200, part + last[:20], oriolebend.ReasonEngineFailed},
		{"repeated part", 200, part + part, oriolebend.ReasonEngineFailed},
		{"gap", 200, last, oriolebend.ReasonEngineFailed},
		{"negative length", 200, `{"part":{"offset":4,"tokens":-1}}`, oriolebend.ReasonEngineFailed},
		{"overlong line", 200, strings.Repeat(" ", 2<<10) + part, oriolebend.ReasonEngineFailed},
		{"line of a prefill response", 200, `{"result":{}}`, oriolebend.ReasonEngineFailed},
		{"typed failure", 200, part + `{"error":{"reason":"noMemory"}}`, oriolebend.ReasonNoMemory},
		{"reason that engines do not report", 200, `{"error":{"reason":"unauthorized"}}`, oriolebend.ReasonEngineFailed},
		{"typed refusal", 410, `{"reason":"resultExpired"}`, oriolebend.ReasonResultExpired},
		{"refusal in HTML", 500, "<html>", oriolebend.ReasonEngineFailed},
		{"redirect", 302, "", oriolebend.ReasonEngineFailed},
	} {
		t.Run(row.name, func(t *testing.T) {
			client := newHandlerClient(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(row.status)
				_, _ = io.WriteString(w, row.body)
			})
			err := client.Decode(t.Context(), engine.DecodeRequest{Offset: 4}, func(message.Part) error { return nil })
			is := is.New(t)
			if row.want == "" {
				is.NoErr(err)
				return
			}
			is.Equal(reasonOf(t, err), row.want)
		})
	}
}

func TestShortCallRejectsInvalidBody(t *testing.T) {
	for _, row := range []struct {
		name string
		body string
		want oriolebend.Reason
	}{
		{"not JSON", "<html>", oriolebend.ReasonEngineFailed},
		{"over the bound", `"` + strings.Repeat("x", 2<<10) + `"`, oriolebend.ReasonEngineFailed},
	} {
		t.Run(row.name, func(t *testing.T) {
			client := newHandlerClient(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, row.body) })
			_, err := client.Info(t.Context())
			is.New(t).Equal(reasonOf(t, err), row.want)
		})
	}
}

// TestUnresponsiveEngine guards against a request that hangs because its engine
// accepts the connection and then sends nothing. A frozen process keeps its
// connections open; only lines, which may be empty, show that it is alive.
func TestUnresponsiveEngine(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	calls := map[string]func(context.Context, *engine.Client) error{
		"prefill": func(ctx context.Context, c *engine.Client) error {
			_, err := c.Prefill(ctx, engine.PrefillRequest{})
			return err
		},
		"cancel": func(ctx context.Context, c *engine.Client) error { return c.Cancel(ctx, message.Attempt{}) },
		"load": func(ctx context.Context, c *engine.Client) error {
			_, err := c.Load(ctx)
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				is.Equal(reasonOf(t, call(t.Context(), newHandlerClient(hang))), oriolebend.ReasonServerLost)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				is.Equal(reasonOf(t, call(ctx, newHandlerClient(hang))), oriolebend.ReasonDeadline) // the caller's own deadline
			})
		})
	}
}

func TestEmptyLinesKeepACallAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newHandlerClient(func(w http.ResponseWriter, _ *http.Request) {
			for range 60 {
				time.Sleep(time.Second)
				_, _ = io.WriteString(w, "\n")
			}
			_, _ = io.WriteString(w, `{"done":true}`)
		})
		is.New(t).NoErr(client.Order(t.Context(), engine.Order{}))
	})
}

func TestConnectionRefused(t *testing.T) {
	// The system never assigns port 1 to a process that requests any free port.
	client := engine.NewClient(engine.Config{BaseURL: "http://127.0.0.1:1"})
	_, err := client.Info(t.Context())
	is.New(t).Equal(reasonOf(t, err), oriolebend.ReasonServerLost)
}
