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

// clientOf returns a client of a handler, without a socket.
func clientOf(h http.HandlerFunc) *engine.Client {
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

// TestDecodeOfGarbage: symptom: a caller gets damaged output, or waits for
// ever. Sequence: the engine answers what the protocol does not allow. Cause:
// a faulty engine, or something else that listens on its port.
func TestDecodeOfGarbage(t *testing.T) {
	part := `{"part":{"offset":4,"tokens":2,"text":" a b"}}` + "\n"
	last := `{"part":{"offset":6,"tokens":1,"text":" c","finish":"stop"}}` + "\n"
	for _, row := range []struct {
		name   string
		status int
		body   string
		want   oriolebend.Reason // empty if the decode succeeds
	}{
		{"whole", 200, part + "\n" + last, ""},
		{"behind the end", 200, part + last + "garbage", ""},
		{"not JSON", 200, "<html>", oriolebend.ReasonEngineFailed},
		{"JSON of another kind", 200, "[1]\n", oriolebend.ReasonEngineFailed},
		{"nothing", 200, "", oriolebend.ReasonServerLost},
		{"no end", 200, part, oriolebend.ReasonServerLost},
		{"cut line", 200, part + last[:20], oriolebend.ReasonEngineFailed},
		{"repeat", 200, part + part, oriolebend.ReasonEngineFailed},
		{"gap", 200, last, oriolebend.ReasonEngineFailed},
		{"negative length", 200, `{"part":{"offset":4,"tokens":-1}}`, oriolebend.ReasonEngineFailed},
		{"overlong line", 200, strings.Repeat(" ", 2<<10) + part, oriolebend.ReasonEngineFailed},
		{"line of a prefill", 200, `{"result":{}}`, oriolebend.ReasonEngineFailed},
		{"typed failure", 200, part + `{"error":{"reason":"noMemory"}}`, oriolebend.ReasonNoMemory},
		{"reason that is none of an engine's", 200, `{"error":{"reason":"unauthorized"}}`, oriolebend.ReasonEngineFailed},
		{"typed refusal", 410, `{"reason":"resultExpired"}`, oriolebend.ReasonResultExpired},
		{"refusal in HTML", 500, "<html>", oriolebend.ReasonEngineFailed},
		{"redirect", 302, "", oriolebend.ReasonEngineFailed},
	} {
		t.Run(row.name, func(t *testing.T) {
			client := clientOf(func(w http.ResponseWriter, _ *http.Request) {
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

func TestShortCallsOfGarbage(t *testing.T) {
	for _, row := range []struct {
		name string
		body string
		want oriolebend.Reason
	}{
		{"not JSON", "<html>", oriolebend.ReasonEngineFailed},
		{"over the bound", `"` + strings.Repeat("x", 2<<10) + `"`, oriolebend.ReasonEngineFailed},
	} {
		t.Run(row.name, func(t *testing.T) {
			client := clientOf(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, row.body) })
			_, err := client.Info(t.Context())
			is.New(t).Equal(reasonOf(t, err), row.want)
		})
	}
}

// TestSilentEngine: symptom: a request hangs although its engine is gone.
// Sequence: the engine accepts the connection and then brings nothing. Cause: a
// frozen process keeps its connections open. Empty lines show that it lives.
func TestSilentEngine(t *testing.T) {
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
				is.Equal(reasonOf(t, call(t.Context(), clientOf(hang))), oriolebend.ReasonServerLost)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				is.Equal(reasonOf(t, call(ctx, clientOf(hang))), oriolebend.ReasonDeadline) // the caller's own bound
			})
		})
	}
}

func TestEmptyLinesKeepACallAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := clientOf(func(w http.ResponseWriter, _ *http.Request) {
			for range 60 {
				time.Sleep(time.Second)
				_, _ = io.WriteString(w, "\n")
			}
			_, _ = io.WriteString(w, `{"done":true}`)
		})
		is.New(t).NoErr(client.Order(t.Context(), engine.Order{}))
	})
}

func TestNobodyListens(t *testing.T) {
	// Port 1 is never given to a process that asks for any free port.
	client := engine.NewClient(engine.Config{BaseURL: "http://127.0.0.1:1"})
	_, err := client.Info(t.Context())
	is.New(t).Equal(reasonOf(t, err), oriolebend.ReasonServerLost)
}
