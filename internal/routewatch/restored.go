package routewatch

import (
	"strings"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
)

// droppedNames is the number of dropped servers that a log line names. Hundreds may be dropped
// together, and the log shortens a longer text.
const droppedNames = 16

// RestoredCounts counts the servers that were restored at the start.
type RestoredCounts struct {
	Restored int
	// Confirmed have since announced or withdrawn themselves, here or at another control VM.
	Confirmed int
	// Dropped were not confirmed in time, or had ended as far as another control VM knows.
	Dropped int
}

// enoughServers is the share of the restored servers that a forwarder must know so that the others
// are not sent to it. It is below one because the lists of control VMs differ by the last changes
// before the restart.
const enoughServers = 0.9

// Restore adds the servers that were known before a restart as unconfirmed. fromOthers names those
// that had last announced themselves to another control VM. It must be called before Serve, so that
// the first update of each watcher has them.
func (r *Server) Restore(servers []message.BackendServer, fromOthers map[string]struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.restoredAt, r.fromOthers = time.Now(), fromOthers
	r.restored = len(registry.Reduce(r.state, registry.Restored{At: r.restoredAt, Servers: servers}))
}

// withheld reports whether a server is not sent to a watcher. The mutex is held.
//
// After a restart of the whole system every control VM has restored all servers. A forwarder needs
// them once: hundreds of servers from ten control VMs to hundreds of forwarders would occupy the
// links for seconds. The control VM that a forwarder watches first sends all servers with its first
// update. The others send those that had announced themselves to them. They send the rest only if
// the forwarder knows too few, for example because the first control VM has lost its disk. Control
// VMs are few and receive all lists: they merge them, and write the result.
func (r *Server) withheld(w *watcher, server message.BackendServer) bool {
	_, fromOther := r.fromOthers[server.Instance]
	return server.Unconfirmed && w.withholds && fromOther
}

// sendWithheld queues the withheld servers for a watcher that knows too few servers. The mutex is held.
func (r *Server) sendWithheld(w *watcher, known int) {
	if !w.withholds || float64(known) >= enoughServers*float64(r.state.Unconfirmed()) {
		return
	}
	for _, server := range r.state.Servers() {
		if r.withheld(w, server) {
			w.pending[server.Instance] = server
			signal(w.urgent)
		}
	}
	w.withholds = false
}

// ReportedElsewhere applies the state of servers as of the reports of all control VMs.
func (r *Server) ReportedElsewhere(servers []message.BackendServer) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if time.Since(r.restoredAt) > registry.DefaultConfirmWithin+2*registryInterval {
		return // each restored server is confirmed or dropped
	}
	for _, server := range servers {
		r.apply(registry.ReportedElsewhere{Server: server})
	}
}

// Announced returns the servers whose announcements go to this control VM, and those that are restored
// and had gone to it before.
func (r *Server) Announced() map[message.ServerStart]struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	own := map[message.ServerStart]struct{}{}
	for _, server := range r.state.Servers() {
		_, fromOther := r.fromOthers[server.Instance]
		if !server.Silent && !(server.Unconfirmed && fromOther) {
			own[server.Start()] = struct{}{}
		}
	}
	return own
}

// RestoredCounts returns the counts of restored servers.
func (r *Server) RestoredCounts() RestoredCounts {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return RestoredCounts{
		Restored: r.restored, Confirmed: r.restored - r.dropped - r.state.Unconfirmed(), Dropped: r.dropped,
	}
}

// countDropped counts and logs restored servers that were dropped. The mutex is held.
func (r *Server) countDropped(instances []string) {
	if len(instances) == 0 {
		return
	}
	r.dropped += len(instances)
	named := strings.Join(instances[:min(droppedNames, len(instances))], " ")
	r.Logger.Info("restored server dropped", "servers", len(instances), "instances", named)
}
