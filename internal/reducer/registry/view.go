package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

const (
	// sourceLifetime is how long the reports of a control VM are used after the
	// session with it has ended: its servers announce themselves to another one
	// within two periods, and a control VM that restarts is up again in seconds.
	sourceLifetime = 10 * time.Second
	// unconfirmedLifetime is how long restored servers are used that a control VM neither confirms
	// nor drops, because it failed again or is frozen. It is a second longer than the control VM
	// takes to drop them, so that usually its report comes first.
	unconfirmedLifetime = DefaultConfirmWithin + time.Second
	// endingLifetime is how long the end of an instance is recorded in a view.
	endingLifetime = DefaultForgetAfter
)

// View holds the backend servers that a forwarder knows: the merged reports of all control VMs. It
// is not safe for use by several goroutines.
//
// Only the reported instances are merged again. When thousands of servers start within a second,
// each of them is reported separately. If every report caused all of them to be merged and sorted,
// which takes 4 ms of a core for 3,000 of them, a small VM would do nothing else for half a minute
// after a restart of the whole site, and answer no request in that time.
type View struct {
	sources map[string]*source
	// sourceOrder names the sources in the fixed order in which they are merged.
	sourceOrder []string
	// ended records the instances that have left, also if the control VM that
	// reported that has lost its state since.
	ended map[string]ending
	// instances are the instances as of the last Changes, stale those that have been
	// reported since.
	instances map[string]*instance
	stale     map[string]struct{}
	// byAddress names the instances at each address.
	byAddress map[string][]string
	// rounds counts the calls of Changes.
	rounds uint64
}

// Changes lists the differences of a View since the previous call of its method Changes.
type Changes struct {
	// Servers are the servers that are new or have changed, in the order of the
	// instances' names.
	Servers []message.BackendServer
	// Left names the instances that are no longer in the view.
	Left []string
}

// Servers holds the backend servers of a View by the names of their instances.
type Servers map[string]message.BackendServer

// Apply applies changes of a View.
func (s Servers) Apply(c Changes) {
	for _, server := range c.Servers {
		s[server.Instance] = server
	}
	for _, name := range c.Left {
		delete(s, name)
	}
}

// List returns the servers in the order of the instances' names.
func (s Servers) List() []message.BackendServer {
	list := make([]message.BackendServer, 0, len(s))
	for _, name := range slices.Sorted(maps.Keys(s)) {
		list = append(list, s[name])
	}
	return list
}

// ending is the incarnation of an instance that has left, and when that was reported.
type ending struct {
	incarnation uint64
	reportedAt  time.Time
}

// source holds the reports of one control VM.
type source struct {
	servers map[string]message.BackendServer
	// lost is when the session ended, zero while there is a session.
	lost time.Time
	// complete is set while the only report is a complete list.
	complete bool
	// unconfirmedUntil is when the unconfirmed servers are dropped, zero if there are none.
	unconfirmedUntil time.Time
}

// NewView returns an empty view.
func NewView() *View {
	return &View{
		sources: map[string]*source{}, ended: map[string]ending{},
		instances: map[string]*instance{}, stale: map[string]struct{}{}, byAddress: map[string][]string{},
	}
}

// Update applies a report of a control VM. A complete report replaces all its earlier reports.
func (v *View) Update(at time.Time, control string, complete bool, servers []message.BackendServer) {
	s := v.sources[control]
	var earlier map[string]message.BackendServer
	if s != nil && complete {
		v.markStale(s)
		earlier = s.servers
	}
	if s == nil || complete {
		s = &source{servers: map[string]message.BackendServer{}}
		v.sources[control] = s
		v.sourceOrder = slices.Sorted(maps.Keys(v.sources))
	}
	s.lost, s.complete = time.Time{}, complete
	for _, server := range servers {
		v.stale[server.Instance] = struct{}{}
		if server.Dropped() {
			delete(s.servers, server.Instance)
			continue
		}
		if server.Unconfirmed && s.unconfirmedUntil.IsZero() {
			s.unconfirmedUntil = at.Add(unconfirmedLifetime)
		}
		s.servers[server.Instance] = keepLeaving(earlier[server.Instance], server)
		if server.Phase == message.PhaseGone && server.Incarnation >= v.ended[server.Instance].incarnation {
			v.ended[server.Instance] = ending{incarnation: server.Incarnation, reportedAt: at}
		}
	}
}

// SessionEnded records that the session with a control VM has ended.
func (v *View) SessionEnded(at time.Time, control string) {
	if s := v.sources[control]; s != nil && s.lost.IsZero() {
		s.lost = at
	}
}

// Len returns the number of backend servers, as of the last call of Changes.
func (v *View) Len() int { return len(v.instances) }

// Changes returns the differences since its previous call.
func (v *View) Changes(at time.Time) Changes {
	v.expire(at)
	v.rounds++
	var c Changes
	touched := map[string]struct{}{}
	for _, name := range slices.Sorted(maps.Keys(v.stale)) {
		if left := v.refresh(name, touched); left {
			c.Left = append(c.Left, name)
		}
	}
	v.stale = map[string]struct{}{} // clearing a map that held thousands of keys takes as long as if it still held them
	for address := range touched {
		c.Servers = append(c.Servers, v.resolveAddress(address)...)
	}
	slices.SortFunc(c.Servers, byName)
	return c
}

// refresh merges the reports of all sources on an instance again, and adds the affected addresses
// to touched. It reports whether the instance has left the view.
func (v *View) refresh(name string, touched map[string]struct{}) (left bool) {
	server, complete, usable := v.merge(name)
	i := v.instances[name]
	if i != nil && (!usable || i.merged.Address != server.Address) {
		v.removeFromAddress(i.merged.Address, name)
		touched[i.merged.Address] = struct{}{}
	}
	if !usable {
		delete(v.instances, name)
		return i != nil
	}
	if i == nil {
		i = &instance{appeared: v.rounds, complete: complete}
		v.instances[name] = i
	}
	i.merged = server
	if !slices.Contains(v.byAddress[server.Address], name) {
		v.byAddress[server.Address] = append(v.byAddress[server.Address], name)
	}
	touched[server.Address] = struct{}{}
	return false
}

// removeFromAddress removes an instance from the instances at an address.
func (v *View) removeFromAddress(address, name string) {
	rest := slices.DeleteFunc(v.byAddress[address], func(other string) bool { return other == name })
	v.byAddress[address] = rest
	if len(rest) == 0 {
		delete(v.byAddress, address)
	}
}

// merge returns the merged state of an instance over all sources, and whether one of them had
// reported it in a complete list. usable is false if the instance has left, or if its address is
// not known. The latest incarnation of an instance counts. Its phase is the most advanced phase
// that any control VM reports; the rest is its latest announcement. It is silent if every control
// VM that reports it reports it as silent. A report that a control VM restored counts only if no
// other one has received an announcement of that incarnation.
func (v *View) merge(name string) (merged message.BackendServer, complete, usable bool) {
	for _, control := range v.sourceOrder {
		s := v.sources[control]
		if server, reported := s.servers[name]; reported {
			merged = merge(merged, server)
			complete = complete || s.complete
		}
	}
	e, ended := v.ended[name]
	return merged, complete, merged.Address != "" && (!ended || merged.Incarnation > e.incarnation)
}

// markStale marks all instances that a source has reported to be merged again.
func (v *View) markStale(s *source) {
	for name := range s.servers {
		v.stale[name] = struct{}{}
	}
}

// dropUnconfirmed drops the unconfirmed servers of a source.
func (v *View) dropUnconfirmed(s *source) {
	s.unconfirmedUntil = time.Time{}
	maps.DeleteFunc(s.servers, func(name string, server message.BackendServer) bool {
		if server.Unconfirmed {
			v.stale[name] = struct{}{}
		}
		return server.Unconfirmed
	})
}

// expire drops the reports of control VMs whose session ended long ago, restored servers that were
// not confirmed, and old endings.
func (v *View) expire(at time.Time) {
	for _, s := range v.sources {
		if !s.unconfirmedUntil.IsZero() && !at.Before(s.unconfirmedUntil) {
			v.dropUnconfirmed(s)
		}
	}
	v.sourceOrder = slices.DeleteFunc(v.sourceOrder, func(name string) bool {
		s := v.sources[name]
		old := !s.lost.IsZero() && at.Sub(s.lost) >= sourceLifetime
		if old {
			v.markStale(s)
			delete(v.sources, name)
		}
		return old
	})
	maps.DeleteFunc(v.ended, func(name string, e ending) bool {
		old := at.Sub(e.reportedAt) >= endingLifetime
		if old {
			v.stale[name] = struct{}{}
		}
		return old
	})
}

// keepLeaving returns a report of a control VM, with the drain or role change that it had reported
// before its restart. The list that it restored may be from before that.
func keepLeaving(before, reported message.BackendServer) message.BackendServer {
	if !reported.Unconfirmed || !before.SameStart(reported) {
		return reported
	}
	if before.Phase.After(reported.Phase) {
		reported.Phase = before.Phase
	}
	reported.Changing = reported.Changing || before.Changing
	return reported
}

// merge merges the reports of two control VMs on one instance.
func merge(a, b message.BackendServer) message.BackendServer {
	switch {
	case a.Instance == "" || b.Incarnation > a.Incarnation:
		return b
	case b.Incarnation < a.Incarnation:
		return a
	case a.Unconfirmed && !b.Unconfirmed:
		return confirm(a, b)
	case b.Unconfirmed && !a.Unconfirmed:
		return confirm(b, a)
	}
	newer, older := a, b
	if b.Address != "" && b.Sequence > a.Sequence || a.Address == "" {
		newer, older = b, a
	}
	if older.Phase.After(newer.Phase) {
		newer.Phase = older.Phase
	}
	newer.SoftwareVersion = cmp.Or(newer.SoftwareVersion, older.SoftwareVersion)
	newer.Silent = a.Silent && b.Silent
	newer.Changing = a.Changing || b.Changing
	return newer
}

// confirm merges an unconfirmed report on an instance with an announced one. The announced one
// counts, except for its address if it has none: a control VM may report a role change or an end
// without having received an announcement of the server.
func confirm(unconfirmed, announced message.BackendServer) message.BackendServer {
	merged := announced
	if announced.Address == "" {
		merged = unconfirmed
	}
	merged.SoftwareVersion = cmp.Or(announced.SoftwareVersion, unconfirmed.SoftwareVersion)
	merged.Phase = announced.Phase
	if unconfirmed.Phase.After(merged.Phase) {
		merged.Phase = unconfirmed.Phase
	}
	merged.Changing = announced.Changing || unconfirmed.Changing
	return merged
}
