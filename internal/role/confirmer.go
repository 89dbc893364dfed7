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
	// confirmEvery is how often a control VM makes sure that its state is the
	// newest that a quorum accepted.
	confirmEvery = time.Second
	// confirmAgain is how soon it tries again after it could not. After a power loss
	// a leader is elected within half a second; callers wait for what comes on top.
	confirmAgain = 50 * time.Millisecond
	// confirmLeast is the shortest time between two confirmations, so that many
	// followers that come at once share one.
	confirmLeast = 20 * time.Millisecond
	// confirmWithin bounds one try.
	confirmWithin = 2 * time.Second
	// appliedEvery is how often the wait for the log to be applied looks.
	appliedEvery = 2 * time.Millisecond
)

// Confirmer knows when a control VM's state was last confirmed by a quorum. A
// control VM that a network partition cut off can't confirm, so what it shows
// its followers grows old visibly; one that is merely quiet still can.
type Confirmer struct {
	Self    string
	Replica *replica.Replica
	Dialer  peer.Dialer
	Reached *ReachedTable

	soon chan struct{}

	mu        sync.Mutex
	last      time.Time
	confirmed chan struct{}
	// stream is the session with the leader; only Run's goroutine uses it.
	stream peer.Stream
	leader string
}

// Prepare makes the confirmer ready; it must be called before all else.
func (c *Confirmer) Prepare() {
	c.soon = make(chan struct{}, 1)
	c.confirmed = make(chan struct{})
}

// Soon asks for a confirmation before the next one is due.
func (c *Confirmer) Soon() {
	select {
	case c.soon <- struct{}{}:
	default:
	}
}

// Run confirms until ctx ends.
func (c *Confirmer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		asked, pause := time.Now(), confirmAgain
		if c.confirm(ctx) {
			c.took(asked)
			pause = confirmEvery
		}
		wait(ctx, confirmLeast)
		c.sleep(ctx, pause)
	}
}

// took notes a confirmation and wakes who waits for one.
func (c *Confirmer) took(asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = asked
	close(c.confirmed)
	c.confirmed = make(chan struct{})
}

func (c *Confirmer) sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-c.soon:
	}
}

// Last returns when the state was last known to be the newest, zero if never,
// and a channel that is closed at the next confirmation.
func (c *Confirmer) Last() (time.Time, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last, c.confirmed
}

// Age tells how long ago the state was known to be the newest; it is false if
// it never was.
func (c *Confirmer) Age(at time.Time) (time.Duration, bool) {
	last, _ := c.Last()
	return at.Sub(last), !last.IsZero()
}

func (c *Confirmer) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmWithin)
	defer cancel()
	name, address := c.Replica.Leader()
	if name == c.Self {
		return c.Replica.Confirm(ctx) == nil
	}
	if name == "" {
		return false
	}
	index, ok := c.ask(ctx, name, address)
	return ok && c.applied(ctx, index)
}

// ask asks the leader up to where the log was agreed on.
func (c *Confirmer) ask(ctx context.Context, leader, address string) (uint64, bool) {
	s, err := c.open(ctx, leader, address)
	if err != nil {
		return 0, false
	}
	defer context.AfterFunc(ctx, func() { s.Close() })()
	if err := s.Send(message.Confirm{Control: c.Self, Followers: c.Reached.Own()}); err != nil {
		c.drop()
		return 0, false
	}
	m, err := s.Receive()
	confirmed, ok := m.(message.Confirmed)
	if err != nil || !ok || confirmed.Index == 0 {
		c.drop()
		return 0, false
	}
	for _, f := range confirmed.Followers {
		c.Reached.Merge(f)
	}
	return confirmed.Index, true
}

// open returns the session with the leader, kept from the last time if it is
// the same one.
func (c *Confirmer) open(ctx context.Context, leader, address string) (peer.Stream, error) {
	if c.stream != nil && c.leader == leader {
		return c.stream, nil
	}
	c.drop()
	s, err := c.Dialer.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	c.stream, c.leader = s, leader
	return s, nil
}

func (c *Confirmer) drop() {
	if c.stream != nil {
		c.stream.Close()
	}
	c.stream, c.leader = nil, ""
}

// applied waits until this VM has applied the log up to an index.
func (c *Confirmer) applied(ctx context.Context, index uint64) bool {
	for c.Replica.Status().Applied < index {
		if ctx.Err() != nil {
			return false
		}
		wait(ctx, appliedEvery)
	}
	return true
}

// Serve is the peer.Handler for other control VMs that ask this one as the
// leader.
func (c *Confirmer) Serve(ctx context.Context, s peer.Stream) {
	for {
		m, err := s.Receive()
		if err != nil {
			return
		}
		asked, ok := m.(message.Confirm)
		if !ok {
			return
		}
		c.Reached.Merge(asked.Followers)
		if err := s.Send(c.answer(ctx, asked.Control)); err != nil {
			return
		}
	}
}

func (c *Confirmer) answer(ctx context.Context, asking string) message.Confirmed {
	ctx, cancel := context.WithTimeout(ctx, confirmWithin)
	defer cancel()
	started := time.Now()
	if err := c.Replica.Confirm(ctx); err != nil {
		return message.Confirmed{}
	}
	return message.Confirmed{
		Index:     c.Replica.Status().Applied,
		Followers: c.Reached.Others(asking),
		Took:      time.Since(started),
	}
}

// ReachedTable is a reached.Table that goroutines share.
type ReachedTable struct {
	mu    sync.Mutex
	self  string
	table *reached.Table
	heard map[string]message.Followers
}

// NewReachedTable returns the table of the control VM of that name.
func NewReachedTable(self string) *ReachedTable {
	return &ReachedTable{self: self, table: reached.New(self), heard: map[string]message.Followers{}}
}

// Heard takes the word of a follower of this control VM.
func (r *ReachedTable) Heard(m message.Reached) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Record(time.Now(), m)
}

// Merge takes what another control VM told.
func (r *ReachedTable) Merge(m message.Followers) {
	if m.Control == "" || m.Control == r.self {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard[m.Control] = m
	r.table.Merge(time.Now(), m)
}

// Own returns what this control VM heard itself.
func (r *ReachedTable) Own() message.Followers {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Forget(time.Now())
	return r.table.LocalFollowers(time.Now())
}

// Others returns what every control VM but one heard.
func (r *ReachedTable) Others(but string) []message.Followers {
	own := r.Own()
	r.mu.Lock()
	defer r.mu.Unlock()
	others := []message.Followers{own}
	for control, f := range r.heard {
		if control != but {
			others = append(others, f)
		}
	}
	return others
}

// List returns the word of every follower.
func (r *ReachedTable) List() []reached.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.List()
}
