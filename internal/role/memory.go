package role

import (
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/oriolebend/oriolebend/internal/memorybudget"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// memoryShare is the share of node.memoryMB that is set as the Go runtime's memory limit.
	// The rest is for the program itself, the stacks of threads and the kernel's buffers, which
	// the garbage collector does not count.
	memoryShare = 0.6
	// garbageTarget is the allowed amount of garbage in percent of the memory in use.
	garbageTarget = 50
)

// BoundMemory sets the garbage collector's limits well below the memory that the process
// was given, because a process that exceeds that memory is killed. Without memoryMB it
// changes nothing.
func BoundMemory(n settings.Node) {
	if n.MemoryMB == 0 {
		return
	}
	debug.SetGCPercent(garbageTarget)
	debug.SetMemoryLimit(int64(memoryShare * float64(int64(n.MemoryMB)<<20)))
}

// registerHeldBytes registers gauges of the bytes of bodies that are held in memory.
func (p Process) registerHeldBytes() {
	gauge := p.metrics.Gauge
	gauge("held_bytes_limit", "Bytes of bodies that may be held for callers and servers.", func() float64 { return float64(p.Held.Limit()) })
	for _, kind := range memorybudget.Kinds() {
		name := string(kind)
		gauge(name+"_bytes_held", "Bytes of bodies of this kind that are held.", func() float64 { return float64(p.Held.Held(kind)) })
		gauge(name+"_bytes_refused", "How often bytes of a body were refused for lack of memory so far.", func() float64 { return float64(p.Held.Refused(kind)) })
	}
}

const (
	// guardedBodyTimeout bounds the time in which the body of a call to a control VM must
	// arrive. It is enough for a complete routing over a slow link.
	guardedBodyTimeout = 15 * time.Second
	// guardedRetryAfter is the Retry-After of a call whose body was refused for lack of
	// memory.
	guardedRetryAfter = time.Second
)

// Guard returns a handler that bounds the memory and time for the bodies that next
// reads.
func (p Process) Guard(next http.Handler) http.Handler {
	return memorybudget.Guard{Account: p.Held, Within: guardedBodyTimeout, Refuse: p.refuseBody}.Handler(next)
}

func (p Process) refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	p.observer().Count("refusal", oriolebend.ReasonMemoryShort, "")
	p.Logger.Info("call refused", "path", r.URL.Path, "reason", oriolebend.ReasonMemoryShort, "error", err)
	w.Header().Set("Retry-After", strconv.Itoa(int(guardedRetryAfter.Seconds())))
	http.Error(w, string(oriolebend.ReasonMemoryShort), http.StatusServiceUnavailable)
}
