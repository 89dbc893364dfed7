package routewatch

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
)

// droppedNames is the number of dropped servers that a log line names: after the loss of a site,
// hundreds are dropped together.
const droppedNames = 20

// RestoredCounts counts the servers that were restored at the start.
type RestoredCounts struct {
	Restored int
	// Confirmed have since announced or withdrawn themselves, here or at another control VM.
	Confirmed int
	// Dropped were not confirmed in time, or had ended as far as another control VM knows.
	Dropped int
}

// Restore adds the servers that were known before a restart as unconfirmed. It must be called before
// Serve, so that the first update of each watcher carries them.
func (r *Server) Restore(servers []message.BackendServer) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.restored = len(registry.Reduce(r.state, registry.Restored{At: time.Now(), Servers: servers}))
}

// sendUnconfirmed queues unconfirmed servers for a watcher from which they were withheld. The mutex is
// held.
//
// After a restart of the whole system every control VM has restored all servers, and a forwarder needs
// them once: hundreds of servers from ten control VMs to hundreds of forwarders would take the links for
// seconds. The control VM that a forwarder watches first sends them with its first update. The others
// send them if the forwarder has received none by then, because that one has lost its disk. Control VMs
// are few and receive all lists: they compare them, and write what they know.
func (r *Server) sendUnconfirmed(w *watcher) {
	if !w.withholds {
		return
	}
	w.withholds = false
	for _, server := range r.state.Servers() {
		if server.Unconfirmed {
			w.pending[server.Instance] = server
			signal(w.urgent)
		}
	}
}

// ReportedElsewhere applies the state of servers as of the reports of all control VMs.
func (r *Server) ReportedElsewhere(servers []message.BackendServer) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.state.Unconfirmed() == 0 {
		return
	}
	for _, server := range servers {
		r.apply(registry.ReportedElsewhere{Server: server})
	}
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
	r.Logger.Info("restored server dropped", "servers", len(instances), "instances", instances[:min(droppedNames, len(instances))])
}
