package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// round is one search for a reservation: the sessions with the gates that were
// probed, and its outcome.
type round struct {
	phase   message.Phase
	attempt uint32
	alarm   alarm
	// probes are the open sessions, and untried the candidates to which reserve
	// is sent next.
	probes  []*probe
	untried []*server
	reserve message.Reserve
	// chosen is the session whose offer was taken; the other sessions are
	// closed then.
	chosen  *probe
	granted bool
	// sent is when the work was dispatched; zero before.
	sent time.Time
	// done is true once the work ended by itself, so that nothing is left to
	// cancel.
	done bool
	// reason and retryAfter are those of the last refusal.
	reason     oriolebend.Reason
	retryAfter time.Duration
}

// probe is one open session with a gate.
type probe struct {
	key     SessionKey
	request *request
	round   *round
	server  *server
	offer   *message.Offer
	// counted is true while the session counts in its server's load.
	counted bool
}

// startRouting starts a request whose turn has come.
func (s *State) startRouting(r *request) {
	s.stopWaiting(r)
	r.step = stepRouting
	s.advance(r)
}

// advance takes every step of a request that is possible now. It may be called
// at any time: it leaves alone what is not due yet.
func (s *State) advance(r *request) {
	if r.step != stepRouting {
		return
	}
	if r.Call != nil {
		s.advanceCall(r)
		return
	}
	switch {
	case r.decode != nil && !r.decode.sent.IsZero():
	case r.result != nil:
		s.advanceDecode(r)
	case r.prefill == nil && r.decode != nil && !r.decode.granted:
	case r.prefill == nil:
		s.openPrefill(r)
	case r.prefill.chosen == nil:
	case !s.route.ReservesDecode():
		s.sendPrefill(r)
	case r.decode == nil:
		s.openDecodeIfDue(r, s.predictPrefillEnd(r))
	case r.decode.granted:
		s.sendPrefill(r)
	}
}

// openRound probes the candidates of a request for one phase. It returns nil if
// no server can serve the request now.
func (s *State) openRound(r *request, a alarm, reserve message.Reserve, w policy.Criteria, k poolKey) *round {
	pool := s.pool(k)
	if pool.Len() == 0 {
		return nil
	}
	if !s.route.ReservesDecode() {
		w.Count = 1
	}
	s.pickCandidates(pool.Pool, w)
	g := &round{
		phase:   reserve.Phase,
		attempt: reserve.Attempt.Number,
		alarm:   a,
		untried: slices.Clone(s.candidates),
		reserve: reserve,
	}
	s.probeNext(r, g)
	for len(g.untried) > 0 && (s.config.ProbeInParallel || !reserve.Hold) {
		s.probeNext(r, g)
	}
	return g
}

// probeNext opens a session with the next candidate of a round. Most first
// candidates can serve at once. Probing the others only if the first one can't
// costs one round trip in that case, and saves half of the bytes and of the
// gates' work.
func (s *State) probeNext(r *request, g *round) {
	v := g.untried[0]
	g.untried = g.untried[1:]
	s.openProbe(r, g, v, g.reserve)
	wait := s.config.ProbeWithin
	if len(g.untried) > 0 {
		wait = s.config.OfferWithin
	}
	s.setAlarm(r, g.alarm, wait)
}

// pickCandidates fills s.candidates. The server named by w.Except is left out
// unless the pool has no other.
func (s *State) pickCandidates(pool *policy.Pool[*server], w policy.Criteria) {
	s.candidates = s.candidates[:0]
	if except := s.servers[w.Except]; except != nil && pool.Len() > 1 {
		s.candidates = append(s.candidates, except)
		w.Count++
		s.candidates = s.route.Pick(pool, w, s.rng, s.candidates)[1:]
		return
	}
	s.candidates = s.route.Pick(pool, w, s.rng, s.candidates)
}

func (s *State) openProbe(r *request, g *round, v *server, reserve message.Reserve) {
	key := SessionKey{Attempt: reserve.Attempt, Phase: g.phase, Server: v.Name}
	p := &probe{key: key, request: r, round: g, server: v}
	g.probes = append(g.probes, p)
	s.sessions[key] = p
	s.emit(OpenSession{Session: key, Address: v.GateAddress, Reserve: reserve})
}

// newReservation fills in what all reservations of a request have in common.
func (s *State) newReservation(r *request, phase message.Phase) message.Reserve {
	reserve := message.Reserve{
		Attempt:      message.Attempt{RequestID: r.record, Number: r.attempt},
		Phase:        phase,
		Entry:        s.config.Name,
		Organisation: r.Scope.Organisation,
		Urgency:      r.Urgency,
		Model:        r.Model,
		Version:      r.weightsVersion(),
		Adapter:      r.Adapter,
		Service:      r.Service,
		Waited:       s.now.Sub(r.arrived).Truncate(waitedUnit),
		Hold:         true,
		Once:         r.Once,
	}
	if phase != message.PhaseDecode && r.output.tokens == 0 {
		reserve.Deadline = s.firstOutputWithin(r)
	}
	return reserve
}

// waitedUnit is the unit in which a reservation reports the age of its request:
// gates age work over seconds, and small numbers take fewer bytes.
const waitedUnit = 100 * time.Millisecond

// firstOutputWithin returns for how long the first output is still of use; zero
// means no bound. It is sent to gates so that they refuse early a request that
// they would start too late. An urgent request has its latency target, a
// patient one the deadline of its caller, if any. An accepted request that is
// already expected to be late has no bound, since it is not dropped.
func (s *State) firstOutputWithin(r *request) time.Duration {
	var left time.Duration
	switch {
	case r.expectedLate:
	case r.Urgency == oriolebend.Urgent:
		left = r.FirstWithin - s.now.Sub(r.arrived)
	case !r.Deadline.IsZero():
		left = r.Deadline.Sub(s.now)
	}
	return max(0, left.Truncate(time.Millisecond))
}

// handleOffer records a gate's offer. The round waits a little for the other
// offers, or probes the next candidate, and then takes the best offer.
func (s *State) handleOffer(p *probe, m message.Offer) {
	g := p.round
	if p.offer != nil || g.chosen != nil {
		return
	}
	p.offer = &m
	p.server.queued, p.server.queuedAt = m.Queued, s.now
	switch {
	case m.Granted && !s.config.ProbeInParallel && (len(g.untried) == 0 || !p.linkBusy()):
		s.chooseOffer(p.request, g)
	case len(g.untried) > 0 && (p.linkBusy() || m.StartIn > minWaitToProbe):
		s.probeNext(p.request, g)
	case g.allOffered() && g.usesLateBinding(p.request):
		s.setAlarm(p.request, g.alarm, grantTimeout(m))
	case len(g.untried) > 0 || g.allOffered():
		s.chooseOffer(p.request, g)
	default:
		s.setAlarm(p.request, g.alarm, s.config.OfferWithin)
	}
}

// linkBusy reports whether a decode server's link carries transfers that would
// slow down another one. Without this check all decodes of a failure domain
// would go to its nearest server, where their transfers would slow each other
// down until results expire. The symptom would be transferStalled while other
// links are idle.
func (p *probe) linkBusy() bool {
	if p.round.phase != message.PhaseDecode || p.offer.LinkBytes <= 0 {
		return false
	}
	return p.offer.LinkBytes < p.server.LinkBytes*idleLinkShare
}

// idleLinkShare is the free share of its rate from which a link counts as idle.
const idleLinkShare = 0.75

// usesLateBinding reports whether a round keeps its places in the queues of all
// gates that made an offer, and takes the gate that grants first (late
// binding). Gates predict badly when generations end: bound to one queue by
// such a prediction, an urgent request would wait in it while other servers
// have capacity. A patient request keeps one place only: there are many of
// them, and gates hold capacity for the first request in line.
func (g *round) usesLateBinding(r *request) bool {
	return r.Urgency == oriolebend.Urgent && g.phase != message.PhasePrefill && g.reserve.Hold && !g.hasGrant()
}

func (g *round) hasGrant() bool {
	for _, p := range g.probes {
		if p.offer != nil && p.offer.Granted {
			return true
		}
	}
	return false
}

// minWaitToProbe is the wait above which another candidate is probed: below it
// the round trip costs more than it can gain.
const minWaitToProbe = 10 * time.Millisecond

func (g *round) allOffered() bool {
	for _, p := range g.probes {
		if p.offer == nil {
			return false
		}
	}
	return true
}

func (s *State) chooseOffer(r *request, g *round) {
	var best *probe
	var lowest time.Duration
	for _, p := range g.probes {
		if p.offer == nil {
			continue
		}
		cost := s.route.Cost(s.estimate(r, g, p))
		if best == nil || cost < lowest {
			best, lowest = p, cost
		}
	}
	for _, p := range g.probes {
		if p != best {
			s.closeProbe(p)
		}
	}
	g.probes = g.probes[:0]
	g.probes = append(g.probes, best)
	g.chosen = best
	r.accepted = true
	best.counted = true
	best.server.open++
	s.applyChoice(r, g)
}

func (s *State) applyChoice(r *request, g *round) {
	if g.chosen.offer.Granted {
		s.markGranted(r, g)
		return
	}
	s.setAlarm(r, g.alarm, grantTimeout(*g.chosen.offer))
	s.advance(r)
}

// grantTimeout returns how long a gate may take for its grant. It is well over
// the gate's own prediction; after it the request reserves again.
func grantTimeout(m message.Offer) time.Duration {
	return 2*m.StartIn + time.Second
}

// handleGrant marks a waiting reservation as held. A duplicate grant changes
// nothing.
func (s *State) handleGrant(p *probe) {
	g := p.round
	if g.granted {
		return
	}
	if g.chosen == nil {
		// The grant came before the round was decided: it counts as a granted
		// offer.
		if p.offer == nil {
			s.handleOffer(p, message.Offer{Attempt: p.key.Attempt, Granted: true})
		} else {
			p.offer.Granted, p.offer.StartIn, p.offer.Queued = true, 0, 0
			s.chooseOffer(p.request, g)
		}
		return
	}
	s.markGranted(p.request, g)
}

func (s *State) markGranted(r *request, g *round) {
	g.granted = true
	r.clearAlarm(g.alarm)
	if g == r.standby {
		s.handleStandbyGranted(r)
		return
	}
	if g == r.prefill && s.route.ReservesDecode() && !(r.decode != nil && r.decode.granted) {
		s.setAlarm(r, alarmHold, s.config.HoldPrefill)
	}
	s.advance(r)
}

// roundTimedOut handles offers, a grant or a result that did not come in time.
func (s *State) roundTimedOut(r *request, g *round) {
	if g == nil {
		return
	}
	switch {
	case !g.sent.IsZero():
		s.handleStall(r)
	case g.chosen != nil:
		s.count("refused", oriolebend.ReasonQueueFull, r)
		s.handleRoundFailure(r, g, oriolebend.ReasonQueueFull, 0)
	case len(g.untried) > 0:
		s.probeNext(r, g)
	case g.hasOffer():
		s.chooseOffer(r, g)
	default:
		for _, p := range g.probes {
			p.server.health.RecordFailure(s.now)
			s.count("refused", oriolebend.ReasonServerLost, r)
		}
		s.handleRoundFailure(r, g, cmp.Or(g.reason, oriolebend.ReasonServerLost), g.retryAfter)
	}
}

func (g *round) hasOffer() bool {
	for _, p := range g.probes {
		if p.offer != nil {
			return true
		}
	}
	return false
}

// closeRound closes every session of a round.
func (s *State) closeRound(r *request, g *round) {
	if g == nil {
		return
	}
	for _, p := range g.probes {
		s.closeProbe(p)
	}
	g.probes = nil
	r.clearAlarm(g.alarm)
	switch g {
	case r.prefill:
		r.prefill = nil
		r.clearAlarm(alarmHold)
	case r.decode:
		r.decode = nil
	case r.standby:
		r.standby = nil
	case r.call:
		r.call = nil
	}
}

// closeProbe closes one session. If work was sent over the session, a Release
// goes first: the gate then remembers the attempt as closed, in case the work
// arrives after the close. A mere reservation needs no Release, which saves its
// bytes.
func (s *State) closeProbe(p *probe) {
	if s.sessions[p.key] != p {
		return
	}
	s.dropProbe(p)
	if !p.round.sent.IsZero() && !p.round.done {
		s.emit(Send{Session: p.key, Message: message.Release{Attempt: p.key.Attempt}})
	}
	s.emit(CloseSession{Session: p.key})
}

// markDone records that the work of a round ended by itself.
func (g *round) markDone() {
	if g != nil {
		g.done = true
	}
}

// dropProbe removes a session that is closed or lost.
func (s *State) dropProbe(p *probe) {
	delete(s.sessions, p.key)
	if p.counted {
		p.counted = false
		p.server.open--
	}
}

// closeAll closes all sessions of a request and drops its result.
func (s *State) closeAll(r *request) {
	s.closeRound(r, r.standby)
	s.closeRound(r, r.decode)
	s.closeRound(r, r.prefill)
	s.closeRound(r, r.call)
	s.dropResult(r)
	for _, a := range []alarm{alarmReserve, alarmHold, alarmHedge, alarmTransfer, alarmStall, alarmStatus} {
		r.clearAlarm(a)
	}
}
