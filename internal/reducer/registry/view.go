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
type View struct {
	sources map[string]*source
	// gone remembers instances that left, also if the control VM that told it
	// has lost its memory since.
	gone map[string]end
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
}

// NewView returns an empty view.
func NewView() *View {
	return &View{sources: map[string]*source{}, gone: map[string]end{}}
}

// Told takes what a control VM told; whole replaces all that it told before.
func (v *View) Told(at time.Time, control string, whole bool, servers []message.BackendServer) {
	s := v.sources[control]
	if s == nil || whole {
		s = &source{servers: map[string]message.BackendServer{}}
		v.sources[control] = s
	}
	s.lost = time.Time{}
	for _, server := range servers {
		s.servers[server.Instance] = server
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

// Servers joins what is known at a time, in the order of the instances' names.
// Of several starts of an instance the last one counts. It is as far towards its end
// as any control VM says; the rest is what it announced last. It is silent if it is
// to all that told of it.
func (v *View) Servers(at time.Time) []message.BackendServer {
	v.forget(at)
	joined := map[string]message.BackendServer{}
	for _, name := range slices.Sorted(maps.Keys(v.sources)) {
		for _, server := range v.sources[name].servers {
			joined[server.Instance] = join(joined[server.Instance], server)
		}
	}
	list := make([]message.BackendServer, 0, len(joined))
	for _, name := range slices.Sorted(maps.Keys(joined)) {
		server := joined[name]
		if e, gone := v.gone[name]; gone && server.Incarnation <= e.incarnation || server.Address == "" {
			continue
		}
		list = append(list, server)
	}
	return list
}

func (v *View) forget(at time.Time) {
	maps.DeleteFunc(v.sources, func(_ string, s *source) bool {
		return !s.lost.IsZero() && at.Sub(s.lost) >= keepAway
	})
	maps.DeleteFunc(v.gone, func(_ string, e end) bool {
		return at.Sub(e.told) >= keepGone
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
