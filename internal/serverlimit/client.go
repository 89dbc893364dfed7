package serverlimit

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/forwarder"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
)

const (
	// requestTimeout bounds one request to the leader. Calls that must be answered within a tenth
	// of a second wait for it.
	requestTimeout = 100 * time.Millisecond
	// unreachableFor is for how long the leader is not queried after it did not answer or did not
	// count: each query may delay a call by requestTimeout.
	unreachableFor = time.Second
)

// Client requests permissions from the leading control VM. It implements forwarder.Limits.
type Client struct {
	Dialer peer.Dialer
	// Leader returns the peer address of the leading control VM, empty if none is known.
	Leader func() string
	Logger *slog.Logger

	mutex sync.Mutex
	// unreachable is the address of the control VM that last failed to answer or to count, and
	// unreachableUntil is the time until which it is not queried.
	unreachableUntil time.Time
	unreachable      string
	requests         peer.RequestClient[message.LimitAsk, message.LimitAnswer]
}

var _ forwarder.Limits = (*Client)(nil)

// Prepare initialises the client; it must be called before any other method.
func (c *Client) Prepare() {
	c.requests = peer.RequestClient[message.LimitAsk, message.LimitAnswer]{
		Dialer:   c.Dialer,
		Numbered: func(q message.LimitAsk, number uint64) message.LimitAsk { q.ID = number; return q },
		Number:   func(a message.LimitAnswer) uint64 { return a.ID },
		Unwanted: func(q message.LimitAsk, a message.LimitAnswer) (message.Message, bool) {
			return message.LimitAsk{Step: message.LimitReturned, Server: q.Server}, a.Granted && !a.Ended
		},
	}
}

// Permit implements forwarder.Limits. Without a control VM that counts, nothing is permitted: if
// each forwarder allowed itself a part of the limit, all together could exceed it, and no forwarder
// could detect that.
func (c *Client) Permit(ctx context.Context, request forwarder.PermissionRequest) forwarder.Permission {
	leader := c.Leader()
	if wait := c.backoff(leader); wait > 0 {
		return forwarder.Permission{After: wait}
	}
	requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	answer, err := c.requests.Request(requestCtx, leader, message.LimitAsk{
		Step: message.LimitAsked, Server: request.Server.Start(), PerSecond: request.PerSecond, Age: request.Age,
	})
	switch {
	case err != nil && ctx.Err() != nil:
		return forwarder.Permission{} // the caller cancelled the request, which says nothing about the server
	case err != nil:
		c.requests.Drop(leader)
		c.Logger.Info("no control VM counts for a limited server", "control", leader, "server", request.Server.Instance, "error", err)
		fallthrough
	case !answer.Counted:
		return forwarder.Permission{After: c.markUnreachable(leader)}
	}
	return forwarder.Permission{Granted: answer.Granted, Ended: answer.Ended, After: answer.After}
}

// backoff returns for how long the leader must not be queried.
func (c *Client) backoff(leader string) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if leader == "" {
		return unreachableFor
	}
	if leader != c.unreachable {
		return 0
	}
	return time.Until(c.unreachableUntil)
}

// markUnreachable records that a control VM did not answer or did not count, and returns for how long
// it is not queried.
func (c *Client) markUnreachable(leader string) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unreachable, c.unreachableUntil = leader, time.Now().Add(unreachableFor)
	return unreachableFor
}

// Return implements forwarder.Limits.
func (c *Client) Return(server message.BackendServer) {
	c.requests.Send(c.Leader(), message.LimitAsk{Step: message.LimitReturned, Server: server.Start()})
}

// Ended implements forwarder.Limits. A forwarder that has never requested a permission has no
// session over which to report the end of a limit; the other forwarders then detect it by their own
// requests.
func (c *Client) Ended(server message.BackendServer, age time.Duration) {
	c.requests.Send(c.Leader(), message.LimitAsk{Step: message.LimitEnded, Server: server.Start(), Age: age})
}

// Close closes the sessions.
func (c *Client) Close() { c.requests.Close() }
