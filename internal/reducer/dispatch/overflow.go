package dispatch

import "time"

const (
	// overflowAfter is the part of the target for the first event that a prompt may wait
	// in the queue of a prefill engine before a decode engine prefills it itself. Meanwhile
	// the placement at the decode engine holds memory that is not used.
	overflowAfter = 0.3
	// backlogAfter is the part of that target from which on no placement is granted that
	// needs a prefill engine. The rest of the target is for the prompt itself and the first
	// event.
	backlogAfter = 0.6
	// overflowPause is the part of the target for pauses that a decode engine may spend on
	// prefilling a prompt itself. Its generations pause for as long, in addition to their
	// usual pause.
	overflowPause = 0.6
	// overflowRate is the prefill rate of a decode engine relative to a prefill engine:
	// a decode engine processes prompts in smaller pieces, between the tokens of its
	// generations.
	overflowRate = 0.5
)

// overflow returns those of the engines with room that can prefill a prompt themselves
// without pausing their generations for too long; nil if the prompt goes to its prefill
// engine.
//
// The prefill pool is sized for the usual mix of work. When engines of it are lost, or in a
// peak, prompts wait in its queue while each holds the memory that it will need at a decode
// engine. Once they wait for longer than the target, hardly any first event is in time, and
// decode engines are idle with their memory reserved. The symptom is that prefills take
// seconds. Prompts that a decode engine can prefill without harm bypass that queue: one
// prompt at a time per engine, so that pauses do not add up.
func (s *State) overflow(e PlacementRequested, v *service, prefiller *server, fitting []*server) []*server {
	if e.Need.FirstWithin <= 0 || e.Need.PauseWithin <= 0 {
		return nil
	}
	if !v.queueExceeds(e, prefiller, overflowAfter) {
		return nil
	}
	var list []*server
	for _, c := range fitting {
		if !e.At.Before(c.prefillsUntil) && v.pauseAllowed(e.Need, c.writing.Factor()) {
			list = append(list, c)
		}
	}
	return list
}

// pauseAllowed reports whether the generations of a decode engine may pause for a prompt. factor is
// the engine's time for an event, relative to the usual one.
func (v *service) pauseAllowed(n Need, factor float64) bool {
	return v.decodePrefillTime(factor, n.Prompt) <= time.Duration(overflowPause*float64(n.PauseWithin))
}

// backlogged reports whether a prompt would wait in the queue of a prefill engine until
// its first event is late. With a placement, the request would withhold memory from others
// for as long as it waits there. It waits for its placement instead, in a queue where the
// request with the least time left goes first and requests that would wait without success are
// refused at once.
func (v *service) backlogged(e PlacementRequested, prefiller *server) bool {
	return e.Need.FirstWithin > 0 && v.queueExceeds(e, prefiller, backlogAfter)
}

// queueExceeds reports whether the queue of a prefill engine takes longer than a part of
// the target for the first event.
func (v *service) queueExceeds(e PlacementRequested, prefiller *server, part float64) bool {
	queue := float64(v.prefillTime(prefiller.pendingPrompt)) * prefiller.prefills.Factor()
	return time.Duration(queue) > time.Duration(part*float64(e.Need.FirstWithin))
}

// PrefillTime is how long a prefill engine of a service takes to prefill a prompt.
func (s *State) PrefillTime(name string, prompt int) time.Duration {
	v := s.services[name]
	if v == nil {
		return 0
	}
	return v.prefillTime(prompt)
}

// prefillTime is how long a prefill engine takes to prefill a number of tokens.
func (v *service) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / v.rate() * float64(time.Millisecond))
}

// rate is the prompt tokens per millisecond that a prefill engine processes.
func (v *service) rate() float64 {
	if v.prefillRate.count < medianFirst {
		return defaultPrefillRate
	}
	return v.prefillRate.value
}

// decodePrefillTime is how long a decode engine takes to prefill a prompt. An engine that writes
// slowly is assumed to prefill as slowly: decode engines prefill too seldom to be measured.
func (v *service) decodePrefillTime(factor float64, prompt int) time.Duration {
	return time.Duration(float64(v.prefillTime(prompt)) / overflowRate * factor)
}
