package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

const (
	// keepAway is how long what a control VM told is used after the session
	// with it ended: its servers announce themselves elsewhere within two
	// periods, and a control VM that restarts is back in seconds.
	keepAway = 10 * time.Second
	// keepGone is how long the end of an instance is remembered here.
	keepGone = DefaultForgetAfter
)

// View is what a forwarder knows of the backend servers: what each control VM told
// it, joined. It is not safe for use by several goroutines.
//
// Only the instances that are told of are joined anew. With thousands of servers that
// start within a second each of them is news of its own; were all of them joined and
// sorted for each, 4 ms of a whole core for 3,000 of them, a small VM would do nothing
// else for half a minute after a restart of everything, and answer no request meanwhile.
type View struct {
	sources map[string]*source
	// inOrder names the sources in a fixed order, in which they are joined.
	inOrder []string
	// gone remembers instances that left, also if the control VM that told it
	// has lost its memory since.
	gone map[string]end
	// known are the instances as of the last Changes, stale those that have been told
	// of since.
	known map[string]*instance
	stale map[string]struct{}
	// at names the instances at each address.
	at map[string][]string
	// rounds counts the calls of Changes.
	rounds uint64
}

// Changes is what has become different in a View.
type Changes struct {
	// Servers are those that are new or are told of differently, in the order of
	// the instances' names.
	Servers []message.BackendServer
	// Left names the instances that are not in the view any more.
	Left []string
}

// Servers holds the backend servers of a View by the names of their instances.
type Servers map[string]message.BackendServer

// Apply takes in what has changed.
func (s Servers) Apply(c Changes) {
	for _, server := range c.Servers {
		s[server.Instance] = server
	}
	for _, name := range c.Left {
		delete(s, name)
	}
}

// List lists them in the order of the instances' names.
func (s Servers) List() []message.BackendServer {
	list := make([]message.BackendServer, 0, len(s))
	for _, name := range slices.Sorted(maps.Keys(s)) {
		list = append(list, s[name])
	}
	return list
}

// end is the start of an instance that left, and when that was told.
type end struct {
	incarnation uint64
	told        time.Time
}

// source is what one control VM told.
type source struct {
	servers map[string]message.BackendServer
	// lost is when the session ended; zero while there is one.
	lost time.Time
	// atOnce is set while all that it told was told at once, with its first word.
	atOnce bool
}

// NewView returns an empty view.
func NewView() *View {
	return &View{
		sources: map[string]*source{}, gone: map[string]end{},
		known: map[string]*instance{}, stale: map[string]struct{}{}, at: map[string][]string{},
	}
}

// Update takes what a control VM told; whole replaces all that it told before.
func (v *View) Update(at time.Time, control string, whole bool, servers []message.BackendServer) {
	s := v.sources[control]
	if s != nil && whole {
		v.drop(s)
	}
	if s == nil || whole {
		s = &source{servers: map[string]message.BackendServer{}}
		v.sources[control] = s
		v.inOrder = slices.Sorted(maps.Keys(v.sources))
	}
	s.lost, s.atOnce = time.Time{}, whole
	for _, server := range servers {
		s.servers[server.Instance] = server
		v.stale[server.Instance] = struct{}{}
		if server.Phase == message.PhaseGone && server.Incarnation >= v.gone[server.Instance].incarnation {
			v.gone[server.Instance] = end{incarnation: server.Incarnation, told: at}
		}
	}
}

// Lost notes that the session with a control VM ended.
func (v *View) Lost(at time.Time, control string) {
	if s := v.sources[control]; s != nil && s.lost.IsZero() {
		s.lost = at
	}
}

// Changes returns what has become different since it was asked last.
func (v *View) Changes(at time.Time) Changes {
	v.forget(at)
	v.rounds++
	var c Changes
	touched := map[string]struct{}{}
	for _, name := range slices.Sorted(maps.Keys(v.stale)) {
		if left := v.rejoin(name, touched); left {
			c.Left = append(c.Left, name)
		}
	}
	v.stale = map[string]struct{}{} // clearing one that has held thousands costs as if it still did
	for address := range touched {
		c.Servers = append(c.Servers, v.settle(address)...)
	}
	slices.SortFunc(c.Servers, byName)
	return c
}

// rejoin joins anew what all sources say of an instance, and notes the addresses that
// this concerns. It reports whether the instance has left the view.
func (v *View) rejoin(name string, touched map[string]struct{}) (left bool) {
	server, whole, usable := v.join(name)
	i := v.known[name]
	if i != nil && (!usable || i.joined.Address != server.Address) {
		v.leave(i.joined.Address, name)
		touched[i.joined.Address] = struct{}{}
	}
	if !usable {
		delete(v.known, name)
		return i != nil
	}
	if i == nil {
		i = &instance{appeared: v.rounds, whole: whole}
		v.known[name] = i
	}
	i.joined = server
	if !slices.Contains(v.at[server.Address], name) {
		v.at[server.Address] = append(v.at[server.Address], name)
	}
	touched[server.Address] = struct{}{}
	return false
}

// leave takes an instance from those at an address.
func (v *View) leave(address, name string) {
	rest := slices.DeleteFunc(v.at[address], func(other string) bool { return other == name })
	v.at[address] = rest
	if len(rest) == 0 {
		delete(v.at, address)
	}
}

// join is what all sources say of an instance, and whether one of them had told of it
// with all else that it knew; usable is false if it has left, or if nobody knows where
// it is. Of several starts of an instance the last one counts. It is as far towards its
// end as any control VM says; the rest is what it announced last. It is silent if it is
// to all that told of it.
func (v *View) join(name string) (joined message.BackendServer, whole, usable bool) {
	for _, control := range v.inOrder {
		s := v.sources[control]
		if server, told := s.servers[name]; told {
			joined = join(joined, server)
			whole = whole || s.atOnce
		}
	}
	e, gone := v.gone[name]
	return joined, whole, joined.Address != "" && (!gone || joined.Incarnation > e.incarnation)
}

// drop has all that a source told of joined anew.
func (v *View) drop(s *source) {
	for name := range s.servers {
		v.stale[name] = struct{}{}
	}
}

func (v *View) forget(at time.Time) {
	v.inOrder = slices.DeleteFunc(v.inOrder, func(name string) bool {
		s := v.sources[name]
		old := !s.lost.IsZero() && at.Sub(s.lost) >= keepAway
		if old {
			v.drop(s)
			delete(v.sources, name)
		}
		return old
	})
	maps.DeleteFunc(v.gone, func(name string, e end) bool {
		old := at.Sub(e.told) >= keepGone
		if old {
			v.stale[name] = struct{}{}
		}
		return old
	})
}

// join returns what two control VMs say of one instance.
func join(a, b message.BackendServer) message.BackendServer {
	switch {
	case a.Instance == "" || b.Incarnation > a.Incarnation:
		return b
	case b.Incarnation < a.Incarnation:
		return a
	}
	newer, older := a, b
	if b.Sequence > a.Sequence || a.Address == "" {
		newer, older = b, a
	}
	if older.Phase.After(newer.Phase) {
		newer.Phase = older.Phase
	}
	newer.Silent = a.Silent && b.Silent
	newer.Changing = a.Changing || b.Changing
	return newer
}
