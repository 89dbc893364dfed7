package control

import (
	"context"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// backlogWorkers is how many requests of the backlog are sent at a time.
const backlogWorkers = 4

// later has a request sent again in the background.
//
// The lease is the entry's and not the record's, so a record whose claim or
// outcome was given up would stay open for as long as the entry lives: retries
// of its caller would attach to work that nobody does.
func (c *Client) later(m message.Message) bool {
	select {
	case c.backlog <- m:
		return true
	default:
		c.config.Dropped()
		return false
	}
}

// hold notes that the record of a claim is this entry's: a later claim with the
// same id is a renewal, whose failure must not close what runs.
func (c *Client) hold(requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[requestID] = true
}

func (c *Client) release(requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.held, requestID)
}

// giveUp has the backlog close a claim, unless it was a renewal. Its request id is spent: a second
// claim with it could be dispatched just as the backlog tells that it was not.
func (c *Client) giveUp(m message.Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held[m.RequestID] {
		return
	}
	if c.later(m) {
		c.givenUp[m.RequestID] = true
	}
}

func (c *Client) wasGivenUp(requestID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.givenUp[requestID]
}

// workBacklog sends what calls gave up on until a quorum has answered it. Once
// ctx has ended it goes on until the backlog is empty, at most for FlushFor.
func (c *Client) workBacklog(ctx context.Context) {
	flush, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(c.config.FlushTimeout, cancel) })
	defer stop()
	for {
		select {
		case m := <-c.backlog:
			c.finish(flush, m)
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return
		case m := <-c.backlog:
			c.finish(flush, m)
		}
	}
}

// finish sends one request until it is answered, and then what follows of it.
func (c *Client) finish(ctx context.Context, m message.Message) {
	for next := m; ctx.Err() == nil; {
		answer, err := c.ask(ctx, next)
		if err != nil {
			continue
		}
		next = closing(next, answer)
		if next == nil {
			c.finished(m)
			return
		}
	}
}

func (c *Client) finished(m message.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if claim, ok := m.(message.Claim); ok {
		delete(c.givenUp, claim.RequestID)
	}
}

// closing returns the settle that closes a claim which nobody waits for any
// more, if it turned out to be owned by this entry. It closes only what is
// still claimed.
func closing(m, answer message.Message) message.Message {
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
