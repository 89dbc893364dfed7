package quota

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/reducer/limit"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// State is the quota accounting of one control VM. Only Reduce changes it.
type State struct {
	config  Config
	lead    bool
	members int
	share   share
	// declared is set once organisations have been declared.
	declared bool
	// leader is the last known leader, empty if none was ever known, and leaderSince when
	// it became known. began is when this process first observed the leadership.
	leader             string
	leaderSince, began time.Time
	accounts           map[string]*account
}

// account is the accounting of one organisation.
type account struct {
	quota oriolebend.Quota
	// bucket is the organisation's bucket while this control VM may grant a share of the quota;
	// since is when this control VM began to count it.
	bucket limit.Bucket
	since  time.Time
	// reserve is this control VM's own reserve, whether it leads or not.
	reserve limit.Bucket
	// promises are the retry times sent to refused callers.
	promises promises
}

// New returns a state without organisations.
func New(c Config) *State {
	return &State{config: c.withDefaults(), members: 1, accounts: map[string]*account{}}
}

// Reduce applies one event. Requested has exactly one effect, other events have none.
func Reduce(s *State, event Event) []Answer {
	switch e := event.(type) {
	case Declared:
		s.applyDeclared(e)
	case LeadershipObserved:
		s.applyLeadership(e)
	case Requested:
		return []Answer{s.applyRequest(e)}
	case Returned:
		s.applyReturned(e)
	case ClockJumped:
		s.applyClockJump(e.At)
	}
	return nil
}

func (s *State) applyDeclared(e Declared) {
	accounts := map[string]*account{}
	for _, o := range e.Organisations {
		if !o.Quota.Bounded() {
			continue
		}
		a := s.accounts[o.Name]
		known := a != nil
		if !known {
			a = &account{since: e.At}
		}
		s.setQuota(a, o.Quota, e.At)
		if !known && !s.declared {
			s.beginDeclared(a, e.At)
		}
		accounts[o.Name] = a
	}
	s.accounts = accounts
	s.declared = true
}

// setQuota applies a quota to an account. The units saved up under the previous quota are
// kept, up to the new burst.
func (s *State) setQuota(a *account, q oriolebend.Quota, at time.Time) {
	a.setBucket(q, s.share.granted, at)
	fresh := a.quota == oriolebend.Quota{}
	a.quota = q
	s.resizeReserve(a, at)
	if fresh {
		a.reserve.Return(reserveStart * a.reserve.Burst)
	}
}

// setBucket applies a quota, of which a share is granted, to the bucket. Without a share the
// bucket's contents are kept for a later one.
func (a *account) setBucket(q oriolebend.Quota, granted float64, at time.Time) {
	a.bucket.Level(at)
	if granted > 0 {
		a.bucket.PerSecond, a.bucket.Burst = granted*q.PerSecond, granted*q.Burst
	} else {
		a.bucket.Burst = min(a.bucket.Burst, q.Burst)
	}
	a.bucket.Level(at)
}

// resizeReserve sets the size of this control VM's part of the reserves.
func (s *State) resizeReserve(a *account, at time.Time) {
	a.reserve.Level(at)
	part := s.config.excess(a.quota.PerSecond, a.quota.Burst) / float64(s.members)
	a.reserve.Burst = reserveBurst * part
	a.reserve.PerSecond = reserveRate * part / s.config.Window.Seconds()
	a.reserve.Level(at)
}

func (s *State) applyLeadership(e LeadershipObserved) {
	if members := max(1, e.Members); members != s.members {
		s.members = members
		for _, a := range s.accounts {
			s.resizeReserve(a, e.At)
		}
	}
	if s.began.IsZero() {
		s.began = e.At
	}
	s.applyShare(e)
	if e.Lead && !s.lead {
		s.leaderSince = e.At
	}
	if e.Leader != "" && e.Leader != s.leader {
		s.leader, s.leaderSince = e.Leader, e.At
	}
	s.lead = e.Lead
}

// startShare returns the share of the excess that the buckets begin with when this control VM
// becomes the leader or a holder of leases. Each earlier one began with such a share too, so that
// every change within a window adds one. A control VM that has seen a change within the last window
// therefore begins with nothing.
func (s *State) startShare(at time.Time) float64 {
	since := s.leaderSince
	if s.leader == "" {
		since = s.began
	}
	switch {
	case !s.share.changed.IsZero() && at.Sub(s.share.changed) < s.config.Window:
		return 0
	case at.Sub(since) >= s.config.Window:
		return stableStart
	case s.leader == "":
		return restartStart
	}
	return 0
}

func (s *State) applyRequest(e Requested) Answer {
	a := s.accounts[e.Organisation]
	if a == nil {
		return Answer{}
	}
	e.Rank = s.config.rank(e.Rank)
	if s.share.granted == 0 {
		left := a.reserve.Level(e.At)
		return Answer{Granted: a.takeReserve(e), Left: left}
	}
	answer := Answer{Left: a.bucket.Level(e.At), Since: e.At.Sub(a.since)}
	switch {
	case a.take(e):
		answer.Granted = true
	case !a.filled(e.At) && a.takeReserve(e):
		answer.Granted = true
	default:
		answer.Exhausted = true
		answer.Reserved = a.reservedFor(e)
		answer.RetryAfter = a.promise(e)
	}
	return answer
}

// takeReserve takes a cost from the reserve. Unlike the bucket, the reserve never grants more
// than it holds, because every control VM has one.
func (a *account) takeReserve(e Requested) bool {
	return e.Cost <= a.reserve.Level(e.At) && a.reserve.Take(e.At, e.Cost, 0)
}

// filled reports whether the bucket has been counted for long enough to hold all that the
// organisation may have saved up.
func (a *account) filled(at time.Time) bool {
	fill := a.bucket.Burst / a.bucket.PerSecond * float64(time.Second)
	return at.Sub(a.since) >= time.Duration(fillTimes*fill)
}

// applyReturned gives units back to the bucket, also if they came from the reserve: it is not
// recorded which of the two granted them. The reserve is refilled only over time.
func (s *State) applyReturned(e Returned) {
	if a := s.accounts[e.Organisation]; a != nil && s.share.granted > 0 && e.Cost > 0 {
		a.bucket.Level(e.At)
		a.bucket.Return(e.Cost)
	}
}
