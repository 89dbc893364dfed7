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

// TickEvery is how often Ticked comes at least.
const TickEvery = 500 * time.Millisecond

// maxGaps is how many updates in a row may be missed before another control
// VM is followed.
const maxGaps = 3

// Control is one control VM.
type Control struct {
	Name    string
	Address string
}

// Config sets whom to follow and for how long to trust; zero times take the
// defaults named.
type Config struct {
	// Node and Role name this process.
	Node string
	Role string
	// Controls are all control VMs.
	Controls []Control
	// StaleAfter is how long a control VM may go without a quorum's word
	// before another is followed; zero means 6s.
	StaleAfter time.Duration
	// RetryFirst and RetryMost bound the waits between tries; zero means
	// 200ms and 5s.
	RetryFirst time.Duration
	RetryMost  time.Duration
	// ReportEvery is how often the revision in force is told unchanged; zero
	// means 10s.
	ReportEvery time.Duration
	// ReturnAfter is how long another than the preferred control VM is
	// followed before that is tried again; zero means 5m.
	ReturnAfter time.Duration
	// UnconfirmedAfter lets a process that has no state take the newest that
	// any control VM offers, unconfirmed, after that long; zero means never.
	UnconfirmedAfter time.Duration
	// Seed feeds the jitter.
	Seed uint64
}

func (c Config) withDefaults() Config {
	c.StaleAfter = cmp.Or(c.StaleAfter, 6*time.Second)
	c.RetryFirst = cmp.Or(c.RetryFirst, 200*time.Millisecond)
	c.RetryMost = cmp.Or(c.RetryMost, 5*time.Second)
	c.ReportEvery = cmp.Or(c.ReportEvery, 10*time.Second)
	c.ReturnAfter = cmp.Or(c.ReturnAfter, 5*time.Minute)
	return c
}

// watch is the one watch that is open.
type watch struct {
	link    Link
	control int
	openAt  time.Time
	// heard is true once an update came; silence before it is a failed try.
	heard bool
	// candidate is what it sent while this process has no state yet.
	candidate *declared.View
}

// State is what a follower knows.
type State struct {
	config Config
	random *rand.Rand
	// order is the control VMs, the preferred first. It differs by node, so
	// that followers spread over the control VMs.
	order []Control
	view  declared.View
	// current is false until a state was taken in this life of the process.
	current bool
	// confirmedAt is when, as far as is known, the state was last the newest.
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
	// offer is the newest state that was offered unconfirmed.
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

// View returns the declared state in force; the caller must not change it,
// nor keep it over the next Reduce.
func (s *State) View() declared.View { return s.view }

// Current reports whether a state was taken in this life of the process.
// Before that there is nothing to serve with.
func (s *State) Current() bool { return s.current }

// Age tells how long ago the state in force was last known to be the newest.
func (s *State) Age(at time.Time) time.Duration {
	if !s.current {
		return at.Sub(s.startedAt)
	}
	return at.Sub(s.confirmedAt)
}

// Following names the control VM that is followed now, empty if none.
func (s *State) Following() string {
	if s.watch == nil {
		return ""
	}
	return s.order[s.watch.control].Name
}

// Reduce takes one event and returns what is to be done.
func Reduce(s *State, e Event) []Effect {
	switch e := e.(type) {
	case Started:
		s.startedAt = e.At
		return s.open(e.At, 0)
	case Received:
		if s.watch == nil || s.watch.link != e.Link {
			return nil // late, from a watch that was left
		}
		return s.received(e.At, e.Update)
	case Lost:
		if s.watch == nil || s.watch.link != e.Link {
			return nil
		}
		return s.leave(e.At, CountLost)
	case Ticked:
		return s.tick(e.At)
	}
	return nil
}

// open watches a control VM from the revision in force, or from nothing after
// repeated gaps.
func (s *State) open(at time.Time, control int) []Effect {
	if len(s.order) == 0 {
		return nil
	}
	s.nextLink++
	s.nextControl = control
	s.watch = &watch{link: s.nextLink, control: control, openAt: at}
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

// leave gives a watch up and plans the next try, at the next control VM. Waits
// double and are jittered, so that a control VM that comes back is not met by
// every follower at once.
func (s *State) leave(at time.Time, why CountName) []Effect {
	left := *s.watch
	s.watch = nil
	if left.heard {
		s.failures = 0
	}
	s.nextControl = (left.control + 1) % len(s.order)
	wait := s.config.RetryFirst << min(s.failures, 10)
	wait = min(wait, s.config.RetryMost)
	s.failures++
	s.retryAt = at.Add(s.jitter(wait))
	return []Effect{Count{What: why, Control: s.order[left.control].Name}, Close{Link: left.link}}
}

// jitter returns a time up to a bound.
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
		return append(s.takeUnconfirmed(at), s.leave(at, CountStale)...)
	}
	if s.watch.control != 0 && !at.Before(s.returnAt) {
		effects := []Effect{Count{What: CountReturned, Control: s.order[0].Name}, Close{Link: s.watch.link}}
		return append(effects, s.open(at, 0)...)
	}
	if s.current && s.watch.heard && at.Sub(s.reportedAt) >= s.config.ReportEvery {
		return s.report(at)
	}
	return nil
}

// stale reports whether the followed control VM has gone too long without a
// quorum's word. Silence alone does not tell a cut-off control VM from a quiet
// one; so each tells how old its own knowledge is, and one that can't confirm
// it is left, however alive it seems.
func (s *State) stale(at time.Time) bool {
	since := s.watch.openAt
	if s.current && s.confirmedAt.After(since) {
		since = s.confirmedAt
	}
	limit := s.config.StaleAfter
	if !s.current { // nothing is served meanwhile
		limit /= 3
	}
	return at.Sub(since) > limit
}

func (s *State) received(at time.Time, u message.Update) []Effect {
	s.watch.heard = true
	if !s.current {
		return s.first(at, u)
	}
	if u.Revision < s.view.Revision {
		// The control VM is behind what is in force here. It is not believed,
		// and left once it has gone StaleAfter without catching up.
		return []Effect{Count{What: CountOlder, Control: s.Following()}}
	}
	if !u.Snapshot && u.From > s.view.Revision {
		return s.gap(at)
	}
	var effects []Effect
	if u.Revision > s.view.Revision {
		taken, err := s.take(u)
		if err != nil {
			return s.leave(at, CountMalformed)
		}
		effects = append(taken, s.report(at)...)
	}
	s.confirm(at, u)
	return effects
}

// confirm notes until when the state in force was known to be the newest.
func (s *State) confirm(at time.Time, u message.Update) {
	if !u.Confirmed {
		return
	}
	s.gaps = 0
	if asOf := at.Add(-u.Age); asOf.After(s.confirmedAt) {
		s.confirmedAt = asOf
	}
}

// first takes the first state of this life of the process. The process may
// have had a newer one before it restarted and can't know; a control VM that
// is cut off would hand it an old one in good faith. So only a state is taken
// that the control VM confirmed with a quorum after it was asked: it holds all
// that was accepted, hence all that was ever in force here. The control VM
// says so itself; its Age would not do, since a message that was long on its
// way looks younger than it is.
func (s *State) first(at time.Time, u message.Update) []Effect {
	if err := s.watch.consider(u); err != nil {
		return s.leave(at, CountMalformed)
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
	return append(effects, s.takeUnconfirmed(at)...)
}

// consider keeps what a control VM sends until it can be confirmed.
func (w *watch) consider(u message.Update) error {
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

// adopt puts a whole state into force.
func (s *State) adopt(v declared.View) []Effect {
	s.view = v.Copy()
	s.current = true
	s.offer = nil
	return []Effect{Changed{Revision: v.Revision, Whole: true, Servers: v.Members(), Resources: v.List("")}}
}

// takeUnconfirmed takes the newest state offered, if the settings allow it and
// no control VM could confirm one for long enough.
func (s *State) takeUnconfirmed(at time.Time) []Effect {
	wait := s.config.UnconfirmedAfter
	if s.current || wait == 0 || s.offer == nil || at.Sub(s.startedAt) < wait {
		return nil
	}
	s.confirmedAt = s.startedAt
	return s.adopt(*s.offer)
}

// gap asks for what was missed.
func (s *State) gap(at time.Time) []Effect {
	s.gaps++
	if s.gaps > maxGaps {
		return s.leave(at, CountGap)
	}
	effects := []Effect{Count{What: CountGap, Control: s.Following()}, Close{Link: s.watch.link}}
	return append(effects, s.open(at, s.watch.control)...)
}

// take puts an update into force: all of it or, on an error, none of it.
func (s *State) take(u message.Update) ([]Effect, error) {
	resources, err := decode(u)
	if err != nil {
		return nil, err
	}
	if u.Snapshot {
		s.view = declared.NewView()
	}
	s.view.Merge(u.Revision, u.Servers, resources)
	return []Effect{Changed{
		Revision: u.Revision, Whole: u.Snapshot, Servers: u.Servers, Resources: resources,
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
