package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Loads returns what was done with the engines of each service since the last
// call, in the order of their names.
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

// read counts a prompt that a prefill engine has read. What is measured holds the
// time in the engine's queue as well. Who knows what was ahead in that queue knows the
// engine's own rate: taken for the rate, the time of a long queue would make engines
// seem slow, and prompts would queue all the more. To the others a high rate is the
// engine's own. The highest one is not: an engine that still has the prompt of a caller who comes
// back answers at once, and one such rate made the prefill pool seem four times
// as fast as it was.
//
// The work that the prompt brings to a decode engine is counted at the same moment.
// Were it measured there, it would lag by as long as a generation takes: in the
// first seconds of a load the prefill pool would seem too small, and after a peak
// too large.
func (s *State) read(e Read) {
	v := s.services[e.Need.Service]
	if v == nil {
		return
	}
	if !e.Here {
		v.readRate.add(rate(e.Need.Prompt+e.Ahead, e.Took))
		v.highRate.add(rate(e.Need.Prompt, e.Took))
	}
	v.load.Requests++
	v.load.PromptTokens += e.Need.Prompt
	v.load.DecodeWork += float64(e.Need.Memory()) * float64(e.Need.Output)
}

// rate is in tokens a millisecond.
func rate(tokens int, took time.Duration) float64 {
	return float64(tokens) / max(1, float64(took.Microseconds())/1e3)
}

// written counts what a generation wrote, and how long it took.
//
// In the first seconds of a load those end first that write least. Counted with what they
// were expected to write, they make engines seem faster than they are: the decode pool seems
// large enough, and the first peak meets engines that still stand by for prefills.
func (s *State) written(e Written) {
	if v := s.services[e.Need.Service]; v != nil {
		tokens := e.Need.Output
		if engine := v.limits.Engine; engine != nil && engine.TokensPerPart > 0 && e.Parts > 0 {
			tokens = e.Parts * engine.TokensPerPart
		}
		v.load.Written += tokens
		v.load.Writing += e.Took
	}
}
