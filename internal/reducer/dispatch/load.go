package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Loads returns the work done on the engines of each service since the last call, sorted
// by the name of the service.
func (s *State) Loads() []message.ServiceLoad {
	var loads []message.ServiceLoad
	for name, v := range s.services {
		load := v.load
		v.load = message.ServiceLoad{}
		if load == v.load {
			continue
		}
		load.Service, load.Rate = name, v.highRate.value
		loads = append(loads, load)
	}
	slices.SortFunc(loads, func(a, b message.ServiceLoad) int { return cmp.Compare(a.Service, b.Service) })
	return loads
}

// countPrefill counts a prompt that a prefill engine has processed.
//
// The measured time includes the time in the engine's queue. A process that knows the
// prompts ahead in that queue can compute the engine's own rate. Without the prompts ahead,
// a long queue would make engines seem slow, and even more prompts would queue. For the
// other processes a high rate is an estimate of the engine's own rate. The highest rate is
// not: an engine that still holds the prompt of a caller who returns responds at once, and
// one such rate made the prefill pool seem four times as fast as it was.
//
// The work that the prompt brings to a decode engine is counted at the same moment. If it
// were measured at the decode engine, it would lag by the time of a generation: in the first
// seconds of a load the prefill pool would seem too small, and after a peak too large.
func (s *State) countPrefill(e PrefillMeasured) {
	v := s.services[e.Need.Service]
	if v == nil {
		return
	}
	if e.Server != nil {
		s.observePrefill(e, v)
		v.prefillRate.add(tokensPerMilli(e.Need.Prompt+e.Ahead, e.Took))
		v.highRate.add(tokensPerMilli(e.Need.Prompt, e.Took))
	}
	v.load.Requests++
	v.load.PromptTokens += e.Need.Prompt
	v.load.DecodeWork += float64(e.Need.Memory()) * float64(e.Need.Output)
}

// tokensPerMilli is the rate in tokens per millisecond.
func tokensPerMilli(tokens int, took time.Duration) float64 {
	return float64(tokens) / max(1, float64(took.Microseconds())/1e3)
}

// countGeneration counts the tokens that a generation wrote, and the time that it took.
//
// In the first seconds of a load the shortest generations end first. If they were counted
// with their expected output, engines would seem faster than they are: the decode pool would
// seem large enough, and the first peak would find engines still idle in the prefill pool.
func (s *State) countGeneration(e GenerationMeasured) {
	if v := s.services[e.Need.Service]; v != nil {
		tokens := e.Need.Output
		if engine := v.limits.Engine; engine != nil && engine.TokensPerPart > 0 && e.Parts > 0 {
			tokens = e.Parts * engine.TokensPerPart
		}
		v.load.Written += tokens
		v.load.Writing += e.Took
	}
}
