package gate

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// ratioDecay is the factor by which each new observation scales the earlier
	// ones.
	ratioDecay = 0.95
	// transferPerToken is the initial prediction of the transfer time per
	// token.
	transferPerToken = 10 * time.Microsecond
	// maxKinds bounds the kinds of output whose lengths are predicted
	// separately.
	maxKinds = 256
)

// ratio estimates a rate as the quotient of two decaying sums.
type ratio struct{ numerator, denominator float64 }

func (r *ratio) observe(numerator, denominator float64) {
	r.numerator = r.numerator*ratioDecay + numerator
	r.denominator = r.denominator*ratioDecay + denominator
}

func (r *ratio) value() float64 { return r.numerator / r.denominator }

// outputKind identifies outputs of similar length.
type outputKind struct {
	model   string
	urgency oriolebend.Urgency
}

// predictor predicts durations from observations of this server.
type predictor struct {
	// prefill is the rate in uncached tokens a second while the engine computes
	// any prefill.
	prefill ratio
	// busySince is when the engine last began to compute or last ended a
	// prefill, whichever is later.
	busySince time.Time
	running   int
	// transfer is in seconds a token, step in seconds between tokens, call in
	// seconds.
	transfer ratio
	step     ratio
	call     ratio
	outputs  map[outputKind]*lengthDistribution
	fallback *lengthDistribution
}

func newPredictor(c Config) predictor {
	return predictor{
		prefill:  ratio{numerator: c.PrefillRate, denominator: 1},
		transfer: ratio{numerator: transferPerToken.Seconds() * 1000, denominator: 1000},
		step:     ratio{numerator: c.DecodeStep.Seconds(), denominator: 1},
		call:     ratio{numerator: c.CallTook.Seconds(), denominator: 1},
		outputs:  map[outputKind]*lengthDistribution{},
		fallback: newLengthDistribution(float64(c.OutputTokens)),
	}
}

// workTime predicts the duration of a reservation's work.
func (p *predictor) workTime(r *reservation) time.Duration {
	switch r.reserve.Phase {
	case message.PhasePrefill:
		return seconds(float64(r.uncachedTokens) / p.prefill.value())
	case message.PhaseDecode:
		return p.transferTime(r) + seconds(p.outputTokens(r)*p.step.value())
	default:
		return p.callTime()
	}
}

// firstResultTime predicts the time from the start of the work to its first
// result.
func (p *predictor) firstResultTime(r *reservation) time.Duration {
	if r.reserve.Phase == message.PhaseDecode {
		return p.transferTime(r) + seconds(p.step.value())
	}
	return r.workTime
}

// outputTokens predicts the length of a decode's output, in tokens.
func (p *predictor) outputTokens(r *reservation) float64 {
	return min(p.lengthsOf(r).mean, float64(max(r.reserve.MaxTokens, 1)))
}

// lengthsOf returns the length distribution of a reservation's kind of output.
func (p *predictor) lengthsOf(r *reservation) *lengthDistribution {
	if learned := p.outputs[kindOf(r)]; learned != nil {
		return learned
	}
	return p.fallback
}

// holds predicts the probability that a decode still holds its capacity at a
// moment after now.
func (p *predictor) holds(r *reservation, now, at time.Time) float64 {
	step := p.step.value()
	reachedTokens, since := 0.0, later(r.heldFrom, now)
	if r.atServer() {
		since = r.startedAt
	}
	if r.hasOutput {
		reachedTokens, since = float64(r.outputTokens), r.lastOutputAt
	} else {
		since = since.Add(p.transferTime(r))
	}
	predictedTokens := reachedTokens + at.Sub(since).Seconds()/step
	if predictedTokens >= float64(max(r.reserve.MaxTokens, 1)) {
		return 0
	}
	return p.lengthsOf(r).continues(reachedTokens, predictedTokens)
}

func (p *predictor) transferTime(r *reservation) time.Duration {
	return seconds(float64(r.reserve.PromptTokens) * p.transfer.value())
}

func (p *predictor) callTime() time.Duration { return seconds(p.call.value()) }

func (p *predictor) prefillStarted(now time.Time) {
	if p.running == 0 {
		p.busySince = now
	}
	p.running++
}

// prefillEnded observes the rate of the engine as a whole: the tokens since the
// last end divided by the time since then, however many prefills ran in
// parallel.
func (p *predictor) prefillEnded(now time.Time, tokens int) {
	elapsed := now.Sub(p.busySince).Seconds()
	if tokens > 0 && elapsed > 0 {
		p.prefill.observe(float64(tokens), elapsed)
	}
	p.prefillAborted(now)
}

// prefillAborted discards the time of a prefill that ended without a result.
func (p *predictor) prefillAborted(now time.Time) {
	p.busySince = now
	p.running = max(p.running-1, 0)
}

func (p *predictor) observeTransfer(r *reservation, now time.Time) {
	elapsed := now.Sub(r.startedAt).Seconds() - p.step.value()
	p.transfer.observe(max(elapsed, 0), float64(max(r.reserve.PromptTokens, 1)))
}

func (p *predictor) observeStep(step time.Duration) { p.step.observe(step.Seconds(), 1) }

func (p *predictor) observeCall(took time.Duration) { p.call.observe(took.Seconds(), 1) }

// observeOutput observes the length of a decode's output.
func (p *predictor) observeOutput(r *reservation) {
	kind := kindOf(r)
	learned := p.outputs[kind]
	if learned == nil {
		if len(p.outputs) >= maxKinds {
			return
		}
		learned = newLengthDistribution(p.fallback.mean)
		p.outputs[kind] = learned
	}
	learned.observe(float64(max(r.outputTokens, 1)))
}

func kindOf(r *reservation) outputKind {
	return outputKind{model: r.reserve.Model, urgency: r.reserve.Urgency}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// predictedWait predicts how long from now a reservation that isn't in the
// queue yet would wait for its start.
func (s *State) predictedWait(r *reservation) time.Duration {
	if s.queue.length == 0 && s.fits(r) {
		return r.leadTime
	}
	ahead := s.queue.costAhead(r)
	if r.reserve.Phase == message.PhaseDecode {
		memory := s.earliestFit(r).Sub(s.now) + s.waitBehind(r, ahead)
		return max(memory, s.linkWait(r, s.now.Add(r.leadTime)))
	}
	return max(s.waitBehind(r, ahead), minRetryAfter)
}

// waitBehind predicts how long a reservation waits behind queued work of the
// given cost and, for a prefill, behind the running ones.
func (s *State) waitBehind(r *reservation, ahead float64) time.Duration {
	switch r.reserve.Phase {
	case message.PhasePrefill:
		return seconds((s.remainingPrefill(r.reserve.Urgency) + ahead) / s.predict.prefill.value())
	case message.PhaseDecode:
		return seconds(ahead / float64(max(s.engine.info.KVTokens, 1)) * r.workTime.Seconds())
	default:
		return seconds((ahead + 1) / float64(s.limit.slots()) * r.workTime.Seconds())
	}
}

// sharedPrefillTime predicts the duration of a prefill that shares the engine
// with the running ones.
func (s *State) sharedPrefillTime(r *reservation) time.Duration {
	others := s.remainingPrefill(r.reserve.Urgency)
	if r.holdsSlot {
		others -= float64(r.uncachedTokens)
	}
	return r.workTime + seconds(max(others, 0)/s.predict.prefill.value())
}

// remainingPrefill sums the uncached tokens that are left of the running
// prefills and that are computed before a prefill of this urgency. The engine
// honours priorities, so patient prefills don't delay urgent ones.
func (s *State) remainingPrefill(u oriolebend.Urgency) float64 {
	left := 0.0
	for _, held := range s.memory.holders {
		if !held.holdsSlot || (u == oriolebend.Urgent && held.reserve.Urgency != oriolebend.Urgent) {
			continue
		}
		done := 0.0
		if !held.startedAt.IsZero() {
			done = s.now.Sub(held.startedAt).Seconds() * s.predict.prefill.value()
		}
		left += max(float64(held.uncachedTokens)-done, 0)
	}
	return left
}
