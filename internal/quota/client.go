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
	// leaderTimeout bounds a request to the leader, followerTimeout a request to another control
	// VM. Calls that must be answered within a tenth of a second wait for the answer.
	leaderTimeout   = 100 * time.Millisecond
	followerTimeout = 60 * time.Millisecond
	// maxFollowers is the number of other control VMs that are queried.
	maxFollowers = 3
	// unreachableFor is for how long a control VM that did not answer is queried last.
	unreachableFor = 300 * time.Millisecond
	// retryUncounted is the retry delay of a caller whose request no control VM could count.
	retryUncounted = time.Second
)

// Client requests quota units from control VMs. It implements forwarder.Quotas.
type Client struct {
	Dialer peer.Dialer
	// Leader returns the peer address of the leading control VM, empty if none is known;
	// Controls returns the addresses of the control VMs that are connected now.
	Leader   func() string
	Controls func() []string
	Logger   *slog.Logger

	mutex sync.Mutex
	// unreachable holds, for each control VM that did not answer, until when it is queried last.
	unreachable map[string]time.Time
	holders     holders
	requests    peer.RequestClient[message.QuotaAsk, message.QuotaAnswer]
}

var _ forwarder.Quotas = (*Client)(nil)

// Prepare initialises the client; it must be called before any other method.
func (c *Client) Prepare() {
	c.unreachable = map[string]time.Time{}
	c.holders.named = map[string]time.Time{}
	c.requests = peer.RequestClient[message.QuotaAsk, message.QuotaAnswer]{
		Dialer:   c.Dialer,
		Numbered: func(q message.QuotaAsk, number uint64) message.QuotaAsk { q.ID = number; return q },
		Number:   func(a message.QuotaAnswer) uint64 { return a.ID },
		Unwanted: func(q message.QuotaAsk, a message.QuotaAnswer) (message.Message, bool) {
			return returnMessage(q.Organisation, q.Cost), a.Granted
		},
	}
}

// returnMessage returns the message that gives back granted units that were not used.
func returnMessage(organisation string, cost float64) message.QuotaAsk {
	return message.QuotaAsk{Organisation: organisation, Cost: cost, Return: true}
}

// Take implements forwarder.Quotas. It queries the leader, which alone knows how much of the quota
// is left, and other control VMs only if the leader does not answer. Without a leader it queries the
// holders of quota leases first.
func (c *Client) Take(ctx context.Context, charge forwarder.Charge) (forwarder.Charge, forwarder.QuotaState, error) {
	request := message.QuotaAsk{Organisation: charge.Organisation, Cost: charge.Cost, Call: charge.Call, Late: charge.Late, Rank: charge.Rank}
	var state forwarder.QuotaState
	refusal := &oriolebend.Problem{Reason: oriolebend.ReasonControlAway, Ran: oriolebend.RanNo, RetryAfter: retryUncounted}
	leader := c.Leader()
	queue := c.order(charge.Organisation, leader)
	for i := 0; i < len(queue); i++ {
		address := queue[i]
		answer, err := c.request(ctx, address, address == leader, request)
		if err != nil && ctx.Err() != nil {
			break
		}
		if err != nil {
			c.markUnreachable(address, err)
			continue
		}
		state = forwarder.QuotaState{CountedBy: address, Left: answer.Left, Since: answer.Since, Reserved: answer.Reserved}
		if answer.Granted {
			charge.CountedBy = address
			return charge, state, nil
		}
		if answer.Known {
			refusal = soonerRefusal(refusal, answer.RetryAfter)
		}
		queue = c.queueAfter(ctx, charge.Organisation, queue, i+1, answer)
	}
	return forwarder.Charge{}, state, refusal
}

// soonerRefusal returns the refusal for lack of quota with the shorter retry delay: the caller can be
// served by any control VM that has promised it a time.
func soonerRefusal(refusal *oriolebend.Problem, after time.Duration) *oriolebend.Problem {
	if refusal.Reason == oriolebend.ReasonQuota && refusal.RetryAfter <= after {
		return refusal
	}
	return &oriolebend.Problem{Reason: oriolebend.ReasonQuota, Ran: oriolebend.RanNo, RetryAfter: after}
}

// order lists the control VMs to query: the leader, then the holders of quota leases, then some
// others, which differ between organisations so that all reserves are used. Control VMs that did not
// answer recently come last.
func (c *Client) order(organisation, leader string) []string {
	controls := slices.DeleteFunc(c.Controls(), func(a string) bool { return a == leader })
	order := policy.Nearest(organisation, controls, maxFollowers)
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, holder := range c.holders.list(now) {
		order = queueNext(order, 0, holder)
	}
	if leader != "" {
		order = queueNext(order, 0, leader)
	}
	rank := func(a string) int {
		if now.Before(c.unreachable[a]) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(order, func(a, b string) int { return rank(a) - rank(b) })
	return order
}

// reachable reports whether a control VM has not failed to answer recently.
func (c *Client) reachable(address string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !time.Now().Before(c.unreachable[address])
}

// markUnreachable records that a control VM did not answer, and closes its session. Requests that
// wait there continue with another control VM.
func (c *Client) markUnreachable(address string, err error) {
	c.mutex.Lock()
	c.unreachable[address] = time.Now().Add(unreachableFor)
	c.mutex.Unlock()
	c.requests.Drop(address)
	c.Logger.Info("quota not counted by a control VM", "control", address, "error", err)
}

// request sends a request to one control VM and waits for the answer.
func (c *Client) request(ctx context.Context, address string, leads bool, request message.QuotaAsk) (message.QuotaAnswer, error) {
	timeout := followerTimeout
	if leads {
		timeout = leaderTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := c.requests.Request(ctx, address, request)
	if err == nil && (!leads || answer.Holder != "" || answer.Share > 0) {
		c.noteHolder(address, answer)
	}
	return answer, err
}

// Return implements forwarder.Quotas. If the message is lost, the organisation lacks the units
// until its bucket is full again.
func (c *Client) Return(charge forwarder.Charge) {
	c.requests.Send(charge.CountedBy, returnMessage(charge.Organisation, charge.Cost))
}

// Close closes the sessions.
func (c *Client) Close() { c.requests.Close() }
