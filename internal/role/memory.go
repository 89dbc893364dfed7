package role

import (
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/oriolebend/oriolebend/internal/heldbytes"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// memoryShare leaves room for the program itself, the stacks of threads and the buffers of
	// the kernel, which the collector does not count.
	memoryShare = 0.6
	// garbageTarget is how much garbage there may be for what is in use, in percent.
	garbageTarget = 50
)

// BoundMemory has garbage collected long before the process takes the memory that it was
// given: a VM ends a process that goes over it. Without memoryMB nothing is changed.
func BoundMemory(n settings.Node) {
	if n.MemoryMB == 0 {
		return
	}
	debug.SetGCPercent(garbageTarget)
	debug.SetMemoryLimit(int64(memoryShare * float64(int64(n.MemoryMB)<<20)))
}

// publishHeld shows how many bytes of bodies are held.
func (p Process) registerHeldBytes() {
	gauge := p.metrics.Gauge
	gauge("held_bytes_limit", "Bytes of bodies that may be held for callers and servers.", func() float64 { return float64(p.Held.Limit()) })
	for _, kind := range heldbytes.Kinds() {
		name := string(kind)
		gauge(name+"_bytes_held", "Bytes of bodies that are held, by what they are of.", func() float64 { return float64(p.Held.Held(kind)) })
		gauge(name+"_bytes_refused", "How often there was no room for bytes of a body so far.", func() float64 { return float64(p.Held.Refused(kind)) })
	}
}

const (
	// guardedWithin is the time in which the body of a call to a control VM has to come: a
	// whole routing over a thin link.
	guardedBodyTimeout = 15 * time.Second
	// retryGuarded is when a call may come again whose body there was no room for.
	guardedRetryAfter = time.Second
)

// Guard bounds the bodies of the calls that a handler of this process reads.
func (p Process) Guard(next http.Handler) http.Handler {
	return heldbytes.Guard{Account: p.Held, Within: guardedBodyTimeout, Refuse: p.refuseBody}.Handler(next)
}

func (p Process) refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	p.observer().Count("refusal", oriolebend.ReasonMemoryShort, "")
	p.Logger.Info("call refused", "path", r.URL.Path, "reason", oriolebend.ReasonMemoryShort, "error", err)
	w.Header().Set("Retry-After", strconv.Itoa(int(guardedRetryAfter.Seconds())))
	http.Error(w, string(oriolebend.ReasonMemoryShort), http.StatusServiceUnavailable)
}
