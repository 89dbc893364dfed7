package load

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// fakeRoute answers as a forwarder would, except for one fault.
func fakeRoute(fault string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Host != "plans.example" || r.Header.Get("Authorization") != "Bearer key" || r.Header.Get(headerPrompt) != "10" ||
			r.Header.Get(headerOutput) != "3" || r.Header.Get(headerDeadline) != "2000" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		switch fault {
		case "malformed":
			conn, _, _ := w.(http.Hijacker).Hijack()
			_, _ = io.WriteString(conn, "HTTP/1.1 000 Status\r\nContent-Length: 45\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
			_ = conn.Close()
			return
		case "refused":
			w.Header().Set("Retry-After", "0.050")
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = io.WriteString(w, `{"reason":"quota","ran":"no"}`)
			return
		case "unknown":
			w.WriteHeader(http.StatusBadGateway)
			_, _ = io.WriteString(w, `{"reason":"outcomeLost","ran":"unknown"}`)
			return
		}
		for _, n := range map[string][]int{"": {1, 2, 3}, "repeated": {1, 2, 2, 3}, "left out": {1, 3}, "broken off": {1}}[fault] {
			fmt.Fprintf(w, "id: %d\ndata: part\n\n", n)
			w.(http.Flusher).Flush()
		}
		if fault == "broken off" {
			panic(http.ErrAbortHandler)
		}
	}
}

// TestRouteFaultsShow guards against reports of routes that hide a refusal, a broken stream, or a
// resumed stream that repeats or leaves out an event.
func TestRouteFaultsShow(t *testing.T) {
	for _, c := range []struct {
		fault string
		good  func(all ClassReport) bool
	}{
		{"", func(a ClassReport) bool { return a.Good == 20 }},
		{"refused", func(a ClassReport) bool { return a.Refused == 20 && a.Refusals[oriolebend.ReasonQuota] == 20 }},
		{"unknown", func(a ClassReport) bool { return a.Failed == 20 && a.Failures[oriolebend.ReasonOutcomeLost] == 20 }},
		{"repeated", func(a ClassReport) bool { return a.Damaged == 20 }},
		{"left out", func(a ClassReport) bool { return a.Damaged == 20 }},
		{"malformed", func(a ClassReport) bool { return a.Lost == 20 }},
		{"broken off", func(a ClassReport) bool { return a.Lost == 20 }},
	} {
		t.Run(c.fault, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(fakeRoute(c.fault))
			defer server.Close()
			within := settings.Duration(5 * time.Second)
			d := Description{
				Seed: 1, Entries: []string{server.URL}, Rate: 500, Requests: 20, Tries: 1,
				Organisations: []Organisation{{Name: "o", Token: "key", Share: 1}},
				Classes: []Class{{
					Name: "plan", Kind: KindRoute, Share: 1, Host: "plans.example", Path: "/plans/",
					PromptTokens: Spread{10, 10, 10}, OutputTokens: Spread{3, 3, 3},
					Deadline: settings.Duration(2 * time.Second), FirstWithin: within, BetweenWithin: within,
				}},
			}
			d.fillDefaults()
			is.Equal(len(d.check()), 0)
			report, err := Run(t.Context(), Config{Description: d})
			is.NoErr(err)
			if all := report.All(); !c.good(all) {
				t.Fatalf("%+v\n%v", all, report.Faults)
			}
		})
	}
}
