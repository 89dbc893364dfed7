package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/serverlimit"
)

// ownLimits counts in a forwarder that is alone.
type ownLimits struct {
	mutex sync.Mutex
	state *serverlimit.State
}

var _ Limits = (*ownLimits)(nil)

func newOwnLimits() *ownLimits {
	l := &ownLimits{state: serverlimit.New()}
	serverlimit.Reduce(l.state, serverlimit.LeadershipObserved{At: time.Now(), Lead: true})
	return l
}

func (l *ownLimits) reduce(e serverlimit.Event) []serverlimit.Answer {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return serverlimit.Reduce(l.state, e)
}

// Permit implements Limits.
func (l *ownLimits) Permit(_ context.Context, ask LimitAsk) Permission {
	now := time.Now()
	a := l.reduce(serverlimit.Requested{At: now, Server: ask.Server.Start(), PerSecond: ask.PerSecond, ReportedAt: now.Add(-ask.Age)})[0]
	return Permission{Granted: a.Granted, Ended: a.Unlimited, After: a.RetryAfter}
}

// Return implements Limits.
func (l *ownLimits) Return(server message.BackendServer) {
	l.reduce(serverlimit.Returned{At: time.Now(), Server: server.Start()})
}

// Ended implements Limits.
func (l *ownLimits) Ended(server message.BackendServer, age time.Duration) {
	now := time.Now()
	l.reduce(serverlimit.LimitLifted{At: now, Server: server.Start(), Sent: now.Add(-age)})
}
