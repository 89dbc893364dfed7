package role

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// memberLease is how long an announced server stays a member unrenewed.
const memberLease = 3 * time.Second

// Membership holds the servers that sidecars announce and tells the followers
// of every change.
type Membership struct {
	mu       sync.Mutex
	revision uint64
	servers  map[string]member
	changed  chan struct{}
}

type member struct {
	server   oriolebend.Server
	revision uint64
	until    time.Time
}

// NewMembership returns a membership without servers.
func NewMembership() *Membership {
	return &Membership{servers: map[string]member{}, changed: make(chan struct{})}
}

// Announce takes an announcement and renews its lease.
func (m *Membership) Announce(s oriolebend.Server, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old, known := m.servers[s.Name]
	if known && sameServer(old.server, s) {
		old.until = at.Add(memberLease)
		m.servers[s.Name] = old
		return
	}
	m.put(s, at.Add(memberLease))
}

// Expire marks the servers whose lease ended as gone.
func (m *Membership) Expire(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.servers {
		if e.server.State == oriolebend.ServerGone || at.Before(e.until) {
			continue
		}
		gone := e.server
		gone.State = oriolebend.ServerGone
		m.put(gone, e.until)
	}
}

// put stores a changed server and wakes the followers; the lock is held.
func (m *Membership) put(s oriolebend.Server, until time.Time) {
	m.revision++
	m.servers[s.Name] = member{server: s, revision: m.revision, until: until}
	close(m.changed)
	m.changed = make(chan struct{})
}

// Since returns the changes after a revision, and a channel that is closed at
// the next one.
func (m *Membership) Since(from uint64) (message.Update, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	update := message.Update{Revision: m.revision, Snapshot: from == 0}
	for _, e := range m.servers {
		if e.revision > from {
			update.Servers = append(update.Servers, e.server)
		}
	}
	return update, m.changed
}

// ServeWatch is the peer.Handler for followers.
func (m *Membership) ServeWatch(ctx context.Context, s peer.Stream) {
	first, err := s.Receive()
	if err != nil {
		return
	}
	watch, ok := first.(message.Watch)
	if !ok {
		return
	}
	from := watch.From
	for {
		update, changed := m.Since(from)
		if update.Revision > from || update.Snapshot {
			if err := s.Send(update); err != nil {
				return
			}
			from = update.Revision
		}
		select {
		case <-changed:
		case <-s.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

// ServeAnnounce is the peer.Handler for sidecars.
func (m *Membership) ServeAnnounce(_ context.Context, s peer.Stream) {
	for {
		received, err := s.Receive()
		if err != nil {
			return
		}
		announce, ok := received.(message.Announce)
		if !ok {
			return
		}
		m.Announce(announce.Server, time.Now())
		if err := s.Send(message.Announced{LeaseFor: memberLease}); err != nil {
			return
		}
	}
}

func sameServer(a, b oriolebend.Server) bool {
	sameModels := slices.EqualFunc(a.Models, b.Models, func(x, y oriolebend.LoadedModel) bool {
		return x.Model == y.Model && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
	})
	a.Models, b.Models = nil, nil
	return sameModels && equalFields(a, b)
}

func equalFields(a, b oriolebend.Server) bool {
	return a.Name == b.Name && a.GateAddress == b.GateAddress && a.Incarnation == b.Incarnation &&
		a.Role == b.Role && a.State == b.State && a.Service == b.Service &&
		a.KVTokens == b.KVTokens && a.LinkBytes == b.LinkBytes
}
