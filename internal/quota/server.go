// Package quota counts, in control VMs, the organisations' use of their quotas; forwarders request
// units from them.
package quota

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/oriolebend/oriolebend/internal/clockdrift"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer"
	"github.com/oriolebend/oriolebend/internal/reducer/quota"
	"github.com/oriolebend/oriolebend/internal/routing"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Config states by how much quotas may be exceeded.
type Config = quota.Config

// Server counts quotas in one control VM.
type Server struct {
	Config Config
	// Routing holds the declared organisations.
	Routing *routing.Store
	// Self names this control VM, Leader the leading control VM, empty if none is known. Leader
	// returns Self only while this control VM holds an unexpired lease.
	Self   string
	Leader func() string
	// Members returns the number of control VMs.
	Members func() int
	// Leases lets control VMs without a leader grant quotas; nil disables it.
	Leases *Leases
	Logger *slog.Logger

	mutex sync.Mutex
	state *quota.State
	start time.Time
	clock clockdrift.Drift
	// leads is set while this control VM leads; elected then has Run send the first requests of a
	// new leader without delay.
	leads   bool
	elected chan struct{}
}

// Prepare initialises the server; it must be called before any other method.
func (s *Server) Prepare() {
	s.state = quota.New(s.Config)
	s.start = time.Now()
	s.elected = make(chan struct{}, 1)
	if s.Leases != nil {
		s.Leases.prepare(s.Self, s.start)
	}
}

// leaderCheckInterval is the interval at which the leadership is checked: a bucket fills from the
// time at which this control VM began to lead, and not from the first request.
const leaderCheckInterval = 100 * time.Millisecond

// Run applies the declared organisations and the leadership until ctx ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(leaderCheckInterval)
	defer ticker.Stop()
	for {
		current, changed := s.Routing.Current()
		s.applyRouting(current)
		if !s.awaitChange(ctx, changed, ticker.C) {
			return
		}
	}
}

// awaitChange checks the leadership until the routing changes; false means that ctx has ended.
func (s *Server) awaitChange(ctx context.Context, changed <-chan struct{}, ticks <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-changed:
			return true
		case <-ticks:
			s.mutex.Lock()
			s.updateLeadership()
			s.mutex.Unlock()
			s.checkLeases(ctx)
		case <-s.elected:
			s.checkLeases(ctx)
		}
	}
}

func (s *Server) applyRouting(current routing.InForce) {
	if current.Version == 0 {
		return
	}
	var r oriolebend.Routing
	if err := cbor.Unmarshal(current.Encoded, &r); err != nil {
		s.Logger.Error("quotas not applied, the routing can't be decoded", "version", current.Version, "error", err)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.updateLeadership() // the size of a reserve depends on the number of control VMs
	s.reduce(quota.Declared{At: time.Now(), Organisations: r.Organisations})
}

// reduce passes an event to the reducer. The caller holds the mutex.
func (s *Server) reduce(e quota.Event) []reducer.Effect {
	return reducer.Reduce(&reducer.State{Quota: s.state}, e)
}

// Serve is the peer.Handler for forwarders. A session carries any number of requests.
func (s *Server) Serve(ctx context.Context, stream peer.Stream) {
	peer.ServeRequests(ctx, stream, func(request message.QuotaAsk) (message.QuotaAnswer, bool) {
		if request.Return {
			s.applyReturn(request)
			return message.QuotaAnswer{}, false
		}
		return s.answer(request), true
	})
}

func (s *Server) applyReturn(request message.QuotaAsk) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.updateLeadership()
	s.reduce(quota.Returned{At: time.Now(), Organisation: request.Organisation, Cost: request.Cost})
}

func (s *Server) answer(request message.QuotaAsk) message.QuotaAnswer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.updateLeadership()
	effects := s.reduce(quota.Requested{
		At: now, Organisation: request.Organisation, Cost: request.Cost, Call: request.Call, Late: request.Late,
		Rank: request.Rank,
	})
	a, _ := effects[0].(quota.Answer)
	answer := message.QuotaAnswer{
		ID: request.ID, Granted: a.Granted, Known: a.Exhausted, RetryAfter: a.RetryAfter, Left: a.Left, Since: a.Since, Reserved: a.Reserved,
	}
	s.addLease(&answer, now)
	return answer
}

// updateLeadership passes the current leadership, and jumps of the clock, to the reducers, and
// returns the time of both. The caller holds the mutex.
func (s *Server) updateLeadership() time.Time {
	now := time.Now()
	jumped := s.clock.Jumped(now.Sub(s.start), now)
	observed := quota.LeadershipObserved{At: now, Leader: s.Leader(), Members: s.Members()}
	observed.Lead = observed.Leader == s.Self
	if s.Leases != nil {
		observed.Leases = s.Leases.observe(now, observed.Leader, jumped)
	}
	s.reduce(observed)
	if jumped {
		s.reduce(quota.ClockJumped{At: now})
		s.Logger.Warn("quotas are counted anew, time has passed that the clock did not count")
	}
	if observed.Lead && !s.leads {
		select {
		case s.elected <- struct{}{}:
		default: // Run is already due to check
		}
	}
	s.leads = observed.Lead
	return now
}
