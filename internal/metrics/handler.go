package metrics

import (
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// HandlerConfig configures the handler of a process's metrics port.
type HandlerConfig struct {
	// Metrics are the metrics of each role that the process runs.
	Metrics []*Metrics
	// Ready reports whether the process should receive work; nil means always.
	Ready func() bool
	// Pprof enables profiles of the running process under /debug/pprof/. It is off by
	// default, because profiles may contain data that callers sent.
	Pprof bool
}

// Handler returns a handler that serves /metrics, /healthz, /readyz and, if enabled,
// profiles.
func Handler(c HandlerConfig) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(gatherers(c.Metrics), promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeText(w, http.StatusOK, "alive\n")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if c.Ready != nil && !c.Ready() {
			writeText(w, http.StatusServiceUnavailable, "not ready\n")
			return
		}
		writeText(w, http.StatusOK, "ready\n")
	})
	if c.Pprof {
		serveProfiles(mux)
	}
	return mux
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text)) // the prober may have disconnected
}

// gatherers combines the metrics of the roles with those of the process itself.
func gatherers(roles []*Metrics) prometheus.Gatherers {
	process := prometheus.NewRegistry()
	process.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	all := prometheus.Gatherers{process}
	for _, m := range roles {
		all = append(all, m.registry)
	}
	return all
}

func serveProfiles(mux *http.ServeMux) {
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
}

// Timeouts of the metrics port. A CPU profile may take 30 s.
const (
	headerTimeout = 5 * time.Second
	writeTimeout  = 60 * time.Second
)

// Server returns the HTTP server of a process's metrics port.
func Server(c HandlerConfig) *http.Server {
	return &http.Server{
		Handler:           Handler(c),
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      writeTimeout,
	}
}
