package entry

import (
	"container/list"
	"math"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// ewmaWeight is the weight of one observation in a learned mean.
const ewmaWeight = 0.1

// costModel is what a lane learned about the cost of its work.
type costModel struct {
	// perToken is the mean time of a prefill for one prompt token, and
	// bytesPerToken the mean size of its KV cache.
	perToken      float64
	bytesPerToken float64
	// livesFor is how long the last prefill result could be fetched.
	livesFor time.Duration
}

// admitShare is the share of the first-token target that a new request may be
// expected to take: the requests of its urgency that wait now will have waited
// longer by the time they are served.
const admitShare = 0.7

// admissionDelay returns after how long a new request should be sent again
// because its first token would be late; zero if it would not be late. Requests
// of one urgency are served roughly in the order of their arrival, so that a
// new request waits about as long as the oldest one without output has waited.
// That age is known now, while a mean of finished waits describes the load of
// some seconds ago. The time until a request was claimed does not count: it is
// that of the control VMs, and a second without a leader would refuse requests
// to idle servers.
//
// Without this check an overloaded pool serves every request just after its
// target, so that all of them fail. The symptom would be a goodput that falls
// to nothing while the servers are busy.
func (l *lane) admissionDelay(r *request, now time.Time) time.Duration {
	oldest := l.unstarted(r.Urgency).Front()
	if oldest == nil {
		return 0
	}
	waited := now.Sub(oldest.Value.(*request).claimed)
	work := time.Duration(l.costs.perToken * float64(r.PromptTokens) * float64(time.Second))
	limit := time.Duration(admitShare * float64(r.FirstWithin))
	if waited+work <= limit || r.Urgency == oriolebend.Patient && !l.queueTooLong(r, now) {
		return 0
	}
	return min(max(waited+work-limit, defaultRetryAfter/10), r.FirstWithin)
}

// queueTooLong reports whether a new patient request would wait too long,
// judged by the number of requests that wait already and the rate at which
// patient requests get their first token (Little's law).
//
// The age of the oldest request is not enough for patient requests: one that
// finds no capacity says nothing about the others, which overtake it, and no
// patient request would be admitted for as long as it waits. The number alone
// is not enough either: it would refuse requests that arrive rarely, because
// their rate of first tokens is then their rate of arrival.
func (l *lane) queueTooLong(r *request, now time.Time) bool {
	rate := l.served.value(now)
	if rate <= 0 {
		return true
	}
	wait := time.Duration(float64(l.patient.Len()+1) / rate * float64(time.Second))
	return wait > time.Duration(patientWaitShare*float64(r.FirstWithin))
}

// patientWaitShare is the share of the target that the mean wait may take: one
// request in a hundred waits twice as long.
const patientWaitShare = 0.5

// rateDecay is the time constant of a rateMeter.
const rateDecay = 5 * time.Second

// rateMeter measures the rate of events a second, with exponential decay.
type rateMeter struct {
	rate float64
	// since is the time of the first event, and seen the time of the last one.
	since, seen time.Time
}

func (m *rateMeter) add(now time.Time) {
	if m.since.IsZero() {
		m.since = now
	}
	m.rate = m.decayed(now) + 1/rateDecay.Seconds()
	m.seen = now
}

func (m *rateMeter) decayed(now time.Time) float64 {
	return m.rate * math.Exp(-now.Sub(m.seen).Seconds()/rateDecay.Seconds())
}

// value returns the rate, or zero while the events span less than rateDecay.
func (m *rateMeter) value(now time.Time) float64 {
	if m.since.IsZero() || now.Sub(m.since) < rateDecay {
		return 0
	}
	return m.decayed(now) / (1 - math.Exp(-now.Sub(m.since).Seconds()/rateDecay.Seconds()))
}

// unstarted returns the lane's requests of one urgency that have no output yet,
// in the order of their arrival.
func (l *lane) unstarted(u oriolebend.Urgency) *list.List {
	if u == oriolebend.Urgent {
		return &l.urgent
	}
	return &l.patient
}

// markStarted removes a request from the lane's list of requests without
// output, once it has output or ends without any.
func (r *request) markStarted() {
	if r.unstarted != nil {
		r.lane.unstarted(r.Urgency).Remove(r.unstarted)
		r.unstarted = nil
	}
}

// observeOutput updates measurements and the lane's rate with one part of
// output.
func (s *State) observeOutput(r *request, tokens int) {
	switch {
	case r.output.tokens == 0:
		took := s.now.Sub(r.arrived)
		s.observe("firstToken", r, took.Seconds())
		r.markStarted()
		if r.Urgency == oriolebend.Patient {
			r.lane.served.add(s.now)
		}
	case tokens > 0:
		s.observe("betweenTokens", r, s.now.Sub(r.lastOutput).Seconds()/float64(tokens))
	}
	r.lastOutput = s.now
}

// predictPrefillEnd returns the time from now until the prefill whose offer was
// taken should end: the gate's own prediction, corrected by the accuracy of its
// earlier ones.
func (s *State) predictPrefillEnd(r *request) time.Duration {
	p := r.prefill.chosen
	took := time.Duration(float64(p.offer.Took) * p.server.health.Correction())
	return p.offer.StartIn + took
}

// predictedDuration returns the gate's prediction for the work itself.
func (g *round) predictedDuration() time.Duration {
	if g.chosen == nil || g.chosen.offer == nil {
		return 0
	}
	return g.chosen.offer.Took
}

// learnPrefill updates the accuracy of the server's predictions, and the time
// and the cache size for one prompt token.
func (s *State) learnPrefill(r *request, g *round, m message.Prefilled) {
	took := s.now.Sub(g.sent)
	g.chosen.server.health.Observe(took, g.predictedDuration(), s.now)
	s.observe("prefill", r, took.Seconds())
	if g.predictedDuration() > 0 {
		s.observe("prefillPrediction", r, took.Seconds()/g.predictedDuration().Seconds())
	}
	tokens := float64(r.PromptTokens + r.output.tokens)
	if tokens == 0 {
		return
	}
	updateMean(&r.lane.costs.perToken, took.Seconds()/tokens)
	r.lane.costs.livesFor = m.LivesFor
	updateMean(&r.lane.costs.bytesPerToken, float64(m.KVBytes)/tokens)
}

func updateMean(mean *float64, seen float64) {
	if *mean == 0 {
		*mean = seen
		return
	}
	*mean += ewmaWeight * (seen - *mean)
}

// estimate returns what a policy needs to know about one offer.
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

// cacheBytes returns the size of the KV cache to move, known or predicted.
func (s *State) cacheBytes(r *request) int64 {
	if r.result != nil {
		return r.result.KVBytes
	}
	return int64(r.lane.costs.bytesPerToken * float64(r.PromptTokens+r.output.tokens))
}

// transferTime returns how long a transfer takes at the rate that the gate
// reports as free on its link.
func transferTime(bytes int64, p *probe) time.Duration {
	rate := p.server.LinkBytes
	if p.offer != nil && p.offer.LinkBytes > 0 {
		rate = p.offer.LinkBytes
	}
	return durationAt(bytes, rate)
}

// idleTransfer returns how long a transfer takes at the full rate of a link.
func idleTransfer(bytes int64, p *probe) time.Duration {
	return durationAt(bytes, p.server.LinkBytes)
}

func durationAt(bytes int64, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}
