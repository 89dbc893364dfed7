package control

import (
	"context"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// backlogWorkers is the number of requests from the backlog that are sent concurrently.
const backlogWorkers = 4

// enqueue adds a request to the backlog, from which it is sent again in the background. It reports
// false if the backlog is full.
//
// A lease belongs to the entry and not to a record. Without the backlog, a record whose claim or
// outcome was abandoned would stay open for as long as the entry lives, and retries of its caller
// would attach to an owner that does not process the request.
func (c *Client) enqueue(m message.Message) bool {
	select {
	case c.backlog <- m:
		return true
	default:
		c.config.Dropped()
		return false
	}
}

// markOwned records that this entry owns the record of a claim. A later claim with the same id is a
// renewal, whose failure must not close the running request.
func (c *Client) markOwned(requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owned[requestID] = true
}

func (c *Client) unmarkOwned(requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.owned, requestID)
}

// abandonClaim has the backlog close a claim, unless the claim was a renewal. Its request id can't
// be used again: a second claim with it could be dispatched just as the backlog settles it as not
// run.
func (c *Client) abandonClaim(m message.Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owned[m.RequestID] {
		return
	}
	if c.enqueue(m) {
		c.abandoned[m.RequestID] = true
	}
}

func (c *Client) isAbandoned(requestID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.abandoned[requestID]
}

// runBacklog sends the requests of the backlog until a quorum has answered them. After the end of
// ctx it continues until the backlog is empty, at most for FlushTimeout.
func (c *Client) runBacklog(ctx context.Context) {
	flush, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(c.config.FlushTimeout, cancel) })
	defer stop()
	for {
		select {
		case m := <-c.backlog:
			c.sendUntilAnswered(flush, m)
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return
		case m := <-c.backlog:
			c.sendUntilAnswered(flush, m)
		}
	}
}

// sendUntilAnswered sends one request until it is answered, and then the request that closes it, if
// there is one.
func (c *Client) sendUntilAnswered(ctx context.Context, m message.Message) {
	for next := m; ctx.Err() == nil; {
		answer, err := c.send(ctx, next)
		if err != nil {
			continue
		}
		next = closingSettle(next, answer)
		if next == nil {
			c.forgetAbandoned(m)
			return
		}
	}
}

func (c *Client) forgetAbandoned(m message.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if claim, ok := m.(message.Claim); ok {
		delete(c.abandoned, claim.RequestID)
	}
}

// closingSettle returns the settle that closes an abandoned claim, if the answer shows that this
// entry owns the record, and nil otherwise. It closes the record only if that is still claimed.
func closingSettle(m, answer message.Message) message.Message {
	claim, isClaim := m.(message.Claim)
	claimed, isAnswer := answer.(message.ClaimAnswer)
	if !isClaim || !isAnswer || claimed.Outcome != message.ClaimOwned {
		return nil
	}
	return message.Settle{
		RequestID: claimed.RequestID,
		Scope:     claim.Scope,
		Owner:     claim.Owner,
		Attempt:   message.AnyAttempt,
		State:     message.RecordNotRun,
		Answer:    &message.Answer{Reason: oriolebend.ReasonControlAway},
	}
}
