package quarantine

import (
	"maps"
	"slices"
	"time"
)

// heldCause is a cause that is quarantined, or was until its time ended.
type heldCause struct {
	cause
	since, until time.Time
}

// Hold states that requests with a suspect must not be sent to servers.
type Hold struct {
	Fingerprint Fingerprint
	Kind        Kind
	// Left is for how much longer they must not be sent. After is when their callers may return.
	Left, After time.Duration
}

// Quarantined returns the quarantine that applies to a request with these suspects; false means
// that it may be sent.
func (s *State) Quarantined(at time.Time, suspects Suspects) (Hold, bool) {
	var longest Hold
	suspects.each(func(fingerprint Fingerprint, _ Kind) {
		h := s.held[fingerprint]
		if h == nil || !h.appliesTo(suspects) {
			return
		}
		if left := h.until.Sub(at); left > longest.Left {
			longest = Hold{Fingerprint: fingerprint, Kind: h.kind, Left: left, After: left}
			if h.kind == KindPart && at.Sub(h.since) < settlePeriod {
				longest.After = min(left, settlePeriod)
			}
		}
	})
	return longest, longest.Left > 0
}

// appliesTo reports whether a request has all parts that can't be told apart.
func (h *heldCause) appliesTo(suspects Suspects) bool {
	return !slices.ContainsFunc(h.together, func(f Fingerprint) bool { return !suspects.Has(f) })
}

// Entry is one quarantine, for operators.
type Entry struct {
	Fingerprint Fingerprint
	Kind        Kind
	Together    []Fingerprint
	Servers     []string
	// LastCrash is when the last server crashed, Left the time that is left of the quarantine.
	LastCrash time.Time
	Left      time.Duration
}

// Entries lists the quarantines in force.
func (s *State) Entries(at time.Time) []Entry {
	var list []Entry
	for _, fingerprint := range slices.Sorted(maps.Keys(s.held)) {
		h := s.held[fingerprint]
		if left := h.until.Sub(at); left > 0 {
			list = append(list, Entry{
				Fingerprint: fingerprint, Kind: h.kind, Together: h.together, Servers: h.servers, LastCrash: h.last, Left: left,
			})
		}
	}
	return list
}

// Counts are the numbers of suspects that were reported, and of those that are quarantined.
type Counts struct{ Reported, Held int }

// Reported counts the suspects of each kind.
func (s *State) Reported(at time.Time) map[Kind]Counts {
	counts := map[Kind]Counts{}
	for _, suspected := range s.suspects {
		c := counts[suspected.kind]
		c.Reported++
		counts[suspected.kind] = c
	}
	for _, h := range s.held {
		if h.until.After(at) {
			c := counts[h.kind]
			c.Held++
			counts[h.kind] = c
		}
	}
	return counts
}

// decide finds the causes of all crashes, and returns what has changed.
func (s *State) decide(at time.Time) []Effect {
	var effects []Effect
	before := s.held
	s.held = map[Fingerprint]*heldCause{}
	for _, found := range s.causes() {
		h := &heldCause{cause: found, since: at, until: found.last.Add(s.duration(found))}
		if known := before[found.fingerprint]; known != nil {
			h.since = known.since
		}
		s.held[found.fingerprint] = h
		known := before[found.fingerprint]
		if left := h.until.Sub(at); left > 0 && (known == nil || known.count < h.count || !slices.Equal(known.together, h.together)) {
			effects = append(effects, Quarantined{
				Fingerprint: found.fingerprint, Kind: found.kind, Together: found.together, Servers: found.servers, For: left,
			})
		}
	}
	for _, fingerprint := range slices.Sorted(maps.Keys(before)) {
		if s.held[fingerprint] == nil {
			effects = append(effects, Released{Fingerprint: fingerprint, Kind: before[fingerprint].kind, Reason: s.releaseReason(fingerprint)})
		}
	}
	return effects
}

// releaseReason returns why a suspect is not quarantined any more.
func (s *State) releaseReason(fingerprint Fingerprint) ReleaseReason {
	if suspected := s.suspects[fingerprint]; suspected != nil && len(suspected.crashes()) >= Limit {
		return ReleaseExplained
	}
	return ReleaseAnswered
}

// duration returns how long a cause is quarantined after the last crash.
func (s *State) duration(c cause) time.Duration {
	duration := min(maxQuarantine, firstQuarantine<<(c.count-c.limit))
	return time.Duration(float64(duration) * (1 + s.config.Spread))
}
