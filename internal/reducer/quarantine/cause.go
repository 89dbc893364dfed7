package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// This file decides which suspects are the causes of the crashes.
//
// A crash has one cause, and many suspects: the server had just begun to work on several requests,
// and each has several parts. The causes are the fewest suspects that explain the crashes. They
// are chosen one after the other, each time the one that explains the most crashes that are not
// explained yet.

const (
	// momentLength is the time within which crashes count once for a part: a failure domain
	// that is lost takes servers along that had begun to work on many requests with one part.
	momentLength = 100 * time.Millisecond
	// maxCandidates bounds the suspects that are compared.
	maxCandidates = 64
)

// cause is a suspect that explains enough crashes for a quarantine.
type cause struct {
	fingerprint Fingerprint
	kind        Kind
	// together are the parts that were at the same crashes as this part, and the part itself.
	together []Fingerprint
	servers  []string
	// count is the number of crashes that count, last the time of the last of them.
	count int
	last  time.Time
	limit int
}

// candidate is a suspect that may be a cause. crashes are those that no other cause explains.
type candidate struct {
	fingerprint Fingerprint
	*suspect
	crashes []crash
	// answered is set if an answer began shortly before the first crash.
	answered bool
}

// limit returns the number of crashes from which on the suspect is a cause.
func (c *candidate) limit() int {
	if c.answered {
		return AnsweredLimit
	}
	return Limit
}

// count returns the number of crashes that count. Those of a request that servers do not seem to
// bear count all: it is at one server at a time.
func (c *candidate) count() int {
	if c.kind == KindRequest && !c.answered {
		return len(c.crashes)
	}
	count := 0
	var moment time.Time
	for _, crashed := range c.crashes {
		if count == 0 || crashed.at.Sub(moment) >= momentLength {
			count++
			moment = crashed.at
		}
	}
	if c.batch() {
		return max(Limit, count)
	}
	return count
}

// causes returns the causes of all crashes.
func (s *State) causes() []cause {
	var found []cause
	candidates := s.candidates()
	for {
		best := bestCandidate(candidates)
		if best == nil {
			return found
		}
		found = append(found, newCause(best, candidates))
		explained := best.crashes
		for _, c := range candidates {
			c.crashes = slices.DeleteFunc(slices.Clone(c.crashes), func(crashed crash) bool { return explains(explained, crashed) })
		}
	}
}

// candidates lists the suspects with enough crashes, those with the most crashes first.
func (s *State) candidates() []*candidate {
	var list []*candidate
	for fingerprint, suspected := range s.suspects {
		if len(suspected.reports) < Limit {
			continue
		}
		crashes := suspected.crashes()
		if len(crashes) >= Limit {
			list = append(list, &candidate{
				fingerprint: fingerprint, suspect: suspected, crashes: crashes,
				answered: suspected.answeredBefore(crashes[0].at),
			})
		}
	}
	slices.SortFunc(list, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	return list[:min(maxCandidates, len(list))]
}

// bestCandidate returns the candidate that explains the most crashes, nil if none explains enough.
func bestCandidate(candidates []*candidate) *candidate {
	part, request := bestOf(candidates, KindPart), bestOf(candidates, KindRequest)
	switch {
	case part == nil:
		return request
	case request == nil:
		return part
	}
	order := compareCandidates(part, request)
	if order < 0 || order == 0 && !part.names(request.fingerprint) {
		return part
	}
	// A request goes before a part of its own prompt: nothing speaks against the other requests
	// with the part.
	return request
}

// bestOf returns the best candidate of a kind, nil if there is none that is a cause.
func bestOf(candidates []*candidate, kind Kind) *candidate {
	var best *candidate
	for _, c := range candidates {
		if c.kind != kind || !c.isCause() {
			continue
		}
		if best == nil || cmp.Or(compareCandidates(c, best), cmp.Compare(c.fingerprint, best.fingerprint)) < 0 {
			best = c
		}
	}
	return best
}

// isCause reports whether the crashes suffice for a quarantine. If all crashes came under one
// request, that request is the cause and not a part of its prompt.
func (c *candidate) isCause() bool {
	return c.count() >= c.limit() && (c.kind == KindRequest || c.requests() > 1)
}

// requests returns the number of requests with the part that were at the crashes.
func (c *candidate) requests() int {
	var list []Fingerprint
	for _, crashed := range c.crashes {
		list = append(list, crashed.requests...)
	}
	slices.Sort(list)
	return len(slices.Compact(list))
}

// names reports whether a request is among those with the part that were at the crashes.
func (c *candidate) names(request Fingerprint) bool {
	return slices.ContainsFunc(c.crashes, func(crashed crash) bool { return slices.Contains(crashed.requests, request) })
}

// compareCandidates orders the candidate first that explains more crashes. One that servers seem to
// bear comes last.
func compareCandidates(a, b *candidate) int {
	return cmp.Or(compareBools(a.answered, b.answered), cmp.Compare(len(b.crashes), len(a.crashes)))
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// newCause returns the cause that a candidate is. Parts that came together at each crash can't be
// told apart: each of them alone may be harmless, and only requests with all of them are known to
// crash servers.
func newCause(best *candidate, candidates []*candidate) cause {
	found := cause{
		fingerprint: best.fingerprint, kind: best.kind, count: best.count(), limit: best.limit(),
		last: best.crashes[len(best.crashes)-1].at, together: []Fingerprint{best.fingerprint},
	}
	for _, crashed := range best.crashes {
		found.servers = append(found.servers, crashed.run.Instance)
	}
	slices.Sort(found.servers)
	if best.kind != KindPart {
		return found
	}
	for _, c := range candidates {
		if c != best && c.kind == KindPart && !c.answered && cameTogether(c.crashes, best.crashes) {
			found.together = append(found.together, c.fingerprint)
		}
	}
	slices.Sort(found.together)
	return found
}

// cameTogether reports whether two lists hold the same crashes, and one request with both parts was
// at each of them.
func cameTogether(a, b []crash) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(crashed crash) bool {
		return !slices.ContainsFunc(b, func(other crash) bool { return sameRun(crashed, other) && shareRequest(crashed, other) })
	})
}

func shareRequest(a, b crash) bool {
	return slices.ContainsFunc(a.requests, func(request Fingerprint) bool { return slices.Contains(b.requests, request) })
}

// sameRun reports whether two crashes are the same one. Two suspects may know a run by different
// numbers and incarnations, and the time of its crash from different reporters.
func sameRun(a, b crash) bool {
	return a.run.Instance == b.run.Instance && sameTime(a.at, b.at)
}

// explains reports whether a crash is in a list.
func explains(list []crash, crashed crash) bool {
	return slices.ContainsFunc(list, func(c crash) bool { return sameRun(c, crashed) })
}
