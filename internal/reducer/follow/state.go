package follow

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// TickEvery is the longest interval between two Ticked events.
const TickEvery = 500 * time.Millisecond

// maxGaps is the number of consecutive missed updates after which the follower
// switches to another control VM.
const maxGaps = 3

// Control is one control VM.
type Control struct {
	Name    string
	Address string
}

// Config configures a follower; zero durations mean the defaults stated.
type Config struct {
	// Node and Role name this process.
	Node string
	Role string
	// Controls are all control VMs.
	Controls []Control
	// StaleAfter is how long a control VM may be without confirmation by a quorum
	// before the follower switches to another one; zero means 6s.
	StaleAfter time.Duration
	// RetryMin and RetryMax bound the delays between attempts; zero means 200ms
	// and 5s.
	RetryMin time.Duration
	RetryMax time.Duration
	// ReportEvery is the interval at which an unchanged revision is reported;
	// zero means 10s.
	ReportEvery time.Duration
	// ReturnAfter is how long the follower stays with a control VM other than the
	// preferred one before it tries that again; zero means 5m.
	ReturnAfter time.Duration
	// UnconfirmedAfter is the time after which a process without a state adopts
	// the newest unconfirmed state that any control VM has sent; zero means never.
	UnconfirmedAfter time.Duration
	// Seed is the seed of the jitter.
	Seed uint64
}

func (c Config) withDefaults() Config {
	c.StaleAfter = cmp.Or(c.StaleAfter, 6*time.Second)
	c.RetryMin = cmp.Or(c.RetryMin, 200*time.Millisecond)
	c.RetryMax = cmp.Or(c.RetryMax, 5*time.Second)
	c.ReportEvery = cmp.Or(c.ReportEvery, 10*time.Second)
	c.ReturnAfter = cmp.Or(c.ReturnAfter, 5*time.Minute)
	return c
}

// watch is the open watch; there is at most one.
type watch struct {
	link     Link
	control  int
	openedAt time.Time
	// received is true once an update was received. A watch that ends before that
	// is a failed attempt.
	received bool
	// candidate is the state received over the watch while this process has no
	// state in force yet.
	candidate *declared.View
}

// State is the state of a follower. Only Reduce changes it.
type State struct {
	config Config
	random *rand.Rand
	// order lists the control VMs, the preferred one first. It differs between
	// nodes, so that followers are spread over the control VMs.
	order []Control
	view  declared.View
	// current is true once a state was adopted since the start of the process.
	current bool
	// confirmedAt is the latest time at which the state is known to have been the
	// newest.
	confirmedAt time.Time
	startedAt   time.Time
	watch       *watch
	nextLink    Link
	nextControl int
	retryAt     time.Time
	failures    int
	gaps        int
	reportedAt  time.Time
	returnAt    time.Time
	// offer is the newest unconfirmed state that was received.
	offer *declared.View
}

// New returns the state of a follower that has not started.
func New(config Config) *State {
	s := &State{config: config.withDefaults(), view: declared.NewView()}
	s.random = rand.New(rand.NewPCG(config.Seed, xxhash.Sum64String(config.Node)))
	s.order = slices.Clone(config.Controls)
	slices.SortFunc(s.order, func(a, b Control) int { return -s.compare(a, b) })
	return s
}

// compare orders control VMs by rendezvous hashing on the node's name.
func (s *State) compare(a, b Control) int {
	return cmp.Compare(policy.Rendezvous(s.config.Node, a.Name), policy.Rendezvous(s.config.Node, b.Name))
}

// View returns the declared state in force. The caller must not change it, nor
// use it after the next Reduce.
func (s *State) View() declared.View { return s.view }

// Current reports whether a state was adopted since the start of the process.
// Before that the process can't serve.
func (s *State) Current() bool { return s.current }

// Age returns how long ago the state in force was last known to be the newest.
func (s *State) Age(at time.Time) time.Duration {
	if !s.current {
		return at.Sub(s.startedAt)
	}
	return at.Sub(s.confirmedAt)
}

// Following returns the name of the control VM that is followed now, empty if
// there is none.
func (s *State) Following() string {
	if s.watch == nil {
		return ""
	}
	return s.order[s.watch.control].Name
}

// Reduce applies one event and returns the effects that the caller must carry out.
func Reduce(s *State, e Event) []Effect {
	switch e := e.(type) {
	case Started:
		s.startedAt = e.At
		return s.open(e.At, 0)
	case Received:
		if s.watch == nil || s.watch.link != e.Link {
			return nil // delayed, from a watch that was closed
		}
		return s.applyUpdate(e.At, e.Update)
	case Lost:
		if s.watch == nil || s.watch.link != e.Link {
			return nil
		}
		return s.closeWatch(e.At, CountLost)
	case Ticked:
		return s.tick(e.At)
	}
	return nil
}

// open opens a watch at a control VM from the revision in force, or from the
// beginning after repeated gaps.
func (s *State) open(at time.Time, control int) []Effect {
	if len(s.order) == 0 {
		return nil
	}
	s.nextLink++
	s.nextControl = control
	s.watch = &watch{link: s.nextLink, control: control, openedAt: at}
	s.returnAt = at.Add(s.config.ReturnAfter + s.jitter(s.config.ReturnAfter))
	from := s.view.Revision
	if !s.current || s.gaps > 1 {
		from = 0
	}
	return []Effect{Open{
		Link:    s.nextLink,
		Control: s.order[control].Name,
		Address: s.order[control].Address,
		Watch:   message.Watch{Node: s.config.Node, From: from},
	}}
}

// closeWatch closes the watch and schedules the next attempt, at the next control
// VM. Delays double and have jitter, to avoid a reconnect storm at a control VM
// that has restarted.
func (s *State) closeWatch(at time.Time, reason CountName) []Effect {
	closed := *s.watch
	s.watch = nil
	if closed.received {
		s.failures = 0
	}
	s.nextControl = (closed.control + 1) % len(s.order)
	delay := s.config.RetryMin << min(s.failures, 10)
	delay = min(delay, s.config.RetryMax)
	s.failures++
	s.retryAt = at.Add(s.jitter(delay))
	return []Effect{Count{What: reason, Control: s.order[closed.control].Name}, Close{Link: closed.link}}
}

// jitter returns a random duration up to a bound.
func (s *State) jitter(bound time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(bound) + 1))
}

func (s *State) tick(at time.Time) []Effect {
	if s.startedAt.IsZero() || len(s.order) == 0 {
		return nil
	}
	if s.watch == nil {
		if at.Before(s.retryAt) {
			return nil
		}
		return s.open(at, s.nextControl)
	}
	if s.stale(at) {
		return append(s.adoptUnconfirmed(at), s.closeWatch(at, CountStale)...)
	}
	if s.watch.control != 0 && !at.Before(s.returnAt) {
		effects := []Effect{Count{What: CountReturned, Control: s.order[0].Name}, Close{Link: s.watch.link}}
		return append(effects, s.open(at, 0)...)
	}
	if s.current && s.watch.received && at.Sub(s.reportedAt) >= s.config.ReportEvery {
		return s.report(at)
	}
	return nil
}

// stale reports whether the followed control VM was not confirmed by a quorum for
// too long. Missing updates alone don't distinguish a partitioned control VM from
// one without changes. So each control VM reports the age of its last confirmation,
// and the follower leaves one that can't confirm its state, even if it still sends
// updates.
func (s *State) stale(at time.Time) bool {
	since := s.watch.openedAt
	if s.current && s.confirmedAt.After(since) {
		since = s.confirmedAt
	}
	limit := s.config.StaleAfter
	if !s.current { // the process does not serve until it has a state
		limit /= 3
	}
	return at.Sub(since) > limit
}

func (s *State) applyUpdate(at time.Time, u message.Update) []Effect {
	s.watch.received = true
	if !s.current {
		return s.applyFirst(at, u)
	}
	if u.Revision < s.view.Revision {
		// The control VM is behind the state in force here. Its update is ignored,
		// and the watch is closed if it has not caught up after StaleAfter.
		return []Effect{Count{What: CountOlder, Control: s.Following()}}
	}
	if !u.Snapshot && u.From > s.view.Revision {
		return s.handleGap(at)
	}
	var effects []Effect
	if u.Revision > s.view.Revision {
		applied, err := s.merge(u)
		if err != nil {
			return s.closeWatch(at, CountMalformed)
		}
		effects = append(applied, s.report(at)...)
	}
	s.confirm(at, u)
	return effects
}

// confirm records the time at which the state in force was known to be the newest.
func (s *State) confirm(at time.Time, u message.Update) {
	if !u.Confirmed {
		return
	}
	s.gaps = 0
	if asOf := at.Add(-u.Age); asOf.After(s.confirmedAt) {
		s.confirmedAt = asOf
	}
}

// applyFirst applies an update while no state was adopted since the start of the
// process. The process may have had a newer state before it restarted, but has no
// record of it, and a partitioned control VM sends an old state without knowing
// that it is old. So only a state is adopted that the control VM has confirmed with
// a quorum after the watch was opened: it contains every accepted change, and so
// every state that was ever in force here. The control VM reports that in Fresh; Age
// is not sufficient, because a delayed message appears younger than it is.
func (s *State) applyFirst(at time.Time, u message.Update) []Effect {
	if err := s.watch.collect(u); err != nil {
		return s.closeWatch(at, CountMalformed)
	}
	candidate := s.watch.candidate
	if candidate == nil || candidate.Revision != u.Revision {
		return nil
	}
	if u.Confirmed && u.Fresh {
		effects := s.adopt(*candidate)
		s.confirm(at, u)
		return append(effects, s.report(at)...)
	}
	if s.offer == nil || candidate.Revision > s.offer.Revision {
		s.offer = candidate
	}
	effects := []Effect{Count{What: CountUnconfirmed, Control: s.Following()}}
	return append(effects, s.adoptUnconfirmed(at)...)
}

// collect merges an update into the candidate, until the candidate can be confirmed.
func (w *watch) collect(u message.Update) error {
	resources, err := decode(u)
	if err != nil {
		return err
	}
	if u.Snapshot {
		view := declared.NewView()
		w.candidate = &view
	}
	if w.candidate != nil && u.From <= w.candidate.Revision && u.Revision >= w.candidate.Revision {
		w.candidate.Merge(u.Revision, u.Servers, resources)
	}
	return nil
}

// adopt brings a complete state into force.
func (s *State) adopt(v declared.View) []Effect {
	s.view = v.Copy()
	s.current = true
	s.offer = nil
	return []Effect{Changed{Revision: v.Revision, Complete: true, Servers: v.Members(), Resources: v.List("")}}
}

// adoptUnconfirmed adopts the newest unconfirmed state, if the settings allow it and
// no control VM has confirmed a state within UnconfirmedAfter.
func (s *State) adoptUnconfirmed(at time.Time) []Effect {
	delay := s.config.UnconfirmedAfter
	if s.current || delay == 0 || s.offer == nil || at.Sub(s.startedAt) < delay {
		return nil
	}
	s.confirmedAt = s.startedAt
	return s.adopt(*s.offer)
}

// handleGap opens a new watch to get the missed updates. After more than maxGaps gaps
// it switches to another control VM.
func (s *State) handleGap(at time.Time) []Effect {
	s.gaps++
	if s.gaps > maxGaps {
		return s.closeWatch(at, CountGap)
	}
	effects := []Effect{Count{What: CountGap, Control: s.Following()}, Close{Link: s.watch.link}}
	return append(effects, s.open(at, s.watch.control)...)
}

// merge brings an update into force: all of it or, on an error, nothing of it.
func (s *State) merge(u message.Update) ([]Effect, error) {
	resources, err := decode(u)
	if err != nil {
		return nil, err
	}
	if u.Snapshot {
		s.view = declared.NewView()
	}
	s.view.Merge(u.Revision, u.Servers, resources)
	return []Effect{Changed{
		Revision: u.Revision, Complete: u.Snapshot, Servers: u.Servers, Resources: resources,
	}}, nil
}

func decode(u message.Update) ([]oriolebend.Resource, error) {
	resources := make([]oriolebend.Resource, len(u.Resources))
	for i, data := range u.Resources {
		if err := cbor.Unmarshal(data, &resources[i]); err != nil {
			return nil, err
		}
	}
	return resources, nil
}

func (s *State) report(at time.Time) []Effect {
	s.reportedAt = at
	reached := message.Reached{Node: s.config.Node, Revision: s.view.Revision, Role: s.config.Role}
	return []Effect{Send{Link: s.watch.link, Message: reached}}
}
