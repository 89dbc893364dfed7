package entry

import (
	"math"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// gain is the share of one observation in a learned mean.
const gain = 0.1

// waitFades is the time constant with which a learned wait is forgotten, so
// that a lane which refused all requests takes some in again.
const waitFades = time.Second

// firstToken is what a lane learned of the time to the first token.
type firstToken struct {
	// wait follows the time over the request's own work, in seconds.
	wait float64
	seen time.Time
	// perToken follows the time of the own work for one prompt token, and
	// bytesPerToken the size of its KV cache.
	perToken      float64
	bytesPerToken float64
	// slowdown follows how many times longer a transfer takes than over a link
	// of its own, and livesFor is how long the last result could be fetched.
	slowdown float64
	livesFor time.Duration
}

// late is how long a new urgent request should stay away because its first
// token would be late; zero if it would not.
//
// Without it an overloaded pool serves every ping just behind its target, and
// all of them have failed; one would notice goodput falling while the servers
// are busy.
func (l *lane) late(r *request, now time.Time) time.Duration {
	if r.Urgency != oriolebend.Urgent || r.Call != nil || l.first.seen.IsZero() {
		return 0
	}
	faded := l.first.wait * math.Exp(-now.Sub(l.first.seen).Seconds()/waitFades.Seconds())
	work := l.first.perToken * float64(r.PromptTokens)
	over := time.Duration((faded + work - r.FirstWithin.Seconds()) * float64(time.Second))
	if over <= 0 || faded <= 0 {
		return 0
	}
	return max(over, comeBack/10)
}

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

// waitShare is the share of the longest wait that may be predicted: what is
// predicted is a mean, and one request in a hundred waits twice as long.
const waitShare = 0.5

// queuedTooLong is how long a new patient request should stay away because
// those that wait before it keep it from its first token for longer than it may
// take; zero if they do not. Patient requests may wait, and none that was
// accepted is dropped.
//
// Without it a load that is over the fleet's capacity by little makes every
// brief late, and later the longer the load lasts: one would notice that the
// servers are busy while no brief meets its target.
func (l *lane) queuedTooLong(r *request, within time.Duration, now time.Time) time.Duration {
	if r.Urgency != oriolebend.Patient || r.Call != nil || l.queue.Len() == 0 {
		return 0
	}
	rate := l.served.value(now)
	if rate <= 0 {
		return 0
	}
	wait := float64(l.queue.Len()+1)/rate + l.began
	over := time.Duration((wait - waitShare*within.Seconds()) * float64(time.Second))
	if over <= 0 {
		return 0
	}
	return max(over, comeBack)
}

func (f *firstToken) observe(r *request, took time.Duration, now time.Time) {
	work := f.perToken * float64(r.PromptTokens)
	wait := took.Seconds() - work
	f.wait += gain * 3 * (max(0, wait) - f.wait)
	f.seen = now
}

// observeOutput learns from one run of output.
func (s *State) observeOutput(r *request, tokens int) {
	switch {
	case r.output.tokens == 0:
		took := s.now.Sub(r.arrived)
		s.observe("firstToken", r, took.Seconds())
		r.lane.served.add(s.now)
		learn(&r.lane.began, s.now.Sub(r.begunAt).Seconds())
		if r.Urgency == oriolebend.Urgent {
			r.lane.first.observe(r, took, s.now)
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
	r.lane.first.livesFor = m.LivesFor
	learn(&r.lane.first.perToken, took.Seconds()/tokens)
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
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

// leastObserved is the shortest transfer that the slowdown is learned from:
// in a shorter one the wait for the first token weighs more.
const leastObserved = 20 * time.Millisecond

// observeTransfer learns from the first output how long the transfer took.
func (f *firstToken) observeTransfer(bytes int64, g *round, now time.Time) {
	alone := aloneTime(bytes, g.chosen.server.LinkBytes)
	if alone < leastObserved {
		return
	}
	learn(&f.slowdown, now.Sub(g.sent).Seconds()/alone.Seconds())
}

// transferTime is how long the transfer to a server should take, as transfers
// go now.
func (f *firstToken) transferTime(bytes int64, v *server) time.Duration {
	alone := aloneTime(bytes, v.LinkBytes)
	return time.Duration(float64(alone) * max(f.slowdown, 1))
}

// aloneTime is how long a transfer takes over a link that it has for itself;
// zero if the rate is not known.
func aloneTime(bytes int64, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}
