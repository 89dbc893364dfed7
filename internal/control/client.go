package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/pause"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Defaults of ClientConfig.
const (
	defaultLeaseFor = 6 * time.Second
	defaultTryFor   = time.Second
	defaultGiveUp   = 5 * time.Second
	defaultBackoff  = 20 * time.Millisecond
	defaultMaxWait  = time.Second
	defaultBacklog  = 4096
	defaultFlushFor = 5 * time.Second
	// renewalsPerLease is how often an owner renews within one lease, so that
	// two lost renewals don't end it.
	renewalsPerLease = 3
	// shortestTry is the part of TryFor that a last try needs at least.
	shortestTry = 10
)

// ClientConfig sets up a Client.
type ClientConfig struct {
	// Dialer opens streams to the control VMs.
	Dialer peer.Dialer
	// Members are the peer addresses of all control VMs.
	Members []string
	// Owner is the name and start of this entry; no two starts share it.
	Owner string
	// OwnerAddress is where other entries reach this one.
	OwnerAddress string
	// LeaseFor is how long what this entry holds outlives its last sign of
	// life, and how long a retry waits after this entry died; zero means 6s.
	LeaseFor time.Duration
	// TryTimeout is how long one control VM may take before another is asked; zero
	// means 1s.
	TryTimeout time.Duration
	// CallTimeout bounds a call whose context has no deadline; zero means 5s.
	CallTimeout time.Duration
	// Backoff is the largest first wait between tries; it doubles up to
	// MaxWait. Zero means 20ms and 1s.
	Backoff time.Duration
	MaxBackoff time.Duration
	// Backlog bounds the claims and outcomes that are sent again in the
	// background; zero means 4,096.
	Backlog int
	// FlushTimeout is how long a stopping client goes on with its backlog; zero
	// means 5s.
	FlushTimeout time.Duration
	// Retried is told the reason of each retry, for a counter; it may be nil.
	Retried func(oriolebend.Reason)
	// Dropped is told of each request that the backlog had no room for; the
	// record then stays open for as long as this entry lives. It may be nil.
	Dropped func()
}

func (c ClientConfig) withDefaults() ClientConfig {
	c.LeaseFor = orDefault(c.LeaseFor, defaultLeaseFor)
	c.TryTimeout = orDefault(c.TryTimeout, defaultTryFor)
	c.CallTimeout = orDefault(c.CallTimeout, defaultGiveUp)
	c.Backoff = orDefault(c.Backoff, defaultBackoff)
	c.MaxBackoff = orDefault(c.MaxBackoff, defaultMaxWait)
	c.Backlog = orDefault(c.Backlog, defaultBacklog)
	c.FlushTimeout = orDefault(c.FlushTimeout, defaultFlushFor)
	if c.Retried == nil {
		c.Retried = func(oriolebend.Reason) {}
	}
	if c.Dropped == nil {
		c.Dropped = func() {}
	}
	return c
}

// Client asks the control VMs on behalf of one entry. Its methods may be used
// by many goroutines; Run must be running. Errors are *oriolebend.Problem
// values.
type Client struct {
	config  ClientConfig
	backlog chan message.Message

	mu      sync.Mutex
	ticket  uint64
	session *clientSession
	dialing *dialing
	member  int
	// givenUp holds the request ids of claims that the backlog closes.
	givenUp map[string]bool
	// held holds those of claims that this entry owns and has not settled.
	held map[string]bool
}

// NewClient returns a client; it opens no stream before it is used.
func NewClient(c ClientConfig) *Client {
	c = c.withDefaults()
	return &Client{
		config:  c,
		backlog: make(chan message.Message, c.Backlog),
		givenUp: map[string]bool{},
		held:    map[string]bool{},
	}
}

// Run renews the entry's lease and sends again what calls gave up on, until
// ctx ends and the backlog is empty or FlushFor has passed; then it tells the
// control VMs that this owner holds nothing any more, so that nobody waits for
// its lease.
func (c *Client) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range backlogWorkers {
		workers.Go(func() { c.workBacklog(ctx) })
	}
	c.renewLease(ctx)
	workers.Wait()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.config.TryTimeout)
	defer cancel()
	_, _ = c.ask(last, c.renewal(true))
	c.close()
}

func (c *Client) renewal(ended bool) message.Renew {
	return message.Renew{
		Owner:    c.config.Owner,
		Address:  c.config.OwnerAddress,
		LeaseFor: c.config.LeaseFor,
		Ended:    ended,
	}
}

func (c *Client) renewLease(ctx context.Context) {
	ticker := time.NewTicker(c.config.LeaseFor / renewalsPerLease)
	defer ticker.Stop()
	for {
		_, _ = c.ask(ctx, c.renewal(false))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Claim asks for the ownership of a scope. Owner, address and lease are filled
// in from the configuration where the claim leaves them empty.
//
// The problem's Ran is "no" only if no control VM was sent the claim. Otherwise
// the record may stand claimed in this entry's name: the entry must not
// dispatch, and the client closes the record as not run in the background. A
// caller that gave a key of its own may have run the request before through
// another entry; a claim that failed says nothing about that. A new try needs
// a new request id.
func (c *Client) Claim(ctx context.Context, m message.Claim) (message.ClaimAnswer, error) {
	if m.Owner == "" {
		m.Owner = c.config.Owner
	}
	if m.OwnerAddress == "" {
		m.OwnerAddress = c.config.OwnerAddress
	}
	if m.LeaseFor == 0 {
		m.LeaseFor = c.config.LeaseFor
	}
	if c.wasGivenUp(m.RequestID) {
		return message.ClaimAnswer{}, &oriolebend.Problem{Reason: oriolebend.ReasonAttemptClosed, Ran: oriolebend.RanNo}
	}
	answer, failed := c.ask(ctx, m)
	if failed != nil {
		if failed.Ran != oriolebend.RanNo {
			c.giveUp(m)
		}
		return message.ClaimAnswer{}, failed
	}
	claimed, err := answerAs[message.ClaimAnswer](answer)
	if err != nil {
		return message.ClaimAnswer{}, err
	}
	if claimed.Outcome == message.ClaimRefused {
		return claimed, &oriolebend.Problem{
			Reason:     claimed.Reason,
			Ran:        oriolebend.RanNo,
			RequestID:  m.RequestID,
			RetryAfter: c.config.MaxBackoff,
		}
	}
	if claimed.Outcome == message.ClaimOwned {
		c.hold(m.RequestID)
	}
	return claimed, nil
}

// Settle moves a record on. After an error the move may still come to hold;
// before a dispatch the entry must then not dispatch. A final state is sent
// again in the background until a quorum took or refused it.
func (c *Client) Settle(ctx context.Context, m message.Settle) (message.Settled, error) {
	if m.Owner == "" {
		m.Owner = c.config.Owner
	}
	if m.State != message.RecordRunning {
		c.release(m.RequestID)
	}
	answer, err := c.ask(ctx, m)
	if err != nil {
		if m.State != message.RecordRunning {
			c.later(m)
		}
		return message.Settled{}, err
	}
	return answerAs[message.Settled](answer)
}

// Query looks a record up. Its answer is current: the leader confirms with a
// quorum that it leads.
func (c *Client) Query(ctx context.Context, m message.Query) (message.ClaimAnswer, error) {
	answer, err := c.ask(ctx, m)
	if err != nil {
		return message.ClaimAnswer{}, err
	}
	return answerAs[message.ClaimAnswer](answer)
}

// answerAs returns an answer as the kind that its request is answered by.
func answerAs[T message.Message](m message.Message) (T, error) {
	answer, ok := m.(T)
	if !ok {
		return answer, &oriolebend.Problem{
			Reason: oriolebend.ReasonInternal,
			Ran:    oriolebend.RanUnknown,
			Detail: "unexpected answer of kind " + string(m.Kind()),
		}
	}
	return answer, nil
}

// ask sends a request until it is answered or ctx ends. It goes on to another
// control VM when one refuses, ends or stays silent.
func (c *Client) ask(ctx context.Context, m message.Message) (message.Message, *oriolebend.Problem) {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.config.CallTimeout)
		defer cancel()
	}
	ticket := c.nextTicket()
	m = withTicket(m, ticket)
	p := &oriolebend.Problem{Reason: oriolebend.ReasonControlAway, Ran: oriolebend.RanNo, RetryAfter: c.config.MaxBackoff}
	for try := 0; ; try++ {
		answer, failed := c.try(ctx, ticket, m)
		if failed == nil {
			return answer, nil
		}
		if failed.Ran != oriolebend.RanNo {
			p.Ran = oriolebend.RanUnknown
		}
		p.Detail = string(failed.Reason)
		p.Cause = failed.Cause
		gap := c.wait(try, failed)
		if !c.fits(ctx, gap) || !pause.For(ctx, gap) {
			return nil, p
		}
		c.config.Retried(failed.Reason)
	}
}

// fits reports whether another try has time after the pause. A try that is cut
// short right after it was sent would only turn a sure "no" into "unknown", and
// keep the caller waiting until its deadline for an answer that is known now.
func (c *Client) fits(ctx context.Context, pause time.Duration) bool {
	deadline, bounded := ctx.Deadline()
	if ctx.Err() != nil {
		return false
	}
	return !bounded || time.Until(deadline) > pause+c.config.TryTimeout/shortestTry
}

// wait is the time before the next try, with full jitter: entries that lost
// the same leader at the same instant must not all come back at the same one.
func (c *Client) wait(try int, failed *oriolebend.Problem) time.Duration {
	if try == 0 && failed.Reason == oriolebend.ReasonNotLeader {
		return 0
	}
	limit := c.config.MaxBackoff
	if try < 16 {
		limit = min(limit, c.config.Backoff<<try)
	}
	return rand.N(limit)
}

func (c *Client) nextTicket() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ticket++
	return c.ticket
}

func withTicket(m message.Message, ticket uint64) message.Message {
	switch t := m.(type) {
	case message.Claim:
		t.Ticket = ticket
		return t
	case message.Settle:
		t.Ticket = ticket
		return t
	case message.Query:
		t.Ticket = ticket
		return t
	case message.Renew:
		t.Ticket = ticket
		return t
	default:
		return m
	}
}

func ticketOf(m message.Message) uint64 {
	switch t := m.(type) {
	case message.Claim:
		return t.Ticket
	case message.Settle:
		return t.Ticket
	case message.Query:
		return t.Ticket
	case message.Renew:
		return t.Ticket
	case message.Refusal:
		return t.Ticket
	case message.ClaimAnswer:
		return t.Ticket
	case message.Settled:
		return t.Ticket
	case message.Renewed:
		return t.Ticket
	default:
		return 0
	}
}
