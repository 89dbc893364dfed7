package quota

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/reducer/limit"
)

// share is the share of each quota that this control VM may grant.
type share struct {
	granted float64
	// start is the share of the excess with which buckets begin that may grant the whole quota.
	start float64
	// started is the largest share that the buckets have begun with since start was set. A share
	// that falls and rises again adds no more.
	started float64
	// begun is when the present share was obtained.
	begun time.Time
	// until is when this control VM was last known to have a share. keeps is set if its buckets
	// have counted up to then.
	until time.Time
	keeps bool
	// changed is when another control VM may last have begun to count under leases, which is not
	// known here as a change of the leader, or when this one did.
	changed time.Time
	lent    bool
}

// applyShare applies the share that follows from an observed leadership.
func (s *State) applyShare(e LeadershipObserved) {
	granted := 0.0
	switch {
	case e.Leases.Enabled:
		granted = e.Leases.Share
	case e.Lead:
		granted = 1
	}
	s.applyLent(e)
	if e.Lead && !s.lead && granted == 0 {
		s.setStart(s.startShare(e.At)) // used once this leader has a share
	}
	switch {
	case granted > 0 && s.share.granted == 0:
		s.beginCounting(e, granted)
	case granted != s.share.granted:
		s.resizeShare(e.At, granted)
	}
	s.share.granted = granted
	if granted > 0 {
		s.share.until = e.At
	}
}

// applyLent records when a lease of this control VM to another one ends. The holder of the lease has
// begun with a share of the excess.
func (s *State) applyLent(e LeadershipObserved) {
	lent := e.Leases.Lent
	if s.share.lent && !lent {
		s.share.changed = e.At
	}
	s.share.lent = lent
}

// beginCounting starts the buckets when this control VM obtains a share. With leases, it keeps what
// its buckets held when it lost its last share, less what others may have been granted since.
func (s *State) beginCounting(e LeadershipObserved, granted float64) {
	if !e.Lead || !s.lead {
		s.setStart(s.startShare(e.At))
	}
	if !e.Lead {
		s.share.changed = e.At
	}
	s.share.begun = e.At
	added := s.takeStart(granted)
	keeps := e.Leases.Enabled && s.share.keeps
	for _, a := range s.accounts {
		level := added * s.config.excess(a.quota.PerSecond, a.quota.Burst)
		if keeps {
			kept := a.bucket.Level(e.At) - a.quota.PerSecond*e.At.Sub(s.share.until).Seconds()
			level = max(level, kept)
		}
		a.begin(e.At, granted, level)
	}
	s.share.keeps = true
}

// setStart sets the share of the excess that the buckets begin with.
func (s *State) setStart(start float64) { s.share.start, s.share.started = start, 0 }

// takeStart returns the share of the excess that buckets with a share of the quota begin with, less
// what they have begun with already.
func (s *State) takeStart(granted float64) float64 {
	added := max(0, granted-s.share.started) * s.share.start
	s.share.started = max(s.share.started, granted)
	return added
}

// beginDeclared starts the bucket of an organisation that was not known when this control VM began to
// count. A restarted leader learns the organisations from the log only after its election, and has
// granted nothing to them since.
func (s *State) beginDeclared(a *account, at time.Time) {
	if s.share.granted == 0 {
		return
	}
	level := s.share.start*s.config.excess(a.quota.PerSecond, a.quota.Burst) + a.quota.PerSecond*at.Sub(s.share.begun).Seconds()
	a.begin(at, s.share.granted, s.share.granted*level)
	a.since = s.share.begun
}

// begin starts the bucket with a share of the quota and a level.
func (a *account) begin(at time.Time, granted, level float64) {
	a.bucket = limit.Bucket{PerSecond: granted * a.quota.PerSecond, Burst: granted * a.quota.Burst}
	a.bucket.Level(at)
	a.bucket.Return(level)
	a.since = at
	// What the organisation requested before is not known here. It has no more than the bucket to
	// spare: if a whole burst counted as spare, all ranks would be refused alike until that was used up.
	a.promises = promises{demand: demand{at: at, spare: a.bucket.Level(at)}}
}

// freeze ends the refill of a bucket, as of the time at which its share was last known.
func (a *account) freeze(until time.Time) {
	a.bucket.Level(until)
	a.bucket.PerSecond = 0
}

// resizeShare changes the share of a control VM that goes on counting, or ends it. A share that
// grows adds its part of what the buckets began with.
func (s *State) resizeShare(at time.Time, granted float64) {
	s.share.begun = at
	added := s.takeStart(granted)
	for _, a := range s.accounts {
		if granted == 0 {
			a.freeze(s.share.until)
			continue
		}
		a.bucket.Level(at)
		a.bucket.PerSecond, a.bucket.Burst = granted*a.quota.PerSecond, granted*a.quota.Burst
		a.bucket.Return(added * s.config.excess(a.quota.PerSecond, a.quota.Burst))
		a.bucket.Level(at)
	}
}

// applyClockJump empties all buckets: another control VM may have granted the whole quota in the
// time that the clock did not count.
func (s *State) applyClockJump(at time.Time) {
	s.setStart(0)
	s.share.begun = at
	if s.share.lent {
		s.share.changed = at
	}
	for _, a := range s.accounts {
		a.begin(at, s.share.granted, 0)
	}
	s.share.keeps = s.share.granted > 0
	s.share.until = at
}
