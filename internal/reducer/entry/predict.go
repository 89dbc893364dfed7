package entry

import (
	"container/list"
	"math"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// gain is the share of one observation in a learned mean.
const gain = 0.1

// firstToken is what a lane learned of its work.
type firstToken struct {
	// perToken follows the time of a prefill for one prompt token, and
	// bytesPerToken the size of its KV cache.
	perToken      float64
	bytesPerToken float64
	// livesFor is how long the last prefill result could be fetched.
	livesFor time.Duration
}

// admitShare is the share of the target of the first token that a new request
// may be expected to take: the others of its urgency that wait now will have
// waited longer by the time it is served.
const admitShare = 0.7

// late is how long a new request should stay away because its first token
// would be late; zero if it would not. Work of one urgency is served about in
// the order of its coming, so that a new request waits about as long as the
// oldest one has that has no output yet. That is known now, while a mean of
// finished waits tells of the load some seconds ago.
//
// Without it an overloaded pool serves every request just behind its target,
// and all of them have failed; one would notice goodput falling to nothing
// while the servers are busy.
func (l *lane) late(r *request, now time.Time) time.Duration {
	oldest := l.unstarted(r.Urgency).Front()
	if oldest == nil {
		return 0
	}
	waited := now.Sub(oldest.Value.(*request).arrived)
	work := time.Duration(l.first.perToken * float64(r.PromptTokens) * float64(time.Second))
	limit := time.Duration(admitShare * float64(r.FirstWithin))
	if waited+work <= limit || r.Urgency == oriolebend.Patient && !l.queuedTooLong(r, now) {
		return 0
	}
	return min(max(waited+work-limit, comeBack/10), r.FirstWithin)
}

// queuedTooLong reports whether a new patient request would wait too long by the
// number of those that wait already, over the rate at which patient requests
// come to their first token (Little's law). One old request that finds no room
// says nothing of the others, which go on past it; by its age alone no patient
// request would be let in for as long as it waits. The number alone would shut
// out requests that come seldom: their rate is that of their coming.
func (l *lane) queuedTooLong(r *request, now time.Time) bool {
	rate := l.served.value(now)
	if rate <= 0 {
		return true
	}
	wait := time.Duration(float64(l.patient.Len()+1) / rate * float64(time.Second))
	return wait > time.Duration(patientShare*float64(r.FirstWithin))
}

// patientShare is the share of the target that a mean wait may take: one
// request in a hundred waits twice as long.
const patientShare = 0.5

// rateFades is the time constant of a rateMeter.
const rateFades = 5 * time.Second

// rateMeter follows how many events come in a second, fading.
type rateMeter struct {
	rate float64
	// since is the first event and seen the last one.
	since, seen time.Time
}

func (m *rateMeter) add(now time.Time) {
	if m.since.IsZero() {
		m.since = now
	}
	m.rate = m.faded(now) + 1/rateFades.Seconds()
	m.seen = now
}

func (m *rateMeter) faded(now time.Time) float64 {
	return m.rate * math.Exp(-now.Sub(m.seen).Seconds()/rateFades.Seconds())
}

// value is the rate, or zero while too little was seen to know it.
func (m *rateMeter) value(now time.Time) float64 {
	if m.since.IsZero() || now.Sub(m.since) < rateFades {
		return 0
	}
	return m.faded(now) / (1 - math.Exp(-now.Sub(m.since).Seconds()/rateFades.Seconds()))
}

// unstarted lists the lane's requests of one urgency that have no output yet,
// in the order of their coming.
func (l *lane) unstarted(u oriolebend.Urgency) *list.List {
	if u == oriolebend.Urgent {
		return &l.urgent
	}
	return &l.patient
}

// started notes that a request has output, or ends without any.
func (r *request) started() {
	if r.unstarted != nil {
		r.lane.unstarted(r.Urgency).Remove(r.unstarted)
		r.unstarted = nil
	}
}

// observeOutput learns from one run of output.
func (s *State) observeOutput(r *request, tokens int) {
	switch {
	case r.output.tokens == 0:
		took := s.now.Sub(r.arrived)
		s.observe("firstToken", r, took.Seconds())
		r.started()
		if r.Urgency == oriolebend.Patient {
			r.lane.served.add(s.now)
		}
	case tokens > 0:
		s.observe("betweenTokens", r, s.now.Sub(r.lastOutput).Seconds()/float64(tokens))
	}
	r.lastOutput = s.now
}

// prefillEnds is when the prefill whose offer was taken should end, from now:
// the gate's own prediction, corrected by how its earlier ones came out.
func (s *State) prefillEnds(r *request) time.Duration {
	p := r.prefill.chosen
	took := time.Duration(float64(p.offer.Took) * p.server.health.Correction())
	return p.offer.StartIn + took
}

// took is the gate's prediction of the work itself.
func (g *round) took() time.Duration {
	if g.chosen == nil || g.chosen.offer == nil {
		return 0
	}
	return g.chosen.offer.Took
}

// learnPrefill learns how well the server's prediction was met and how much
// time and cache a prompt token costs.
func (s *State) learnPrefill(r *request, g *round, m message.Prefilled) {
	took := s.now.Sub(g.sent)
	g.chosen.server.health.Observe(took, g.took(), s.now)
	s.observe("prefill", r, took.Seconds())
	if g.took() > 0 {
		s.observe("prefillPrediction", r, took.Seconds()/g.took().Seconds())
	}
	tokens := float64(r.PromptTokens + r.output.tokens)
	if tokens == 0 {
		return
	}
	learn(&r.lane.first.perToken, took.Seconds()/tokens)
	r.lane.first.livesFor = m.LivesFor
	learn(&r.lane.first.bytesPerToken, float64(m.KVBytes)/tokens)
}

func learn(mean *float64, seen float64) {
	if *mean == 0 {
		*mean = seen
		return
	}
	*mean += gain * (seen - *mean)
}

// estimate is what a policy is told of one offer.
func (s *State) estimate(r *request, g *round, p *probe) policy.Estimate {
	e := policy.Estimate{
		StartIn: p.offer.StartIn,
		Took:    time.Duration(float64(p.offer.Took) * p.server.health.Correction()),
		Granted: p.offer.Granted,
		Queued:  p.offer.Queued,
	}
	if g.phase != message.PhaseDecode {
		e.OtherDomain = p.server.FailureDomain != s.config.FailureDomain
		return e
	}
	e.OtherDomain = p.server.FailureDomain != s.resultDomain(r)
	e.Transfer = transferTime(s.cacheBytes(r), p)
	return e
}

// cacheBytes is the size of the KV cache to move, known or predicted.
func (s *State) cacheBytes(r *request) int64 {
	if r.result != nil {
		return r.result.KVBytes
	}
	return int64(r.lane.first.bytesPerToken * float64(r.PromptTokens+r.output.tokens))
}

// transferTime is how long so many bytes take over what the gate says that
// its link has left.
func transferTime(bytes int64, p *probe) time.Duration {
	rate := p.server.LinkBytes
	if p.offer != nil && p.offer.LinkBytes > 0 {
		rate = p.offer.LinkBytes
	}
	return over(bytes, rate)
}

// idleTransfer is how long so many bytes take over the whole of a link.
func idleTransfer(bytes int64, p *probe) time.Duration {
	return over(bytes, p.server.LinkBytes)
}

func over(bytes int64, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}
