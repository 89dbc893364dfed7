package forwarder

import (
	"io"
	"net/http"
	"strings"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// serverHook is called for each request that reaches the server under test. It returns true if it
// has answered.
type serverHook func(w http.ResponseWriter) bool

// sendKind is a kind of send by which a request reaches the server under test.
type sendKind struct {
	name   string
	path   string
	header map[string]string
	kv     int
	// start adds the servers of a site.
	start func(s *site, hook serverHook)
}

// generation is the header of a request for a generation.
var generation = map[string]string{headerPrompt: "1000", headerOutput: "10"}

// notRun refuses a request without running it.
func notRun(w http.ResponseWriter) {
	w.Header().Set(headerRan, "no")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// generator answers a decode engine's own calls itself, and passes generations to a handler.
func generator(generate http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/reservations") {
			_, _ = io.WriteString(w, `{"reservation":"r"}`)
			return
		}
		generate(w, r)
	}
}

var sendKinds = []sendKind{
	{
		name: "plain calls", path: "/once/",
		start: func(s *site, hook serverHook) {
			s.server("a", "", func(w http.ResponseWriter, _ *http.Request) { hook(w) })
		},
	},
	{
		name: "second sends of plain calls", path: "/safe/",
		start: func(s *site, hook serverHook) {
			s.server("a", "", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
			s.server("b", "", func(w http.ResponseWriter, _ *http.Request) { hook(w) })
		},
	},
	{
		name: "streams", path: "/stream/", header: generation, kv: 1 << 20,
		start: func(s *site, hook serverHook) {
			s.server("a", oriolebend.Decode, generator(func(w http.ResponseWriter, _ *http.Request) {
				if !hook(w) {
					events(w, 1, 2)
				}
			}))
		},
	},
	{
		name: "streams that continue elsewhere", path: "/stream/", header: generation, kv: 1 << 20,
		start: func(s *site, hook serverHook) {
			s.server("a", oriolebend.Decode, generator(func(w http.ResponseWriter, _ *http.Request) {
				events(w, 1, 1)
				abort(nil, nil)
			}))
			s.server("b", oriolebend.Decode, generator(func(w http.ResponseWriter, _ *http.Request) {
				if !hook(w) {
					events(w, 2, 3)
				}
			}))
		},
	},
	{
		name: "separate prefills", path: "/stream/", header: generation, kv: 1 << 20,
		start: func(s *site, hook serverHook) {
			s.server("a", oriolebend.Prefill, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(headerPhase) != "" && !hook(w) {
					_, _ = io.WriteString(w, `{"result":"r","tokens":1000}`)
				}
			})
			s.server("a", oriolebend.Decode, generator(func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2) }))
		},
	},
	{
		name: "second sends to the same server", path: "/stream/", header: generation, kv: 1 << 20,
		start: func(s *site, hook serverHook) {
			s.server("a", oriolebend.Prefill, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, `{"result":"r","tokens":1000}`)
			})
			s.server("a", oriolebend.Decode, generator(func(w http.ResponseWriter, r *http.Request) {
				switch {
				case hook(w):
				case r.Header.Get(headerSource) != "":
					notRun(w) // the prefill result is not available
				default:
					events(w, 1, 2)
				}
			}))
		},
	},
}

// reservations is a kind of send whose call to the engine is not a caller's request.
var reservations = sendKind{
	name: "reservations", path: "/stream/", header: generation, kv: 1 << 20,
	start: func(s *site, hook serverHook) {
		s.server("a", oriolebend.Decode, func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/reservations") && !hook(w) {
				_, _ = io.WriteString(w, `{"reservation":"r"}`)
			}
		})
	},
}
