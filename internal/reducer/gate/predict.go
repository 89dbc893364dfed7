package gate

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// memoryShare is how much of what was learned before a new observation
	// leaves.
	memoryShare = 0.95
	// transferPerToken is the first guess of a transfer's time.
	transferPerToken = 10 * time.Microsecond
	// mostKinds bounds the kinds of output that are told apart.
	mostKinds = 256
)

// ratio learns a rate as a quotient of two decaying sums.
type ratio struct{ above, below float64 }

func (r *ratio) observe(above, below float64) {
	r.above = r.above*memoryShare + above
	r.below = r.below*memoryShare + below
}

func (r *ratio) value() float64 { return r.above / r.below }

// outputKind tells outputs of different length apart.
type outputKind struct {
	model   string
	urgency oriolebend.Urgency
}

// predictor learns durations from what was observed at this server.
type predictor struct {
	// prefill is uncached tokens a second while the engine computes any.
	prefill ratio
	// busyFrom is since when the engine computes without an end seen.
	busyFrom time.Time
	running  int
	// transfer is seconds a token, step seconds between tokens, call seconds.
	transfer ratio
	step     ratio
	call     ratio
	outputs  map[outputKind]*lengths
	unseen   *lengths
}

func newPredictor(c Config) predictor {
	return predictor{
		prefill:  ratio{above: c.PrefillRate, below: 1},
		transfer: ratio{above: transferPerToken.Seconds() * 1000, below: 1000},
		step:     ratio{above: c.DecodeStep.Seconds(), below: 1},
		call:     ratio{above: c.CallTook.Seconds(), below: 1},
		outputs:  map[outputKind]*lengths{},
		unseen:   newLengths(float64(c.OutputTokens)),
	}
}

// took predicts the time of a reservation's work.
func (p *predictor) took(r *reservation) time.Duration {
	switch r.reserve.Phase {
	case message.PhasePrefill:
		return seconds(float64(r.compute) / p.prefill.value())
	case message.PhaseDecode:
		return p.transferTook(r) + seconds(p.output(r)*p.step.value())
	default:
		return p.callTook()
	}
}

// first predicts the time from the start of the work to its first result.
func (p *predictor) first(r *reservation) time.Duration {
	if r.reserve.Phase == message.PhaseDecode {
		return p.transferTook(r) + seconds(p.step.value())
	}
	return r.took
}

// output predicts the length of a decode's output, in tokens.
func (p *predictor) output(r *reservation) float64 {
	return min(p.lengths(r).mean, float64(max(r.reserve.MaxTokens, 1)))
}

// lengths returns what is known of the lengths of such outputs.
func (p *predictor) lengths(r *reservation) *lengths {
	if known := p.outputs[kindOf(r)]; known != nil {
		return known
	}
	return p.unseen
}

// holds predicts the probability that a decode still holds its room at a
// moment after now.
func (p *predictor) holds(r *reservation, now, at time.Time) float64 {
	step := p.step.value()
	reached, since := 0.0, later(r.from, now)
	if r.atServer() {
		since = r.startedAt
	}
	if r.firstPart {
		reached, since = float64(r.output), r.lastPart
	} else {
		since = since.Add(p.transferTook(r))
	}
	then := reached + at.Sub(since).Seconds()/step
	if then >= float64(max(r.reserve.MaxTokens, 1)) {
		return 0
	}
	return p.lengths(r).goesOn(reached, then)
}

func (p *predictor) transferTook(r *reservation) time.Duration {
	return seconds(float64(r.reserve.PromptTokens) * p.transfer.value())
}

func (p *predictor) callTook() time.Duration { return seconds(p.call.value()) }

func (p *predictor) prefillStarted(now time.Time) {
	if p.running == 0 {
		p.busyFrom = now
	}
	p.running++
}

// prefillEnded learns the rate of the engine as a whole: the tokens since the
// last end over the time since then, however many prefills shared it.
func (p *predictor) prefillEnded(now time.Time, tokens int) {
	elapsed := now.Sub(p.busyFrom).Seconds()
	if tokens > 0 && elapsed > 0 {
		p.prefill.observe(float64(tokens), elapsed)
	}
	p.prefillBroken(now)
}

// prefillBroken forgets the time of a prefill that ended without a result.
func (p *predictor) prefillBroken(now time.Time) {
	p.busyFrom = now
	p.running = max(p.running-1, 0)
}

func (p *predictor) transferred(r *reservation, now time.Time) {
	elapsed := now.Sub(r.startedAt).Seconds() - p.step.value()
	p.transfer.observe(max(elapsed, 0), float64(max(r.reserve.PromptTokens, 1)))
}

func (p *predictor) stepped(step time.Duration) { p.step.observe(step.Seconds(), 1) }

func (p *predictor) called(took time.Duration) { p.call.observe(took.Seconds(), 1) }

// decodeEnded learns the length of the output.
func (p *predictor) decodeEnded(r *reservation) {
	kind := kindOf(r)
	known := p.outputs[kind]
	if known == nil {
		if len(p.outputs) >= mostKinds {
			return
		}
		known = newLengths(p.unseen.mean)
		p.outputs[kind] = known
	}
	known.observe(float64(max(r.output, 1)))
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
		return r.lead
	}
	ahead := s.queue.costAhead(r)
	if r.reserve.Phase == message.PhaseDecode {
		memory := s.earliest(r).Sub(s.now) + s.waitBehind(r, ahead)
		return max(memory, s.linkWait(r, s.now.Add(r.lead)))
	}
	return max(s.waitBehind(r, ahead), shortestRetry)
}

// waitBehind predicts how long a reservation waits behind work of this cost
// and what runs now.
func (s *State) waitBehind(r *reservation, ahead float64) time.Duration {
	switch r.reserve.Phase {
	case message.PhasePrefill:
		return seconds((s.computing(r.reserve.Urgency) + ahead) / s.predict.prefill.value())
	case message.PhaseDecode:
		return seconds(ahead / float64(max(s.engine.info.KVTokens, 1)) * r.took.Seconds())
	default:
		return seconds((ahead + 1) / float64(s.limit.slots()) * r.took.Seconds())
	}
}

// sharedTook predicts the time of a prefill that shares the engine with those
// that run.
func (s *State) sharedTook(r *reservation) time.Duration {
	others := s.computing(r.reserve.Urgency)
	if r.computing {
		others -= float64(r.compute)
	}
	return r.took + seconds(max(others, 0)/s.predict.prefill.value())
}

// computing sums the uncached tokens that running prefills have left and that
// come before one of this urgency: the engine honours priorities, so patient
// prefills don't delay urgent ones.
func (s *State) computing(u oriolebend.Urgency) float64 {
	left := 0.0
	for _, held := range s.memory.holders {
		if !held.computing || (u == oriolebend.Urgent && held.reserve.Urgency != oriolebend.Urgent) {
			continue
		}
		done := 0.0
		if !held.startedAt.IsZero() {
			done = s.now.Sub(held.startedAt).Seconds() * s.predict.prefill.value()
		}
		left += max(float64(held.compute)-done, 0)
	}
	return left
}
