package quota

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/reducer/limit"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// State is what a control VM has counted. Only Reduce changes it.
type State struct {
	config  Config
	lead    bool
	members int
	// leader is the last one known, empty if none ever was, and leaderSince from when;
	// began is when the process began to look.
	leader             string
	leaderSince, began time.Time
	accounts           map[string]*account
}

// account is what was counted of one organisation.
type account struct {
	quota oriolebend.Quota
	// bucket is the organisation's, since this control VM leads; since is from when.
	bucket limit.Bucket
	since  time.Time
	// reserve is this control VM's own, whoever leads.
	reserve limit.Bucket
	// promises are the callers that were told when to come back.
	promises promises
}

// New returns a state that knows no organisation.
func New(c Config) *State {
	return &State{config: c.withDefaults(), members: 1, accounts: map[string]*account{}}
}

// Reduce moves the state on. Asked has exactly one effect, other events have none.
func Reduce(s *State, event Event) []Answer {
	switch e := event.(type) {
	case Declared:
		s.declared(e)
	case LeadershipObserved:
		s.leads(e)
	case Requested:
		return []Answer{s.asked(e)}
	case Returned:
		s.returned(e)
	case ClockJumped:
		s.begin(e.At, 0)
	}
	return nil
}

func (s *State) declared(e Declared) {
	accounts := map[string]*account{}
	for _, o := range e.Organisations {
		if !o.Quota.Bounded() {
			continue
		}
		a := s.accounts[o.Name]
		if a == nil {
			a = &account{since: e.At}
		}
		s.set(a, o.Quota, e.At)
		accounts[o.Name] = a
	}
	s.accounts = accounts
}

// set brings a quota into force. What was saved up under an earlier one is kept, up to
// what can be saved up now.
func (s *State) set(a *account, q oriolebend.Quota, at time.Time) {
	a.bucket.Level(at)
	a.bucket.PerSecond, a.bucket.Burst = q.PerSecond, q.Burst
	a.bucket.Level(at)
	fresh := a.quota == oriolebend.Quota{}
	a.quota = q
	s.share(a, at)
	if fresh {
		a.reserve.Return(reserveStart * a.reserve.Burst)
	}
}

// share sets this control VM's part of the reserves.
func (s *State) share(a *account, at time.Time) {
	a.reserve.Level(at)
	part := s.config.excess(a.quota.PerSecond, a.quota.Burst) / float64(s.members)
	a.reserve.Burst = reserveBurst * part
	a.reserve.PerSecond = reserveRate * part / s.config.Window.Seconds()
	a.reserve.Level(at)
}

func (s *State) leads(e LeadershipObserved) {
	if members := max(1, e.Members); members != s.members {
		s.members = members
		for _, a := range s.accounts {
			s.share(a, e.At)
		}
	}
	if s.began.IsZero() {
		s.began = e.At
	}
	if e.Lead && !s.lead {
		s.begin(e.At, s.start(e.At))
		s.leaderSince = e.At
	}
	if e.Leader != "" && e.Leader != s.leader {
		s.leader, s.leaderSince = e.Leader, e.At
	}
	s.lead = e.Lead
}

// start is the share of the excess that buckets begin with once this control VM leads.
// Leaders before it began with as much, as often as the leader changed within a window: one
// that has seen such a change a moment ago begins with nothing.
func (s *State) start(at time.Time) float64 {
	since := s.leaderSince
	if s.leader == "" {
		since = s.began
	}
	switch {
	case at.Sub(since) >= s.config.Window:
		return calmStart
	case s.leader == "":
		return restartStart
	}
	return 0
}

// begin has the buckets filled anew, from a share of the excess. What another leader has
// given a moment ago is not known here: with a full bucket each change of the leader would
// give an organisation its burst once more.
func (s *State) begin(at time.Time, share float64) {
	for _, a := range s.accounts {
		a.bucket = limit.Bucket{PerSecond: a.quota.PerSecond, Burst: a.quota.Burst}
		a.bucket.Level(at)
		a.bucket.Return(share * s.config.excess(a.quota.PerSecond, a.quota.Burst))
		a.since = at
		a.promises = promises{}
	}
}

func (s *State) asked(e Requested) Answer {
	a := s.accounts[e.Organisation]
	if a == nil {
		return Answer{}
	}
	if !s.lead {
		left := a.reserve.Level(e.At)
		return Answer{Granted: a.takeReserve(e), Left: left}
	}
	answer := Answer{Left: a.bucket.Level(e.At), Since: e.At.Sub(a.since)}
	switch {
	case a.take(e):
		answer.Granted = true
	case !a.settled(e.At) && a.takeReserve(e):
		answer.Granted = true
	default:
		answer.Exhausted = true
		answer.RetryAfter = a.promise(e)
	}
	return answer
}

// takeReserve takes a cost from the reserve. Unlike the bucket it never gives more than it
// holds: there is one of them in each control VM.
func (a *account) takeReserve(e Requested) bool {
	return e.Cost <= a.reserve.Level(e.At) && a.reserve.Take(e.At, e.Cost, 0)
}

// settled reports whether the bucket has had the time to hold what the organisation may
// have saved up.
func (a *account) settled(at time.Time) bool {
	fill := a.bucket.Burst / a.bucket.PerSecond * float64(time.Second)
	return at.Sub(a.since) >= time.Duration(settled*fill)
}

// returned gives back to the bucket. What came from the reserve is given back there only
// by time: nobody knows which of the two it was.
func (s *State) returned(e Returned) {
	if a := s.accounts[e.Organisation]; a != nil && s.lead && e.Cost > 0 {
		a.bucket.Level(e.At)
		a.bucket.Return(e.Cost)
	}
}
