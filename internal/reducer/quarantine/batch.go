package quarantine

import (
	"maps"
	"slices"
	"time"
)

// This file tells requests that come together, with a part that crashes servers, from the loss of a failure
// domain. Both are many crashes at one moment, and a part may be at many of them. In a failure domain that
// is lost no server answers afterwards.

// batch reports whether servers crashed at one moment under different requests with a part that none has
// answered, while their failure domains went on to serve.
func (c *candidate) batch() bool {
	if c.kind != KindPart || c.answered || c.requests() < batchLimit {
		return false
	}
	serving := 0
	for _, crashed := range c.crashes {
		if crashed.domainServes {
			serving++
		}
	}
	return serving >= batchLimit
}

// applyDomainServed marks the reports of a crash.
func (s *State) applyDomainServed(e DomainServed) []Effect {
	var effects []Effect
	for _, fingerprint := range slices.Sorted(maps.Keys(s.suspects)) {
		if s.suspects[fingerprint].markDomainServed(e) {
			effects = append(effects, s.share(e.At, fingerprint, false)...)
		}
	}
	return append(effects, s.decide(e.At)...)
}

// markDomainServed marks the reports of a crash, and reports whether one is new.
func (s *suspect) markDomainServed(e DomainServed) bool {
	marked := false
	for crashed, p := range s.reports {
		if crashed.ServerStart != e.Server || p.domainServes || !sameTime(p.at, e.Crashed) {
			continue
		}
		p.domainServes = true
		s.reports[crashed] = p
		marked = true
	}
	return marked
}

// sameTime reports whether two times may be those of one crash.
func sameTime(a, b time.Time) bool { return a.Sub(b).Abs() <= sameCrash }
