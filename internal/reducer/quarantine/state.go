// Package quarantine is the reducer that decides which requests are no longer sent to
// servers, because several servers crashed while they worked on them. It is pure: time comes
// in events.
//
// A request may crash each server that begins to run it, and so may a part of a prompt that
// many different requests share. To the forwarder, the server was lost; the caller retries with
// another id and at another forwarder, and crashes the next server together with all requests in
// progress there. The symptom is that servers crash one after the other without any other cause,
// each with the same fingerprint among the requests that it had just begun.
//
// The state is a set of reports, one for each suspect and run of a server, and the time of the
// last known answer to each suspect. Sets are merged by union and times by maximum, so that
// processes may exchange reports in any order and any number of times.
package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// Limit is the number of server crashes after which a request or a part is quarantined. Two
	// crashes can happen to a request by chance: when many servers crash at once, it may be resent
	// to a server that crashes as well. A request that is quarantined by mistake has already failed
	// three times.
	Limit = 3
	// AnsweredLimit is used in place of Limit if servers answered it not long before.
	AnsweredLimit = 5
	// batchLimit is used in place of Limit for crashes that came at one moment.
	batchLimit = 5
)

const (
	// firstQuarantine is the duration of the first quarantine of a request: longer than
	// callers retry. Then one more attempt is allowed, in case the servers were fixed. That
	// attempt may crash a server, so each further crash doubles the duration, up to
	// maxQuarantine.
	firstQuarantine = 10 * time.Minute
	maxQuarantine   = 24 * time.Hour
	// settlePeriod is for how long the new quarantine of a part may still be lifted by answers that
	// other processes know. Callers may return at its end.
	settlePeriod = time.Second
	// reportLifetime is for how long a crash counts: longer than any quarantine.
	reportLifetime = 2 * maxQuarantine
	// evidencePeriod is for how long the crashes under a part that is not quarantined count, and
	// for how long answers are remembered: over a longer time a part of many prompts is at several
	// crashes by chance.
	evidencePeriod = 10 * time.Minute
	// maxSuspects and maxReports bound the memory to a few megabytes. When a whole failure
	// domain is lost, thousands of requests and parts are reported once; those that were
	// reported last are kept.
	maxSuspects = 2048
	maxReports  = 12
)

// Fingerprint identifies a request by its content, or a part of prompts, whichever process
// forwards it.
type Fingerprint uint64

// String formats a fingerprint as in log lines.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Kind is what a fingerprint identifies.
type Kind string

// Kinds of suspects.
const (
	KindRequest Kind = "request"
	KindPart    Kind = "part"
)

// Config sets up a State.
type Config struct {
	// MinReports is the number of crashes under a suspect from which on its reports are sent to
	// other processes; zero means 1. Forwarders send every report. Control VMs, which send to all
	// forwarders, wait for Limit crashes: the loss of a failure domain causes thousands of reports,
	// and hardly any is followed by a second one of the same request.
	MinReports int
	// TrackAnswers records recent answers. Only processes that send requests to servers
	// receive answers.
	TrackAnswers bool
	// Spread lengthens quarantines by this share. With a different Spread in each forwarder,
	// the forwarders don't all allow a request at the same moment.
	Spread float64
}

// State is the crash reports of one process. Only Reduce changes it.
type State struct {
	config   Config
	suspects map[Fingerprint]*suspect
	answered answers
	// held are the causes that are quarantined, or were until their time ended.
	held map[Fingerprint]*heldCause
}

// New returns a state without reports.
func New(c Config) *State {
	c.MinReports = cmp.Or(c.MinReports, 1)
	s := &State{config: c, suspects: map[Fingerprint]*suspect{}, held: map[Fingerprint]*heldCause{}}
	if c.TrackAnswers {
		s.answered = newAnswers()
	}
	return s
}

// Reduce applies one event and returns the effects that the caller must carry out.
func Reduce(s *State, event Event) []Effect {
	switch e := event.(type) {
	case Crashed:
		return s.applyCrash(e)
	case Answered:
		return s.applyAnswer(e)
	case DomainServed:
		return s.applyDomainServed(e)
	case ReportsReceived:
		return s.applyReports(e)
	case RefutationDue:
		return s.shareAnswer(e)
	case ReleaseRequested:
		return s.release(e)
	case Ticked:
		return s.expire(e.At)
	}
	return nil
}

func (s *State) applyCrash(e Crashed) []Effect {
	var effects []Effect
	e.Suspects.each(func(fingerprint Fingerprint, kind Kind) {
		suspected := s.suspect(fingerprint, kind)
		suspected.refute(s.answered.last(e.At, fingerprint))
		if !suspected.addCrash(e, kind) {
			return
		}
		effects = append(effects, s.share(e.At, fingerprint, false)...)
	})
	return append(effects, s.decide(e.At)...)
}

// applyAnswer refutes the earlier crashes under the suspects: what crashes servers is never
// answered.
func (s *State) applyAnswer(e Answered) []Effect {
	var effects []Effect
	e.Suspects.each(func(fingerprint Fingerprint, _ Kind) {
		s.answered.record(e.At, fingerprint)
		suspected := s.suspects[fingerprint]
		if suspected == nil {
			return
		}
		before := len(suspected.crashes())
		if suspected.refute(e.At) && len(suspected.crashes()) < before {
			effects = append(effects, ScheduleRefutation{Fingerprint: fingerprint})
		}
	})
	if len(effects) == 0 {
		return nil
	}
	return append(effects, s.decide(e.At)...)
}

func (s *State) applyReports(e ReportsReceived) []Effect {
	var effects []Effect
	groups := byFingerprint(e.Reports)
	for _, fingerprint := range slices.Sorted(maps.Keys(groups)) {
		suspected := s.suspect(fingerprint, KindRequest)
		shared := s.mayShare(suspected)
		changed := false
		for _, m := range groups[fingerprint] {
			changed = suspected.merge(e.At, m) || changed
		}
		if changed && e.Forward {
			effects = append(effects, s.share(e.At, fingerprint, shared)...)
		}
		if s.knowsMore(e.At, fingerprint) {
			effects = append(effects, ScheduleRefutation{Fingerprint: fingerprint})
		}
	}
	return append(effects, s.decide(e.At)...)
}

// release treats the request of an operator as an answer that began now.
func (s *State) release(e ReleaseRequested) []Effect {
	suspected := s.suspects[e.Fingerprint]
	if suspected == nil {
		return nil
	}
	together := []Fingerprint{e.Fingerprint}
	if h := s.held[e.Fingerprint]; h != nil {
		together = h.together
	}
	var effects []Effect
	for _, fingerprint := range together {
		if suspected := s.suspects[fingerprint]; suspected != nil && suspected.refute(e.At) {
			effects = append(effects, s.share(e.At, fingerprint, true)...)
		}
	}
	return append(effects, s.decide(e.At)...)
}
