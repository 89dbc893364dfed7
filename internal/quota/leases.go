package quota

import (
	"context"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer"
	"github.com/oriolebend/oriolebend/internal/reducer/quota"
	"github.com/oriolebend/oriolebend/internal/reducer/quotalease"
)

// leaseTimeout bounds a request for a lease. A second request has its answer before a lease ends
// that the first one should have renewed.
const leaseTimeout = quotalease.Lease / 2

// Leases connects a Server with the other control VMs, so that they can lease the right to grant
// quotas while there is no leader.
type Leases struct {
	Dialer peer.Dialer
	// Members returns the voting members of the group, none if this control VM does not know them.
	Members func() []message.Member
	// Lost returns when this control VM ceased to lead or last received a message of a leader, and the
	// zero time if there is a leader.
	Lost func() time.Time

	state    *quotalease.State
	requests peer.RequestClient[message.QuotaLease, message.QuotaLeaseAnswer]
	// names and addresses are those of the members as of the last check. waiting holds the
	// members that have not answered the last request. The fields from here on are guarded by the
	// server's mutex.
	names     []string
	addresses map[string]string
	waiting   map[string]bool
	// leader and lost were last reported to the reducer, and held is the share that was last logged.
	leader  string
	lost    time.Time
	held    float64
	granted uint64
}

func (l *Leases) prepare(self string, at time.Time) {
	l.state = quotalease.New(self, at)
	l.waiting, l.addresses = map[string]bool{}, map[string]string{}
	l.requests = peer.RequestClient[message.QuotaLease, message.QuotaLeaseAnswer]{
		Dialer:   l.Dialer,
		Numbered: func(q message.QuotaLease, number uint64) message.QuotaLease { q.ID = number; return q },
		Number:   func(a message.QuotaLeaseAnswer) uint64 { return a.ID },
		Unwanted: func(message.QuotaLease, message.QuotaLeaseAnswer) (message.Message, bool) { return nil, false },
	}
}

func (l *Leases) reduce(e quotalease.Event) []reducer.Effect {
	return reducer.Reduce(&reducer.State{QuotaLease: l.state}, e)
}

// observe reports the leadership to the reducer if it has changed. It runs for each request, so that a
// control VM stops granting under leases as soon as it knows a leader.
func (l *Leases) observe(at time.Time, leader string, jumped bool) quota.Leases {
	if jumped {
		l.reduce(quotalease.ClockJumped{At: at})
	}
	lost := l.Lost()
	if !lost.IsZero() {
		leader = "" // no messages of one that is still known were received for the election timeout
	}
	if leader != l.leader || lost != l.lost {
		l.leader, l.lost = leader, lost
		l.reduce(quotalease.Observed{At: at, Leader: leader, Lost: lost, Members: l.names})
	}
	return quota.Leases{Enabled: true, Share: l.state.Share(at), Lent: l.state.Holder(at) != ""}
}

// checkMembers reports the members, which change seldom.
func (l *Leases) checkMembers(at time.Time) {
	l.names = nil
	clear(l.addresses)
	for _, m := range l.Members() {
		l.names = append(l.names, m.Name)
		l.addresses[m.Name] = m.Address
	}
	l.reduce(quotalease.Observed{At: at, Leader: l.leader, Lost: l.lost, Members: l.names})
}

// checkLeases sends the requests that are due to the other control VMs.
func (s *Server) checkLeases(ctx context.Context) {
	if s.Leases == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.updateLeadership()
	s.Leases.checkMembers(now)
	for _, effect := range s.Leases.reduce(quotalease.Due{At: now}) {
		if ask, ok := effect.(quotalease.Ask); ok && !s.Leases.waiting[ask.To] {
			s.Leases.waiting[ask.To] = true
			go s.askLease(ctx, ask, s.Leases.addresses[ask.To])
		}
	}
	s.logLeases(now)
}

// askLease sends one request and applies the answer. A session without an answer is ended: the link
// may be cut without notice.
func (s *Server) askLease(ctx context.Context, ask quotalease.Ask, address string) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	a, err := s.Leases.requests.Request(ctx, address, message.QuotaLease{
		Candidate: s.Self, Leads: ask.Leads, Members: ask.Members,
	})
	if err != nil {
		s.Leases.requests.Drop(address)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.Leases.waiting, ask.To)
	if err != nil {
		return
	}
	s.updateLeadership()
	s.Leases.reduce(quotalease.Answered{At: time.Now(), From: ask.To, Answer: quotalease.Answer{
		Number: ask.Number, Granted: a.Granted, LeasedTo: a.LeasedTo, Members: a.Members,
	}})
	s.updateLeadership()
}

// ServeLeases is the peer.Handler for the requests of other control VMs for a lease.
func (s *Server) ServeLeases(ctx context.Context, stream peer.Stream) {
	if s.Leases == nil {
		_ = stream.Close()
		return
	}
	peer.ServeRequests(ctx, stream, func(request message.QuotaLease) (message.QuotaLeaseAnswer, bool) {
		return s.answerLease(request), true
	})
}

func (s *Server) answerLease(request message.QuotaLease) message.QuotaLeaseAnswer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.updateLeadership()
	effects := s.Leases.reduce(quotalease.Asked{
		At: time.Now(), From: request.Candidate, Ask: quotalease.Ask{Leads: request.Leads, Members: request.Members},
	})
	s.updateLeadership()
	a, _ := effects[0].(quotalease.Answer)
	return message.QuotaLeaseAnswer{ID: request.ID, Granted: a.Granted, LeasedTo: a.LeasedTo, Members: a.Members}
}

// addLease adds to an answer who else may grant, and counts a grant under a lease.
func (s *Server) addLease(answer *message.QuotaAnswer, now time.Time) {
	if s.Leases == nil {
		return
	}
	l := s.Leases
	share := l.state.Share(now)
	if share > 0 && share < 1 {
		answer.Share = share
	}
	if share > 0 && answer.Granted && l.leader == "" {
		l.granted++
	}
	if share == 0 {
		answer.Holder = l.addresses[l.state.Holder(now)]
	}
}

// logLeases logs a change of the share that this control VM holds under leases.
func (s *Server) logLeases(at time.Time) {
	l, share := s.Leases, 0.0
	if l.leader == "" {
		share = l.state.Share(at)
	}
	switch {
	case share == l.held:
		return
	case share > 0:
		s.Logger.Info("quota lease held", "share", share, "leases", l.state.Leases(at), "members", l.state.Members())
	default:
		s.Logger.Info("quota lease ended", "share", l.held, "leader", l.leader, "members", l.state.Members())
	}
	l.held = share
}

// LeaseStatus is the part of a control VM in the quota leases, for metrics.
type LeaseStatus struct {
	// Share is the share of each quota that the control VM grants under leases, and Granted the
	// number of requests that it has granted under them.
	Share   float64
	Granted uint64
}

// LeaseStatus returns the status as of the last check.
func (s *Server) LeaseStatus() LeaseStatus {
	if s.Leases == nil {
		return LeaseStatus{}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return LeaseStatus{Share: s.Leases.held, Granted: s.Leases.granted}
}
