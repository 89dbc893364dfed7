// Package serverlimit counts, in the leading control VM, the requests that all forwarders send to
// backend servers that have reported a limit; forwarders request permissions from it.
package serverlimit

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/clockdrift"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/pause"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer"
	"github.com/oriolebend/oriolebend/internal/reducer/serverlimit"
)

// Server counts, in one control VM while it leads, the requests to backend servers with a limit.
type Server struct {
	// Leads reports whether this control VM holds an unexpired lease, and Term returns the term
	// of the leadership.
	Leads  func() bool
	Term   func() uint64
	Logger *slog.Logger

	mutex sync.Mutex
	state *serverlimit.State
	start time.Time
	clock clockdrift.Drift
}

// Prepare initialises the server; it must be called before any other method.
func (s *Server) Prepare() {
	s.state = serverlimit.New()
	s.start = time.Now()
}

// summaryInterval is the interval at which the counts are logged, if there were any requests.
const summaryInterval = time.Second

// Run logs the counts until ctx ends.
func (s *Server) Run(ctx context.Context) {
	for pause.For(ctx, summaryInterval) {
		s.mutex.Lock()
		s.updateLeadership()
		list := s.state.Summarize()
		s.mutex.Unlock()
		for _, summary := range list {
			s.Logger.Info("server limited", "server", summary.Server.Instance, "perSecond", summary.PerSecond, "granted", summary.Granted, "refused", summary.Refused)
		}
	}
}

// Serve is the peer.Handler for forwarders. A session carries any number of requests.
func (s *Server) Serve(ctx context.Context, stream peer.Stream) {
	peer.ServeRequests(ctx, stream, s.handle)
}

// handle passes one message of a forwarder to the reducer and returns the answer, if the message
// needs one.
func (s *Server) handle(m message.LimitAsk) (message.LimitAnswer, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.updateLeadership()
	now := time.Now()
	switch m.Step {
	case message.LimitReturned:
		s.reduce(serverlimit.Returned{At: now, Server: m.Server})
		return message.LimitAnswer{}, false
	case message.LimitEnded:
		s.reduce(serverlimit.LimitLifted{At: now, Server: m.Server, Sent: now.Add(-m.Age)})
		return message.LimitAnswer{}, false
	}
	effects := s.reduce(serverlimit.Requested{At: now, Server: m.Server, PerSecond: m.PerSecond, ReportedAt: now.Add(-m.Age)})
	a, _ := effects[0].(serverlimit.Answer)
	return message.LimitAnswer{ID: m.ID, Counted: a.Counted, Granted: a.Granted, Ended: a.Unlimited, After: a.RetryAfter}, true
}

// Limited reports whether a server has a limit, according to this control VM's accounting.
func (s *Server) Limited(server message.BackendServer) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Limited(time.Now(), server.Start())
}

// updateLeadership passes the current leadership, and jumps of the clock, to the reducer. The
// caller holds the mutex.
func (s *Server) updateLeadership() {
	now := time.Now()
	jumped := s.clock.Jumped(now.Sub(s.start), now)
	s.reduce(serverlimit.LeadershipObserved{At: now, Lead: s.Leads(), Term: s.Term(), ClockJumped: jumped})
}

// reduce passes an event to the reducer. The caller holds the mutex.
func (s *Server) reduce(e serverlimit.Event) []reducer.Effect {
	return reducer.Reduce(&reducer.State{ServerLimit: s.state}, e)
}
