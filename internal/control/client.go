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

// Default values of the fields of ClientConfig.
const (
	defaultLeaseFor     = 6 * time.Second
	defaultTryTimeout   = time.Second
	defaultCallTimeout  = 5 * time.Second
	defaultBackoff      = 20 * time.Millisecond
	defaultMaxBackoff   = time.Second
	defaultBacklog      = 4096
	defaultFlushTimeout = 5 * time.Second
	// renewalsPerLease is the number of renewals that an owner sends within one lease, so that the
	// loss of two does not end the lease.
	renewalsPerLease = 3
	// minTryDivisor sets the minimum time for a last try, as a fraction of TryTimeout.
	minTryDivisor = 10
)

// ClientConfig configures a Client. Dialer, Members and Owner are required.
type ClientConfig struct {
	// Dialer opens streams to the control VMs.
	Dialer peer.Dialer
	// Members are the peer addresses of all control VMs.
	Members []string
	// Owner is the name and incarnation of this entry; no two incarnations share it.
	Owner string
	// OwnerAddress is the address at which other entries reach this one.
	OwnerAddress string
	// LeaseFor is the duration of the lease under which this entry owns records, counted from its
	// last claim, settle or renewal: how long the records stay owned after a crash of the entry,
	// and so how long a retry waits then. Zero means 6s.
	LeaseFor time.Duration
	// TryTimeout is the timeout of a request to one control VM, after which another one is tried;
	// zero means 1s.
	TryTimeout time.Duration
	// CallTimeout bounds a call whose context has no deadline; zero means 5s.
	CallTimeout time.Duration
	// Backoff is the upper limit of the random delay before the second try; it doubles with each
	// try up to MaxBackoff. Zero means 20ms and 1s.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// Backlog bounds the claims and outcomes that wait to be sent again in the background; zero
	// means 4,096.
	Backlog int
	// FlushTimeout is how long a stopping client continues to send its backlog; zero means 5s.
	FlushTimeout time.Duration
	// Retried is called with the reason of each retry, for a counter; it may be nil.
	Retried func(oriolebend.Reason)
	// Dropped is called for each request that was dropped because the backlog was full; the record
	// then stays open for as long as this entry lives. It may be nil.
	Dropped func()
}

func (c ClientConfig) withDefaults() ClientConfig {
	c.LeaseFor = orDefault(c.LeaseFor, defaultLeaseFor)
	c.TryTimeout = orDefault(c.TryTimeout, defaultTryTimeout)
	c.CallTimeout = orDefault(c.CallTimeout, defaultCallTimeout)
	c.Backoff = orDefault(c.Backoff, defaultBackoff)
	c.MaxBackoff = orDefault(c.MaxBackoff, defaultMaxBackoff)
	c.Backlog = orDefault(c.Backlog, defaultBacklog)
	c.FlushTimeout = orDefault(c.FlushTimeout, defaultFlushTimeout)
	if c.Retried == nil {
		c.Retried = func(oriolebend.Reason) {}
	}
	if c.Dropped == nil {
		c.Dropped = func() {}
	}
	return c
}

// Client sends requests to the control VMs on behalf of one entry. Its methods may be called by
// many goroutines; Run must be running. Errors are *oriolebend.Problem values.
type Client struct {
	config  ClientConfig
	backlog chan message.Message

	mu         sync.Mutex
	ticket     uint64
	session    *clientSession
	dialing    *dialing
	nextMember int
	// abandoned holds the request ids of claims that the backlog is to close.
	abandoned map[string]bool
	// owned holds the request ids of claims that this entry owns and has not settled.
	owned map[string]bool
}

// NewClient returns a client; it opens no stream before its first request.
func NewClient(c ClientConfig) *Client {
	c = c.withDefaults()
	return &Client{
		config:    c,
		backlog:   make(chan message.Message, c.Backlog),
		abandoned: map[string]bool{},
		owned:     map[string]bool{},
	}
}

// Run renews the entry's lease and sends the abandoned requests again, until ctx ends and the
// backlog is empty or FlushTimeout has passed. Then it reports to the control VMs that this owner
// has ended, so that no other entry waits for its lease to expire.
func (c *Client) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range backlogWorkers {
		workers.Go(func() { c.runBacklog(ctx) })
	}
	c.renewLease(ctx)
	workers.Wait()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.config.TryTimeout)
	defer cancel()
	_, _ = c.send(last, c.renewal(true))
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
		_, _ = c.send(ctx, c.renewal(false))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Claim requests the ownership of a scope. Owner, OwnerAddress and LeaseFor are filled in from the
// configuration if they are empty.
//
// The problem's Ran is "no" only if no control VM can have accepted the claim. Otherwise the record
// may be claimed by this entry: the entry must not dispatch the request, and the client closes the
// record as not run in the background. If the caller supplied the key, another entry may have run
// the request before; a failed claim does not show whether it did. A new try needs a new request
// id.
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
	if c.isAbandoned(m.RequestID) {
		return message.ClaimAnswer{}, &oriolebend.Problem{Reason: oriolebend.ReasonAttemptClosed, Ran: oriolebend.RanNo}
	}
	answer, failed := c.send(ctx, m)
	if failed != nil {
		if failed.Ran != oriolebend.RanNo {
			c.abandonClaim(m)
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
		c.markOwned(m.RequestID)
	}
	return claimed, nil
}

// Settle moves a record to its next state. After an error the change may still be accepted; if it
// was a change to running, the entry must not dispatch the request. A final state is sent again in
// the background until a quorum has accepted or refused it.
func (c *Client) Settle(ctx context.Context, m message.Settle) (message.Settled, error) {
	if m.Owner == "" {
		m.Owner = c.config.Owner
	}
	if m.State != message.RecordRunning {
		c.unmarkOwned(m.RequestID)
	}
	answer, err := c.send(ctx, m)
	if err != nil {
		if m.State != message.RecordRunning {
			c.enqueue(m)
		}
		return message.Settled{}, err
	}
	return answerAs[message.Settled](answer)
}

// Query returns the record of a request. The answer is current: the leader has confirmed with a
// quorum that it leads.
func (c *Client) Query(ctx context.Context, m message.Query) (message.ClaimAnswer, error) {
	answer, err := c.send(ctx, m)
	if err != nil {
		return message.ClaimAnswer{}, err
	}
	return answerAs[message.ClaimAnswer](answer)
}

// answerAs returns an answer as type T, and a problem if it is of another type.
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

// send sends a request until it is answered or ctx ends. It tries another control VM when one
// refuses, ends the stream or does not answer in time.
func (c *Client) send(ctx context.Context, m message.Message) (message.Message, *oriolebend.Problem) {
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
		delay := c.backoff(try, failed)
		if !c.hasTimeForTry(ctx, delay) || !pause.For(ctx, delay) {
			return nil, p
		}
		c.config.Retried(failed.Reason)
	}
}

// hasTimeForTry reports whether enough time is left for another try after the delay. A try that is
// cut short right after it was sent would only turn a certain Ran "no" into "unknown", and would
// make the caller wait until its deadline for an answer that is known now.
func (c *Client) hasTimeForTry(ctx context.Context, delay time.Duration) bool {
	deadline, bounded := ctx.Deadline()
	if ctx.Err() != nil {
		return false
	}
	return !bounded || time.Until(deadline) > delay+c.config.TryTimeout/minTryDivisor
}

// backoff returns the delay before the next try, with full jitter: entries that lost the same
// leader at the same instant must not all reconnect at the same one.
func (c *Client) backoff(try int, failed *oriolebend.Problem) time.Duration {
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
