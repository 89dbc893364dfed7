package quota

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/forwarder"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// leaderWithin bounds the question to the leader, otherWithin those to others. Calls
	// that are to be answered within a tenth of a second wait for it.
	leaderWithin = 100 * time.Millisecond
	otherWithin  = 60 * time.Millisecond
	// others is how many other control VMs are asked.
	others = 3
	// awayFor is for how long a control VM that did not answer is asked last.
	awayFor = 300 * time.Millisecond
	// retryAway is when a caller may come back that nobody could count.
	retryAway = time.Second
)

// Client asks control VMs for quotas. It implements forwarder.Quotas.
type Client struct {
	Dialer peer.Dialer
	// Leader is the peer address of the control VM that leads, empty if none is known;
	// Controls are those that are reached now.
	Leader   func() string
	Controls func() []string
	Logger   *slog.Logger

	mutex sync.Mutex
	// away holds until when control VMs are asked last that did not answer.
	away  map[string]time.Time
	asked peer.RequestClient[message.QuotaAsk, message.QuotaAnswer]
}

var _ forwarder.Quotas = (*Client)(nil)

// Prepare makes the client ready; it must be called before all else.
func (c *Client) Prepare() {
	c.away = map[string]time.Time{}
	c.asked = peer.RequestClient[message.QuotaAsk, message.QuotaAnswer]{
		Dialer:   c.Dialer,
		Numbered: func(q message.QuotaAsk, number uint64) message.QuotaAsk { q.ID = number; return q },
		Number:   func(a message.QuotaAnswer) uint64 { return a.ID },
		Unwanted: func(q message.QuotaAsk, a message.QuotaAnswer) (message.Message, bool) {
			return returned(q.Organisation, q.Cost), a.Granted
		},
	}
}

// returned gives back what was granted and is not used.
func returned(organisation string, cost float64) message.QuotaAsk {
	return message.QuotaAsk{Organisation: organisation, Cost: cost, Return: true}
}

// Take implements forwarder.Quotas. It asks the leader, which alone knows what is left,
// and others only if that does not answer.
func (c *Client) Take(ctx context.Context, charge forwarder.Charge) (forwarder.Charge, forwarder.QuotaState, error) {
	ask := message.QuotaAsk{Organisation: charge.Organisation, Cost: charge.Cost, Call: charge.Call, Late: charge.Late}
	var state forwarder.QuotaState
	leader := c.Leader()
	for _, address := range c.order(charge.Organisation, leader) {
		answer, err := c.ask(ctx, address, address == leader, ask)
		if err != nil && ctx.Err() != nil {
			break
		}
		if err != nil {
			c.failed(address, err)
			continue
		}
		state = forwarder.QuotaState{CountedBy: address, Left: answer.Left, Since: answer.Since}
		if answer.Granted {
			charge.CountedBy = address
			return charge, state, nil
		}
		if answer.Known {
			return forwarder.Charge{}, state, &oriolebend.Problem{
				Reason: oriolebend.ReasonQuota, Ran: oriolebend.RanNo, RetryAfter: answer.RetryAfter,
			}
		}
	}
	return forwarder.Charge{}, state, &oriolebend.Problem{
		Reason: oriolebend.ReasonControlAway, Ran: oriolebend.RanNo, RetryAfter: retryAway,
	}
}

// order lists whom to ask: the leader, then some others, which differ between
// organisations so that all reserves are used. Those that did not answer come last.
func (c *Client) order(organisation, leader string) []string {
	controls := slices.DeleteFunc(c.Controls(), func(a string) bool { return a == leader })
	order := policy.Nearest(organisation, controls, others)
	if leader != "" {
		order = slices.Insert(order, 0, leader)
	}
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	away := func(a string) int {
		if now.Before(c.away[a]) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(order, func(a, b string) int { return away(a) - away(b) })
	return order
}

// failed notes that a control VM did not answer. Those who wait there go on to others.
func (c *Client) failed(address string, err error) {
	c.mutex.Lock()
	c.away[address] = time.Now().Add(awayFor)
	c.mutex.Unlock()
	c.asked.Drop(address)
	c.Logger.Info("quota not counted by a control VM", "control", address, "error", err)
}

// ask asks one control VM.
func (c *Client) ask(ctx context.Context, address string, leads bool, ask message.QuotaAsk) (message.QuotaAnswer, error) {
	within := otherWithin
	if leads {
		within = leaderWithin
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	return c.asked.Request(ctx, address, ask)
}

// Return implements forwarder.Quotas. What does not arrive is lost to the organisation
// until its bucket is full again.
func (c *Client) Return(charge forwarder.Charge) {
	c.asked.Send(charge.CountedBy, returned(charge.Organisation, charge.Cost))
}

// Close ends the sessions.
func (c *Client) Close() { c.asked.Close() }
