package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// round is one asking of a few gates for room, and what came of it.
type round struct {
	phase   message.Phase
	attempt uint32
	alarm   alarm
	// probes are the sessions that are open, and spare the candidates that
	// reserve would be sent to next.
	probes  []*probe
	spare   []*server
	reserve message.Reserve
	// chosen is the session whose offer was taken; the others are closed then.
	chosen  *probe
	granted bool
	// sent is when the work was dispatched; zero before.
	sent time.Time
	// done is true once the work ended by itself: nothing is left to cancel.
	done bool
	// reason and retryAfter are the last refusal's.
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
	// noted is true while the session counts in its server's load.
	noted bool
}

// begin starts a request that got its turn.
func (s *State) begin(r *request) {
	s.stopWaiting(r)
	r.step = stepRouting
	s.advance(r)
}

// advance takes every step of a request that is possible now. It may be called
// at any time: what is not due yet is left alone.
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
		s.openDecodeFor(r, s.prefillEnds(r))
	case r.decode.granted:
		s.sendPrefill(r)
	}
}

// ask opens sessions with the candidates of a request for one phase. It
// returns nil if no server can serve it now.
func (s *State) ask(r *request, a alarm, reserve message.Reserve, w policy.Want, k poolKey) *round {
	pool := s.pool(k)
	if pool.Len() == 0 {
		return nil
	}
	if !s.route.ReservesDecode() {
		w.Count = 1
	}
	s.pick(pool.Pool, w)
	g := &round{
		phase:   reserve.Phase,
		attempt: reserve.Attempt.Number,
		alarm:   a,
		spare:   slices.Clone(s.picked),
		reserve: reserve,
	}
	s.askNext(r, g)
	for len(g.spare) > 0 && (s.config.AskAtOnce || !reserve.Hold) {
		s.askNext(r, g)
	}
	return g
}

// askNext opens a session with the next candidate of a round. Most first
// candidates can serve at once: to ask the others only if it can't costs one
// round trip then, and saves half of the bytes and of the gates' work.
func (s *State) askNext(r *request, g *round) {
	v := g.spare[0]
	g.spare = g.spare[1:]
	s.open(r, g, v, g.reserve)
	wait := s.config.ProbeWithin
	if len(g.spare) > 0 {
		wait = s.config.OfferWithin
	}
	s.setAlarm(r, g.alarm, wait)
}

// pick fills s.picked with the candidates.
func (s *State) pick(pool *policy.Pool[*server], w policy.Want) {
	s.picked = s.picked[:0]
	if except := s.servers[w.Except]; except != nil && pool.Len() > 1 {
		s.picked = append(s.picked, except)
		w.Count++
		s.picked = s.route.Pick(pool, w, s.rng, s.picked)[1:]
		return
	}
	s.picked = s.route.Pick(pool, w, s.rng, s.picked)
}

func (s *State) open(r *request, g *round, v *server, reserve message.Reserve) {
	key := SessionKey{Attempt: reserve.Attempt, Phase: g.phase, Server: v.Name}
	p := &probe{key: key, request: r, round: g, server: v}
	g.probes = append(g.probes, p)
	s.sessions[key] = p
	s.emit(OpenSession{Session: key, Address: v.GateAddress, Reserve: reserve})
}

// reservation fills in what all reservations of a request have in common.
func (s *State) reservation(r *request, phase message.Phase) message.Reserve {
	reserve := message.Reserve{
		Attempt:      message.Attempt{RequestID: r.record, Number: r.attempt},
		Phase:        phase,
		Entry:        s.config.Name,
		Organisation: r.Scope.Organisation,
		Urgency:      r.Urgency,
		Model:        r.Model,
		Version:      r.Version,
		Adapter:      r.Adapter,
		Service:      r.Service,
		Waited:       s.now.Sub(r.arrived).Truncate(waitedUnit),
		Hold:         true,
		Once:         r.Once,
	}
	if phase != message.PhaseDecode && r.output.tokens == 0 {
		reserve.Deadline = s.startWithin(r)
	}
	return reserve
}

// waitedUnit is the unit in which a request's age is told: gates age work over
// seconds, and small numbers take fewer bytes.
const waitedUnit = 100 * time.Millisecond

// startWithin is how long a first output is of use, told to gates so that they
// refuse early what would come too late; zero is no bound. An urgent request
// has its latency target, a patient one the deadline of its caller, if any. An
// accepted request that is late already asks without: it is not dropped.
func (s *State) startWithin(r *request) time.Duration {
	var left time.Duration
	switch {
	case r.late:
	case r.Urgency == oriolebend.Urgent:
		left = r.FirstWithin - s.now.Sub(r.arrived)
	case !r.Deadline.IsZero():
		left = r.Deadline.Sub(s.now)
	}
	return max(0, left.Truncate(time.Millisecond))
}

// offered takes a gate's offer. The round waits a little for the other offers
// and then takes the best.
func (s *State) offered(p *probe, m message.Offer) {
	g := p.round
	if p.offer != nil || g.chosen != nil {
		return
	}
	p.offer = &m
	p.server.queued, p.server.seen = m.Queued, s.now
	switch {
	case m.Granted && !s.config.AskAtOnce && (len(g.spare) == 0 || !p.linkBusy()):
		s.choose(p.request, g)
	case len(g.spare) > 0 && (p.linkBusy() || m.StartIn > worthAsking):
		s.askNext(p.request, g)
	case g.answered() && g.bindsLate(p.request):
		s.setAlarm(p.request, g.alarm, grantLate(m))
	case len(g.spare) > 0 || g.answered():
		s.choose(p.request, g)
	default:
		s.setAlarm(p.request, g.alarm, s.config.OfferWithin)
	}
}

// linkBusy reports whether a decode server's link carries transfers that would
// slow one more down. Without it all decodes of a failure domain go to its
// nearest server, where their transfers take each other's time until results
// expire; one would notice by transferStalled while other links are idle.
func (p *probe) linkBusy() bool {
	if p.round.phase != message.PhaseDecode || p.offer.LinkBytes <= 0 {
		return false
	}
	return p.offer.LinkBytes < p.server.LinkBytes*idleLink
}

// idleLink is the share of its rate from which a link counts as idle.
const idleLink = 0.75

// bindsLate reports whether a round keeps its places in all the queues that
// took it in, and takes the gate that grants first (late binding). Gates
// predict badly when generations end; bound to one queue by such a prediction
// a ping waits in it while other servers have room. Patient requests take one
// place: there are many of them, and gates keep room for the first in line.
func (g *round) bindsLate(r *request) bool {
	return r.Urgency == oriolebend.Urgent && g.phase != message.PhasePrefill && g.reserve.Hold && !g.anyGranted()
}

func (g *round) anyGranted() bool {
	for _, p := range g.probes {
		if p.offer != nil && p.offer.Granted {
			return true
		}
	}
	return false
}

// worthAsking is the wait from which another candidate is asked: below it the
// round trip costs more than what could be won.
const worthAsking = 10 * time.Millisecond

func (g *round) answered() bool {
	for _, p := range g.probes {
		if p.offer == nil {
			return false
		}
	}
	return true
}

func (s *State) choose(r *request, g *round) {
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
	best.noted = true
	best.server.open++
	s.chosen(r, g)
}

func (s *State) chosen(r *request, g *round) {
	if g.chosen.offer.Granted {
		s.hold(r, g)
		return
	}
	s.setAlarm(r, g.alarm, grantLate(*g.chosen.offer))
	s.advance(r)
}

// grantLate is how long a gate may take for its grant: well over its own
// prediction, after which the request asks again elsewhere.
func grantLate(m message.Offer) time.Duration {
	return 2*m.StartIn + time.Second
}

// granted tells that a waiting reservation is held now. A doubled grant
// changes nothing.
func (s *State) granted(p *probe) {
	g := p.round
	if g.granted {
		return
	}
	if g.chosen == nil {
		// The grant came before the round was decided: it is as good as an
		// offer that is granted.
		if p.offer == nil {
			s.offered(p, message.Offer{Attempt: p.key.Attempt, Granted: true})
		} else {
			p.offer.Granted, p.offer.StartIn, p.offer.Queued = true, 0, 0
			s.choose(p.request, g)
		}
		return
	}
	s.hold(p.request, g)
}

func (s *State) hold(r *request, g *round) {
	g.granted = true
	r.clearAlarm(g.alarm)
	if g == r.standby {
		s.standbyReady(r)
		return
	}
	if g == r.prefill && s.route.ReservesDecode() && !(r.decode != nil && r.decode.granted) {
		s.setAlarm(r, alarmHold, s.config.HoldPrefill)
	}
	s.advance(r)
}

// roundDue is met when offers, a grant or a result did not come in time.
func (s *State) roundDue(r *request, g *round) {
	if g == nil {
		return
	}
	switch {
	case !g.sent.IsZero():
		s.stalled(r)
	case g.chosen != nil:
		s.count("refused", oriolebend.ReasonQueueFull, r)
		s.roundFailed(r, g, oriolebend.ReasonQueueFull, 0)
	case len(g.spare) > 0:
		s.askNext(r, g)
	case g.anyOffer():
		s.choose(r, g)
	default:
		for _, p := range g.probes {
			p.server.health.Fail(s.now)
			s.count("refused", oriolebend.ReasonServerLost, r)
		}
		s.roundFailed(r, g, cmp.Or(g.reason, oriolebend.ReasonServerLost), g.retryAfter)
	}
}

func (g *round) anyOffer() bool {
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

// closeProbe closes one session. A Release goes before if work was sent over
// it: the gate then remembers the attempt as closed, should the work arrive
// after the close. A mere reservation needs none, which saves its bytes.
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

// finish notes that the work of a round ended by itself.
func (g *round) finish() {
	if g != nil {
		g.done = true
	}
}

// dropProbe forgets a session that is closed or lost.
func (s *State) dropProbe(p *probe) {
	delete(s.sessions, p.key)
	if p.noted {
		p.noted = false
		p.server.open--
	}
}

// closeAll closes every session of a request at once and drops its result.
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
