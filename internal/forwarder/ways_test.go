package forwarder

import (
	"io"
	"net/http"
	"strings"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// needy is called for each request that reaches a server in need. True means that it has
// answered.
type needy func(w http.ResponseWriter) bool

// way is a way by which a request reaches a server in need.
type way struct {
	name   string
	path   string
	header map[string]string
	kv     int
	// start adds the servers of a site.
	start func(s *site, n needy)
}

// generation is the header of a request for a generation.
var generation = map[string]string{ownPrompt: "1000", ownOutput: "10"}

// notRun refuses a request without running it.
func notRun(w http.ResponseWriter) {
	w.Header().Set(ownRan, "no")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// generator answers a decode engine's own calls, and generations by a handler.
func generator(generate http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/reservations") {
			_, _ = io.WriteString(w, `{"reservation":"r"}`)
			return
		}
		generate(w, r)
	}
}

var ways = []way{
	{
		name: "plain calls", path: "/once/",
		start: func(s *site, n needy) {
			s.server("a", "", func(w http.ResponseWriter, _ *http.Request) { n(w) })
		},
	},
	{
		name: "second sendings of plain calls", path: "/safe/",
		start: func(s *site, n needy) {
			s.server("a", "", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
			s.server("b", "", func(w http.ResponseWriter, _ *http.Request) { n(w) })
		},
	},
	{
		name: "streams", path: "/stream/", header: generation, kv: 1 << 20,
		start: func(s *site, n needy) {
			s.server("a", oriolebend.Decode, generator(func(w http.ResponseWriter, _ *http.Request) {
				if !n(w) {
					events(w, 1, 2)
				}
			}))
		},
	},
	{
		name: "streams that go on elsewhere", path: "/stream/", header: generation, kv: 1 << 20,
		start: func(s *site, n needy) {
			s.server("a", oriolebend.Decode, generator(func(w http.ResponseWriter, _ *http.Request) {
				events(w, 1, 1)
				abort(nil, nil)
			}))
			s.server("b", oriolebend.Decode, generator(func(w http.ResponseWriter, _ *http.Request) {
				if !n(w) {
					events(w, 2, 3)
				}
			}))
		},
	},
	{
		name: "prompts read apart", path: "/stream/", header: generation, kv: 1 << 20,
		start: func(s *site, n needy) {
			s.server("a", oriolebend.Prefill, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(ownPhase) != "" && !n(w) {
					_, _ = io.WriteString(w, `{"result":"r","tokens":1000}`)
				}
			})
			s.server("a", oriolebend.Decode, generator(func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2) }))
		},
	},
	{
		name: "second sendings to the same server", path: "/stream/", header: generation, kv: 1 << 20,
		start: func(s *site, n needy) {
			s.server("a", oriolebend.Prefill, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, `{"result":"r","tokens":1000}`)
			})
			s.server("a", oriolebend.Decode, generator(func(w http.ResponseWriter, r *http.Request) {
				switch {
				case n(w):
				case r.Header.Get(ownSource) != "":
					notRun(w) // the result can't be had
				default:
					events(w, 1, 2)
				}
			}))
		},
	},
}

// reservations are a way by which a call reaches an engine that is not a caller's request.
var reservations = way{
	name: "reservations", path: "/stream/", header: generation, kv: 1 << 20,
	start: func(s *site, n needy) {
		s.server("a", oriolebend.Decode, func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/reservations") && !n(w) {
				_, _ = io.WriteString(w, `{"reservation":"r"}`)
			}
		})
	},
}
