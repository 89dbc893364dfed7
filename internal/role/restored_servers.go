package role

import (
	"slices"
	"sync"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/internal/routewatch"
	"github.com/oriolebend/oriolebend/internal/serverlist"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// knownServers holds the backend servers that all control VMs report to this one, and has them written
// to its data folder.
type knownServers struct {
	list   *serverlist.Store
	routes *routewatch.Server

	mutex   sync.Mutex
	servers registry.Servers
}

// SetRouting implements routewatch.Sink.
func (k *knownServers) SetRouting(oriolebend.Routing) {}

// ChangeServers implements routewatch.Sink.
func (k *knownServers) ChangeServers(changes registry.Changes, _ int) {
	k.routes.ReportedElsewhere(k.apply(changes))
	k.list.RequestSave()
}

// apply applies changes, and returns the servers that have changed or left.
func (k *knownServers) apply(changes registry.Changes) []message.BackendServer {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	changed := slices.Clone(changes.Servers)
	for _, name := range changes.Left {
		left := k.servers[name]
		left.Phase = message.PhaseGone
		changed = append(changed, left)
	}
	k.servers.Apply(changes)
	return changed
}

// all lists the servers.
func (k *knownServers) all() serverlist.List {
	own := k.routes.Announced()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	l := serverlist.List{Servers: k.servers.List(), Others: map[string]struct{}{}}
	for _, server := range l.Servers {
		if _, announced := own[server.Start()]; !announced {
			l.Others[server.Instance] = struct{}{}
		}
	}
	return l
}

// Version implements routewatch.Sink; the first sink of a control VM has the routing.
func (k *knownServers) Version() uint64 { return 0 }

// Loads implements routewatch.Sink.
func (k *knownServers) Loads() []message.ServiceLoad { return nil }

// Expire implements routewatch.Sink.
func (k *knownServers) Expire() {}

// restoreServers restores the backend servers that were known before a restart, and prepares writing
// them. It must be called before any peer is served.
func (c *ControlProcess) restoreServers() {
	s := c.process.Settings
	if !s.Control.Enabled(settings.FeatureRestoredServers) {
		return
	}
	c.known = &knownServers{routes: c.routes, servers: registry.Servers{}}
	c.known.list = &serverlist.Store{
		Folder: s.Control.DataFolder, Node: c.process.self(), Logger: c.process.Logger,
		Servers: func() (serverlist.List, bool) { return c.known.all(), c.watchesItself() },
	}
	restored := c.known.list.Load()
	c.routes.Restore(restored.Servers, restored.Others)
}

// watchesItself reports whether the watch of this VM's own servers is open. Until then, a list of the
// known servers would lack those that only this VM restored.
func (c *ControlProcess) watchesItself() bool {
	open := c.observer.Open()
	for _, m := range c.replica.Status().Members {
		if m.Name == c.process.self() && slices.Contains(open, m.Address) {
			return true
		}
	}
	return slices.Contains(open, c.process.Settings.Peer.Listen)
}

// registerRestored registers gauges of the restored servers.
func (c *ControlProcess) registerRestored() {
	gauge := func(name, help string, value func(routewatch.RestoredCounts) int) {
		c.process.metrics.Gauge("control_servers_"+name, help, func() float64 { return float64(value(c.routes.RestoredCounts())) })
	}
	gauge("restored", "Backend servers restored from the data folder at the start.", func(r routewatch.RestoredCounts) int { return r.Restored })
	gauge("restored_confirmed", "Restored servers that have announced or withdrawn themselves to any control VM since.", func(r routewatch.RestoredCounts) int { return r.Confirmed })
	gauge("restored_dropped", "Restored servers that did not announce themselves in time, or had ended.", func(r routewatch.RestoredCounts) int { return r.Dropped })
	c.process.metrics.Gauge("control_server_list_failures", "Failed writes of the list of backend servers.", func() float64 {
		if c.known == nil {
			return 0
		}
		return float64(c.known.list.Failures())
	})
}
