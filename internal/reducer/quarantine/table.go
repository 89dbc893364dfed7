package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// suspect returns the entry of a suspect, and adds one if there is none.
func (s *State) suspect(fingerprint Fingerprint, kind Kind) *suspect {
	if known := s.suspects[fingerprint]; known != nil {
		if kind == KindPart {
			known.kind = KindPart // an earlier release has passed its reports on without the kind
		}
		return known
	}
	if len(s.suspects) >= maxSuspects {
		s.evict()
	}
	added := &suspect{kind: kind, reports: map[run]report{}}
	s.suspects[fingerprint] = added
	return added
}

// evict drops an eighth of the suspects: those with the fewest crashes, and among these the ones
// whose last crash is the oldest.
func (s *State) evict() {
	type rank struct {
		fingerprint Fingerprint
		crashes     int
		last        time.Time
	}
	ranks := make([]rank, 0, len(s.suspects))
	for fingerprint, suspected := range s.suspects {
		ranks = append(ranks, rank{fingerprint: fingerprint, crashes: len(suspected.crashes()), last: suspected.last()})
	}
	slices.SortFunc(ranks, func(a, b rank) int {
		return cmp.Or(cmp.Compare(a.crashes, b.crashes), a.last.Compare(b.last), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	for _, r := range ranks[:len(ranks)/8] {
		delete(s.suspects, r.fingerprint)
	}
}

// expire drops what is too old to count.
func (s *State) expire(at time.Time) []Effect {
	maps.DeleteFunc(s.suspects, func(fingerprint Fingerprint, suspected *suspect) bool {
		if suspected.kind == KindPart && s.held[fingerprint] == nil {
			maps.DeleteFunc(suspected.reports, func(_ run, p report) bool { return at.Sub(p.at) >= evidencePeriod })
		}
		return len(suspected.reports) == 0 || at.Sub(suspected.last()) >= reportLifetime
	})
	return s.decide(at)
}
