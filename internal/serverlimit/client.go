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
	// askWithin bounds one question. Calls that are to be answered within a tenth of a second
	// wait for it.
	askWithin = 100 * time.Millisecond
	// awayFor is for how long nobody is asked after no answer came: each question costs a
	// request askWithin.
	awayFor = time.Second
)

// Client asks the leading control VM. It implements forwarder.Limits.
type Client struct {
	Dialer peer.Dialer
	// Leader is the peer address of the control VM that leads, empty if none is known.
	Leader func() string
	Logger *slog.Logger

	mutex sync.Mutex
	// away is until when the control VM awayAt is not asked, which did not answer.
	away   time.Time
	awayAt string
	asked  peer.RequestClient[message.LimitAsk, message.LimitAnswer]
}

var _ forwarder.Limits = (*Client)(nil)

// Prepare makes the client ready; it must be called before all else.
func (c *Client) Prepare() {
	c.asked = peer.RequestClient[message.LimitAsk, message.LimitAnswer]{
		Dialer:   c.Dialer,
		Numbered: func(q message.LimitAsk, number uint64) message.LimitAsk { q.ID = number; return q },
		Number:   func(a message.LimitAnswer) uint64 { return a.ID },
		Unwanted: func(q message.LimitAsk, a message.LimitAnswer) (message.Message, bool) {
			return message.LimitAsk{Step: message.LimitReturned, Server: q.Server}, a.Granted && !a.Ended
		},
	}
}

// Permit implements forwarder.Limits. Without a control VM that counts nothing is permitted:
// forwarders that each allowed themselves a part would send more together than any of them
// can know.
func (c *Client) Permit(ctx context.Context, ask forwarder.PermissionRequest) forwarder.Permission {
	leader := c.Leader()
	if wait := c.waits(leader); wait > 0 {
		return forwarder.Permission{After: wait}
	}
	asking, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	answer, err := c.asked.Request(asking, leader, message.LimitAsk{
		Step: message.LimitAsked, Server: ask.Server.Start(), PerSecond: ask.PerSecond, Age: ask.Age,
	})
	switch {
	case err != nil && ctx.Err() != nil:
		return forwarder.Permission{} // the caller has left, which tells nothing of the server
	case err != nil:
		c.asked.Drop(leader)
		c.Logger.Info("no control VM counts for a limited server", "control", leader, "server", ask.Server.Instance, "error", err)
		fallthrough
	case !answer.Counted:
		return forwarder.Permission{After: c.isAway(leader)}
	}
	return forwarder.Permission{Granted: answer.Granted, Ended: answer.Ended, After: answer.After}
}

// waits is for how long the control VM that leads is not to be asked.
func (c *Client) waits(leader string) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if leader == "" {
		return awayFor
	}
	if leader != c.awayAt {
		return 0
	}
	return time.Until(c.away)
}

// isAway has a control VM not be asked for a while.
func (c *Client) isAway(leader string) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.awayAt, c.away = leader, time.Now().Add(awayFor)
	return awayFor
}

// Return implements forwarder.Limits.
func (c *Client) Return(server message.BackendServer) {
	c.asked.Send(c.Leader(), message.LimitAsk{Step: message.LimitReturned, Server: server.Start()})
}

// Ended implements forwarder.Limits. A forwarder that never asked has no session to tell it
// over; others learn it by their own requests then.
func (c *Client) Ended(server message.BackendServer, age time.Duration) {
	c.asked.Send(c.Leader(), message.LimitAsk{Step: message.LimitEnded, Server: server.Start(), Age: age})
}

// Close ends the sessions.
func (c *Client) Close() { c.asked.Close() }
