package entry

import (
	"cmp"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// loss describes why the gate or the network ended a session: refused, failed
// or lost.
type loss struct {
	reason     oriolebend.Reason
	ran        oriolebend.Ran
	retryAfter time.Duration
}

func lossFromRefusal(m message.Refusal) loss {
	return loss{reason: m.Reason, ran: m.Ran, retryAfter: m.RetryAfter}
}

// handleSessionLost handles a session that ended without a refusal.
func (s *State) handleSessionLost(e SessionLost) {
	p := s.sessions[e.Session]
	if p == nil {
		return
	}
	l := loss{reason: oriolebend.ReasonServerLost, ran: oriolebend.RanUnknown}
	if !e.Opened {
		l.ran = oriolebend.RanNo
	}
	p.server.health.RecordFailure(s.now)
	s.handleLoss(p, l)
}

// handleLoss handles the end of a session according to its phase.
func (s *State) handleLoss(p *probe, l loss) {
	r, g := p.request, p.round
	s.removeLostProbe(p)
	g.reason = l.reason
	g.retryAfter = max(g.retryAfter, l.retryAfter)
	s.shrinkLimitOnRefusal(r, l.reason)
	if l.reason == oriolebend.ReasonServerLost && !g.sent.IsZero() {
		r.serversLost++
	}
	switch {
	case g.chosen == nil:
		s.handleProbeLoss(r, g)
	case g.sent.IsZero():
		s.count("refused", l.reason, r)
		s.handleRoundFailure(r, g, l.reason, l.retryAfter)
	case g.phase == message.PhasePrefill:
		s.handlePrefillLoss(r, g, l)
	case g.phase == message.PhaseDecode:
		s.handleDecodeLoss(r, g, l)
	default:
		s.handleCallLoss(r, g, l)
	}
}

// removeLostProbe closes the entry's side of a session that the gate or the
// network ended.
func (s *State) removeLostProbe(p *probe) {
	s.dropProbe(p)
	s.emit(CloseSession{Session: p.key})
	g := p.round
	for i, held := range g.probes {
		if held == p {
			g.probes = append(g.probes[:i:i], g.probes[i+1:]...)
			return
		}
	}
}

// handleProbeLoss handles the loss of one of several candidates.
func (s *State) handleProbeLoss(r *request, g *round) {
	s.count("refused", g.reason, r)
	switch {
	case len(g.untried) > 0:
		s.probeNext(r, g)
	case len(g.probes) == 0:
		s.handleRoundFailure(r, g, g.reason, g.retryAfter)
	case g.allOffered():
		s.chooseOffer(r, g)
	}
}

// shrinkLimitOnRefusal lets the lane's limit shrink on refusals for lack of
// room.
func (s *State) shrinkLimitOnRefusal(r *request, reason oriolebend.Reason) {
	if reason == oriolebend.ReasonQueueFull || reason == oriolebend.ReasonNoMemory {
		r.lane.limit.Refused(s.now)
	}
}

// handleRoundFailure handles the end of a round that dispatched nothing.
// Searching for capacity is not a retry of work: it is bounded by the pause and
// by the lane's limit, not by the retry budget.
func (s *State) handleRoundFailure(r *request, g *round, reason oriolebend.Reason, after time.Duration) {
	isStandby, isDecode := g == r.standby, g == r.decode
	s.closeRound(r, g)
	switch {
	case isStandby:
		s.handleStandbyFailure(r)
		return
	case s.isPermanent(r, reason):
		s.giveUp(r, reason, 0)
		return
	case s.noteLateRefusal(r, reason):
		s.giveUp(r, reason, cmp.Or(after, defaultRetryAfter))
		return
	}
	r.lastReason = reason
	if isDecode && s.retryDecodeLater(r) {
		return
	}
	s.countWastedPrefill(r)
	s.closeAll(r)
	s.pause(r, after)
}

// isPermanent reports whether a refusal would be the same at any other server
// and at any later time.
func (s *State) isPermanent(r *request, reason oriolebend.Reason) bool {
	return reason == oriolebend.ReasonMalformed || reason == oriolebend.ReasonTooLarge && !s.fitsAnywhere(r)
}

// noteLateRefusal records that a gate would start a request too late, and
// reports whether to end the request. An urgent request for which no offer was
// chosen yet is refused at once: gates know their queues better than any
// estimate of the entry, and an early refusal leaves the caller its time. A
// patient request with a deadline of its own ends when a gate reports that the
// deadline can't be met. Any other request is accepted: it continues, and its
// later reservations carry no bound.
func (s *State) noteLateRefusal(r *request, reason oriolebend.Reason) bool {
	if reason != oriolebend.ReasonDeadline && reason != oriolebend.ReasonOverloaded {
		return false
	}
	if !r.accepted {
		s.count("refusal", reason, r)
		return true
	}
	r.expectedLate = true
	return reason == oriolebend.ReasonDeadline && !r.Deadline.IsZero() && r.Urgency != oriolebend.Urgent
}

// pause lets a request wait for a random time that grows with its tries.
func (s *State) pause(r *request, atLeast time.Duration) {
	if r.step == stepStarting {
		s.dropSettlement(r)
	}
	wait := s.jitter(r) + atLeast
	r.tries++
	s.waitAndRetry(r, wait)
}
