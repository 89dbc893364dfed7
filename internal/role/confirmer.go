package role

import (
	"context"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer/reached"
	"github.com/oriolebend/oriolebend/internal/replica"
)

const (
	// confirmInterval is how often a control VM confirms that its state is the
	// newest that a quorum accepted.
	confirmInterval = time.Second
	// confirmRetryDelay is the delay after a failed confirmation. After a power loss a
	// leader is elected within half a second; callers wait for this delay as well.
	confirmRetryDelay = 50 * time.Millisecond
	// minConfirmInterval is the shortest time between two confirmations, so that
	// followers that connect at the same time share one.
	minConfirmInterval = 20 * time.Millisecond
	// confirmTimeout bounds one confirmation.
	confirmTimeout = 2 * time.Second
	// appliedPollInterval is how often waitApplied checks the applied index.
	appliedPollInterval = 2 * time.Millisecond
)

// Confirmer records when a quorum last confirmed that a control VM's state is the
// newest. A control VM that is isolated by a network partition can't confirm, so
// its followers see the age of its state grow. A control VM whose state merely
// doesn't change still confirms it.
type Confirmer struct {
	Self    string
	Replica *replica.Replica
	Dialer  peer.Dialer
	Reached *ReachedTable

	trigger chan struct{}

	mu        sync.Mutex
	last      time.Time
	confirmed chan struct{}
	// stream is the session with the leader; only Run's goroutine uses it.
	stream peer.Stream
	leader string
}

// Prepare initializes the Confirmer; it must be called before any other method.
func (c *Confirmer) Prepare() {
	c.trigger = make(chan struct{}, 1)
	c.confirmed = make(chan struct{})
}

// Trigger requests a confirmation before the next one is due.
func (c *Confirmer) Trigger() {
	select {
	case c.trigger <- struct{}{}:
	default:
	}
}

// Run confirms the state repeatedly until ctx ends.
func (c *Confirmer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		requested, pause := time.Now(), confirmRetryDelay
		if c.confirm(ctx) {
			c.recordConfirmation(requested)
			pause = confirmInterval
		}
		wait(ctx, minConfirmInterval)
		c.waitNext(ctx, pause)
	}
}

// recordConfirmation records a confirmation that was requested at a time, and
// wakes the goroutines that wait for one.
func (c *Confirmer) recordConfirmation(requested time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = requested
	close(c.confirmed)
	c.confirmed = make(chan struct{})
}

func (c *Confirmer) waitNext(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-c.trigger:
	}
}

// Last returns when the state was last confirmed to be the newest, zero if never,
// and a channel that is closed at the next confirmation.
func (c *Confirmer) Last() (time.Time, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last, c.confirmed
}

// Age returns how long before at the state was last confirmed to be the newest. It
// reports false if it never was.
func (c *Confirmer) Age(at time.Time) (time.Duration, bool) {
	last, _ := c.Last()
	return at.Sub(last), !last.IsZero()
}

func (c *Confirmer) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	name, address := c.Replica.Leader()
	if name == c.Self {
		return c.Replica.Confirm(ctx) == nil
	}
	if name == "" {
		return false
	}
	index, ok := c.queryLeader(ctx, name, address)
	return ok && c.waitApplied(ctx, index)
}

// queryLeader asks the leader for the index up to which its state is confirmed.
func (c *Confirmer) queryLeader(ctx context.Context, leader, address string) (uint64, bool) {
	s, err := c.openSession(ctx, leader, address)
	if err != nil {
		return 0, false
	}
	defer context.AfterFunc(ctx, func() { s.Close() })()
	if err := s.Send(message.Confirm{Control: c.Self, Followers: c.Reached.Own()}); err != nil {
		c.closeSession()
		return 0, false
	}
	m, err := s.Receive()
	confirmed, ok := m.(message.Confirmed)
	if err != nil || !ok || confirmed.Index == 0 {
		c.closeSession()
		return 0, false
	}
	for _, f := range confirmed.Followers {
		c.Reached.Merge(f)
	}
	return confirmed.Index, true
}

// openSession returns a session with the leader; an open session with the same
// leader is reused.
func (c *Confirmer) openSession(ctx context.Context, leader, address string) (peer.Stream, error) {
	if c.stream != nil && c.leader == leader {
		return c.stream, nil
	}
	c.closeSession()
	s, err := c.Dialer.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	c.stream, c.leader = s, leader
	return s, nil
}

func (c *Confirmer) closeSession() {
	if c.stream != nil {
		c.stream.Close()
	}
	c.stream, c.leader = nil, ""
}

// waitApplied waits until this VM has applied the log up to an index. It reports
// false if ctx ends first.
func (c *Confirmer) waitApplied(ctx context.Context, index uint64) bool {
	for c.Replica.Status().Applied < index {
		if ctx.Err() != nil {
			return false
		}
		wait(ctx, appliedPollInterval)
	}
	return true
}

// Serve is the peer.Handler for control VMs that request a confirmation from this
// one as the leader.
func (c *Confirmer) Serve(ctx context.Context, s peer.Stream) {
	for {
		m, err := s.Receive()
		if err != nil {
			return
		}
		request, ok := m.(message.Confirm)
		if !ok {
			return
		}
		c.Reached.Merge(request.Followers)
		if err := s.Send(c.confirmForPeer(ctx, request.Control)); err != nil {
			return
		}
	}
}

func (c *Confirmer) confirmForPeer(ctx context.Context, peerName string) message.Confirmed {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	started := time.Now()
	if err := c.Replica.Confirm(ctx); err != nil {
		return message.Confirmed{}
	}
	return message.Confirmed{
		Index:     c.Replica.Status().Applied,
		Followers: c.Reached.Others(peerName),
		Took:      time.Since(started),
	}
}

// ReachedTable is a reached.Table that goroutines share.
type ReachedTable struct {
	mu       sync.Mutex
	self     string
	table    *reached.Table
	received map[string]message.Followers
}

// NewReachedTable returns the table of the control VM of that name.
func NewReachedTable(self string) *ReachedTable {
	return &ReachedTable{self: self, table: reached.New(self), received: map[string]message.Followers{}}
}

// Record stores the report of a follower of this control VM.
func (r *ReachedTable) Record(m message.Reached) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Record(time.Now(), m)
}

// Merge adds the reports of followers that another control VM has sent.
func (r *ReachedTable) Merge(m message.Followers) {
	if m.Control == "" || m.Control == r.self {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received[m.Control] = m
	r.table.Merge(time.Now(), m)
}

// Own returns the reports that this control VM received from its own followers.
func (r *ReachedTable) Own() message.Followers {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Forget(time.Now())
	return r.table.LocalFollowers(time.Now())
}

// Others returns the reports of the followers of all control VMs except one.
func (r *ReachedTable) Others(except string) []message.Followers {
	own := r.Own()
	r.mu.Lock()
	defer r.mu.Unlock()
	others := []message.Followers{own}
	for control, f := range r.received {
		if control != except {
			others = append(others, f)
		}
	}
	return others
}

// List returns the report of every follower.
func (r *ReachedTable) List() []reached.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.List()
}
