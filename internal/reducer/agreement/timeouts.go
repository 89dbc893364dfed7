package agreement

import "github.com/oriolebend/oriolebend/internal/message"

// MaxTimeoutScale is the maximum factor by which the timeouts of a term are longer than the configured
// ones.
const MaxTimeoutScale = 8

const (
	// failedTermsToSlow is how many terms in a row must fail before a candidate doubles the timeouts. One
	// may fail because votes were split.
	failedTermsToSlow = 2
	// lateRoundsToSlow is how many rounds in a row must be answered late before a leader doubles the
	// timeouts.
	lateRoundsToSlow = 3
	// calmTicks is how long all rounds must be answered early before a leader halves the timeouts.
	calmTicks = 160
)

// pace is what a member knows about whether the timeouts are long enough.
//
// On VMs that wait for their processor, or behind a slow network, votes and answers may arrive later than
// a lease lasts. With fixed timeouts no leader could then hold one.
type pace struct {
	// termBegan is the tick at which this member entered the term, zero since its start.
	termBegan uint64
	// failedTerms counts the terms in a row that were followed by another within a few election timeouts.
	failedTerms int
	// lateRounds counts, on a leader, the rounds in a row that a quorum answered late; lateAck is the tick
	// at which the last one began.
	lateRounds int
	lateAck    uint64
	// oldestAck is the maximum age of the newest answered round since the tick calmSince.
	oldestAck uint64
	calmSince uint64
}

// TimeoutScale returns the factor by which the timeouts are longer than the configured ones.
func (s *State) TimeoutScale() uint64 { return max(1, s.Hard.TimeoutScale) }

func (s *State) electionTicks() uint64 { return s.Config.ElectionTicks * s.TimeoutScale() }

func (s *State) leaseTicks() uint64 { return s.Config.LeaseTicks * s.TimeoutScale() }

func (s *State) graceTicks() uint64 { return s.Config.GraceTicks * s.TimeoutScale() }

// setTimeoutScale sets the factor of the timeouts from a round of the term on; round zero is the
// election. The factor is persisted before any message that promises a vote: a member that restarts has
// to wait for the lease that it has granted.
func (s *State) setTimeoutScale(scale, round uint64) {
	s.Hard.TimeoutScale = min(max(1, scale), MaxTimeoutScale)
	s.Hard.TimeoutScaleRound = round
	s.markHardStateDirty()
}

// adoptTimeoutScale adopts the factor that a leader states, unless the leader has changed it since: an
// earlier message that arrives late must not shorten what this member has promised.
func (s *State) adoptTimeoutScale(header message.Agreement) {
	if s.Hard.Vote == "" || header.TimeoutScaleRound > s.Hard.TimeoutScaleRound {
		s.setTimeoutScale(header.TimeoutScale, header.TimeoutScaleRound)
	}
}

// enterTerm begins a term, and counts whether the last one has failed.
func (s *State) enterTerm(term uint64) {
	const failedWithin = 6 // election timeouts
	failed := s.pace.termBegan != 0 && s.now < s.pace.termBegan+failedWithin*s.electionTicks()
	s.pace.termBegan = s.now
	s.pace.failedTerms++
	if !failed {
		s.pace.failedTerms = 0
	}
	s.Hard.Term = term
	s.Hard.Vote = ""
	s.Hard.TimeoutScaleRound = 0
	s.markHardStateDirty()
}

// plannedTerm records that the last term has not failed, although another one begins: its leader stopped,
// or all members restarted.
func (s *State) plannedTerm(vote message.Vote) {
	if vote.Transfer || len(vote.Starts) > 0 {
		s.pace.failedTerms = 0
	}
}

// slowDownCandidate doubles the timeouts of a campaign after terms that have failed.
func (s *State) slowDownCandidate() {
	if s.pace.failedTerms >= failedTermsToSlow {
		s.pace.failedTerms = 0
		s.setTimeoutScale(2*s.TimeoutScale(), 0)
	}
}

// adaptTimeouts changes the timeouts of a leader that begins a round, if its last rounds were answered
// late, or all of them early for a while.
func (s *State) adaptTimeouts() {
	s.observeRounds()
	if s.pace.lateRounds >= lateRoundsToSlow {
		s.changeTimeouts(2 * s.TimeoutScale())
	}
	if s.now < s.pace.calmSince+calmTicks {
		return
	}
	scale := s.TimeoutScale()
	if 4*s.pace.oldestAck <= s.leaseTicks() {
		scale /= 2
	}
	s.changeTimeouts(scale)
}

// changeTimeouts changes the timeouts of a leader from the current round on, within their limits, and
// starts to observe anew.
func (s *State) changeTimeouts(scale uint64) {
	s.resetPace()
	scale = min(max(1, scale), MaxTimeoutScale)
	if scale == s.TimeoutScale() {
		return
	}
	s.setTimeoutScale(scale, s.lead.round.Number)
	for _, p := range s.lead.progress {
		p.leaseScale = 0 // until the member has adopted the new factor
	}
}

// resetPace makes a leader observe its rounds anew.
func (s *State) resetPace() {
	s.pace.lateRounds, s.pace.oldestAck, s.pace.calmSince = 0, 0, s.now
}

// observeRounds compares the age of the newest round that a quorum has answered with the lease.
func (s *State) observeRounds() {
	acked := s.quorumValue(s.now, func(p *progress) uint64 { return p.ackTick })
	age := s.now - acked
	s.pace.oldestAck = max(s.pace.oldestAck, age)
	switch {
	case 4*age <= 3*s.leaseTicks():
		s.pace.lateRounds = 0
	case acked > s.pace.lateAck:
		s.pace.lateRounds++
		s.pace.lateAck = acked
	}
}
