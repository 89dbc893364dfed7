package entry

import (
	"cmp"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// loss is the end of a session from the other side: refused, failed or gone.
type loss struct {
	reason     oriolebend.Reason
	ran        oriolebend.Ran
	retryAfter time.Duration
}

func refused(m message.Refusal) loss {
	return loss{reason: m.Reason, ran: m.Ran, retryAfter: m.RetryAfter}
}

// sessionLost is a session that ended without a refusal.
func (s *State) sessionLost(e SessionLost) {
	p := s.sessions[e.Session]
	if p == nil {
		return
	}
	l := loss{reason: oriolebend.ReasonServerLost, ran: oriolebend.RanUnknown}
	if !e.Opened {
		l.ran = oriolebend.RanNo
	}
	p.server.health.Fail(s.now)
	s.lost(p, l)
}

// lost takes the end of a session by the phase that it was in.
func (s *State) lost(p *probe, l loss) {
	r, g := p.request, p.round
	s.forgetLost(p)
	g.reason = l.reason
	g.retryAfter = max(g.retryAfter, l.retryAfter)
	s.noteRoom(r, l.reason)
	if l.reason == oriolebend.ReasonServerLost && !g.sent.IsZero() {
		r.serversLost++
	}
	switch {
	case g.chosen == nil:
		s.probeLost(r, g)
	case g.sent.IsZero():
		s.count("refused", l.reason, r)
		s.roundFailed(r, g, l.reason, l.retryAfter)
	case g.phase == message.PhasePrefill:
		s.prefillLost(r, g, l)
	case g.phase == message.PhaseDecode:
		s.decodeLost(r, g, l)
	default:
		s.callLost(r, g, l)
	}
}

// forgetLost closes the entry's side of a session that the other side ended.
func (s *State) forgetLost(p *probe) {
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

// probeLost takes the loss of one of several candidates.
func (s *State) probeLost(r *request, g *round) {
	s.count("refused", g.reason, r)
	switch {
	case len(g.spare) > 0:
		s.askNext(r, g)
	case len(g.probes) == 0:
		s.roundFailed(r, g, g.reason, g.retryAfter)
	case g.answered():
		s.choose(r, g)
	}
}

// noteRoom lets the lane's limit shrink on refusals for lack of room.
func (s *State) noteRoom(r *request, reason oriolebend.Reason) {
	if reason == oriolebend.ReasonQueueFull || reason == oriolebend.ReasonNoMemory {
		r.lane.limit.Refused(s.now)
	}
}

// roundFailed takes the end of a round that dispatched nothing. Finding room
// is no retry of work: it is bounded by the pause and by the lane's limit, not
// by the retry budget.
func (s *State) roundFailed(r *request, g *round, reason oriolebend.Reason, after time.Duration) {
	isStandby, isDecode := g == r.standby, g == r.decode
	s.closeRound(r, g)
	switch {
	case isStandby:
		s.standbyFailed(r)
		return
	case s.hopeless(r, reason):
		s.giveUp(r, reason, 0)
		return
	case s.tooLate(r, reason):
		s.giveUp(r, reason, cmp.Or(after, comeBack))
		return
	}
	r.lastReason = reason
	if isDecode && s.decodeLater(r) {
		return
	}
	s.dropWasted(r)
	s.closeAll(r)
	s.pause(r, after)
}

// hopeless tells refusals that no other server and no later time would change.
func (s *State) hopeless(r *request, reason oriolebend.Reason) bool {
	return reason == oriolebend.ReasonMalformed || reason == oriolebend.ReasonTooLarge && !s.fitsAnywhere(r)
}

// tooLate takes in that a gate would start a request too late, and reports
// whether to end it. An urgent request that no gate took in yet is refused at
// its first round: gates know their queues better than any estimate of the
// entry, and to be refused now leaves the caller its time. A request with a
// deadline of its own ends when a gate says that it can't be met. Any other is
// accepted: it goes on, and gates are asked without a bound.
func (s *State) tooLate(r *request, reason oriolebend.Reason) bool {
	if reason != oriolebend.ReasonDeadline && reason != oriolebend.ReasonOverloaded {
		return false
	}
	if !r.accepted {
		s.count("refusal", reason, r)
		return true
	}
	r.late = true
	return reason == oriolebend.ReasonDeadline && !r.Deadline.IsZero() && r.Urgency != oriolebend.Urgent
}

// pause has a request wait for a random while that grows with its tries.
func (s *State) pause(r *request, atLeast time.Duration) {
	if r.step == stepStarting {
		s.unsettle(r)
	}
	wait := s.jitter(r) + atLeast
	r.tries++
	s.waitFor(r, wait)
}
