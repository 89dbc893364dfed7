package role

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/operator"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer"
	"github.com/oriolebend/oriolebend/internal/reducer/control"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/internal/reducer/member"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// leadershipCheckInterval is how often a control VM checks whether it leads.
	leadershipCheckInterval = 50 * time.Millisecond
	// proposeTimeout bounds one proposal that changes the membership.
	proposeTimeout = 5 * time.Second
)

// MemberLeader grants and renews the membership leases of backend servers while
// its control VM leads.
type MemberLeader struct {
	Self     string
	Log      control.Log
	Store    *operator.Store
	Observer Observer
	Logger   *slog.Logger

	loop        *Loop
	lastSession atomic.Uint64
	leads       atomic.Bool

	mu           sync.Mutex
	openSessions map[member.SessionID]*peer.Outbox
	// announced holds the latest announcement of each server.
	announced map[string]message.Announce
	ctx       context.Context
}

// Prepare initializes the MemberLeader for Serve; it must be called before Run.
func (m *MemberLeader) Prepare() {
	m.openSessions = map[member.SessionID]*peer.Outbox{}
	m.announced = map[string]message.Announce{}
	m.loop = NewLoop(&reducer.State{Member: member.New(member.Config{})}, m.perform, Tick{
		Every: member.TickEvery,
		Event: func(at time.Time) reducer.Event { return member.Ticked{At: at} },
	})
}

// Run serves leases until ctx ends.
func (m *MemberLeader) Run(ctx context.Context) {
	m.ctx = ctx
	go m.watchLeadership(ctx)
	m.loop.Run(ctx)
}

// watchLeadership posts an event when this control VM gains or loses the
// leadership, and one for every change of the declared state while it leads.
func (m *MemberLeader) watchLeadership(ctx context.Context) {
	ticker := time.NewTicker(leadershipCheckInterval)
	defer ticker.Stop()
	for {
		var view declared.View
		changed := m.Store.Read(func(d *declared.State) { view = d.View().Copy() })
		if m.leads.Load() {
			m.loop.Post(member.Committed{At: time.Now(), View: view})
		}
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return
			case <-changed:
				waiting = false
			case <-ticker.C:
				m.checkLeadership(ctx)
			}
		}
	}
}

func (m *MemberLeader) checkLeadership(ctx context.Context) {
	name, _ := m.Log.Leader()
	leads := name == m.Self
	if leads == m.leads.Load() {
		return
	}
	if !leads {
		m.leads.Store(false)
		m.loop.Post(member.Deposed{At: time.Now()})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := m.Log.Confirm(ctx); err != nil {
		return
	}
	m.leads.Store(true)
	m.loop.Post(member.LeadershipGained{At: time.Now(), View: m.Store.View()})
}

// Serve is the peer.Handler for sidecars that announce their server and request
// permits.
func (m *MemberLeader) Serve(_ context.Context, s peer.Stream) {
	id := member.SessionID(fmt.Sprintf("%s/%d", s.Peer(), m.lastSession.Add(1)))
	out := peer.NewOutbox(s)
	m.mu.Lock()
	m.openSessions[id] = out
	m.mu.Unlock()
	go out.Write()
	defer func() {
		out.End()
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.openSessions, id)
	}()
	for {
		received, err := s.Receive()
		if err != nil {
			return
		}
		if !m.leads.Load() {
			out.Put(message.Announced{})
			return
		}
		switch f := received.(type) {
		case message.Announce:
			m.recordAnnouncement(f)
			m.loop.Post(member.Announced{At: time.Now(), Session: id, Announce: f})
		case message.Permit:
			m.loop.Post(member.PermitRequested{At: time.Now(), Session: id, Permit: f})
		default:
			return
		}
	}
}

// recordAnnouncement stores an announcement for operators who query the progress
// of a server.
func (m *MemberLeader) recordAnnouncement(a message.Announce) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.announced[a.Server.Name] = a
}

// Announcements returns the latest announcement of each server. It returns nil on
// a control VM that does not lead, as only the leader receives announcements.
func (m *MemberLeader) Announcements() map[string]message.Announce {
	if !m.leads.Load() {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.announced)
}

func (m *MemberLeader) perform(effect reducer.Effect) {
	switch f := effect.(type) {
	case member.Reply:
		m.mu.Lock()
		s := m.openSessions[f.Session]
		m.mu.Unlock()
		if s != nil {
			s.Put(f.Message)
		}
	case member.Propose:
		go m.propose(f.Members)
	case member.Count:
		m.Observer.Count("member."+string(f.Name), "", "")
	}
}

func (m *MemberLeader) propose(members declared.Members) {
	err := m.commit(members)
	if err != nil {
		m.Logger.Warn("membership change not accepted", "error", err)
	}
	// The reducer must receive the change before the outcome of the proposal.
	m.loop.Post(member.Committed{At: time.Now(), View: m.Store.View()})
	m.loop.Post(member.Proposed{At: time.Now(), Failed: err != nil})
}

func (m *MemberLeader) commit(members declared.Members) error {
	command, err := control.Encode(control.PartDeclared, declared.Command{At: time.Now(), Members: &members})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(m.ctx, proposeTimeout)
	defer cancel()
	reply, err := m.Log.Propose(ctx, command)
	if err != nil {
		return fmt.Errorf("propose members: %w", err)
	}
	_, err = control.Decode[oriolebend.ChangeResult](reply)
	return err
}
