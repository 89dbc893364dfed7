package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/serverlimit"
)

// localLimits counts requests for server limits within this forwarder alone.
type localLimits struct {
	mutex sync.Mutex
	state *serverlimit.State
}

var _ Limits = (*localLimits)(nil)

func newLocalLimits() *localLimits {
	l := &localLimits{state: serverlimit.New()}
	serverlimit.Reduce(l.state, serverlimit.LeadershipObserved{At: time.Now(), Lead: true})
	return l
}

func (l *localLimits) reduce(e serverlimit.Event) []serverlimit.Answer {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return serverlimit.Reduce(l.state, e)
}

// Permit implements Limits.
func (l *localLimits) Permit(_ context.Context, request PermissionRequest) Permission {
	now := time.Now()
	a := l.reduce(serverlimit.Requested{At: now, Server: request.Server.Start(), PerSecond: request.PerSecond, ReportedAt: now.Add(-request.Age)})[0]
	return Permission{Granted: a.Granted, Ended: a.Unlimited, After: a.RetryAfter}
}

// Return implements Limits.
func (l *localLimits) Return(server message.BackendServer) {
	l.reduce(serverlimit.Returned{At: time.Now(), Server: server.Start()})
}

// Ended implements Limits.
func (l *localLimits) Ended(server message.BackendServer, age time.Duration) {
	now := time.Now()
	l.reduce(serverlimit.LimitLifted{At: now, Server: server.Start(), Sent: now.Add(-age)})
}
