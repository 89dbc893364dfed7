package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// suspect holds the crash reports of one request, or of one part of prompts.
type suspect struct {
	kind    Kind
	reports map[run]report
	// answeredAt is when the last known answer to it began. It refutes all earlier crashes: the
	// servers that crashed would have crashed under that answer too.
	answeredAt time.Time
	// sharedAnswer is the last answer that other processes know.
	sharedAnswer time.Time
	// shared is set once the reports were sent to processes that send requests.
	shared bool
}

// report is the crash of one run of a server.
type report struct {
	at time.Time
	// requests are some requests with the part that were at the crash; empty for a request itself.
	requests []Fingerprint
	// domainServes is set if the failure domain of the server was not lost with it.
	domainServes bool
}

// maxRequests bounds the requests of one report.
const maxRequests = 4

// with returns the report with further requests, and whether one of them is new.
func (p report) with(requests ...Fingerprint) (report, bool) {
	changed := false
	for _, request := range requests {
		if len(p.requests) < maxRequests && !slices.Contains(p.requests, request) {
			p.requests = append(slices.Clip(p.requests), request)
			changed = true
		}
	}
	return p, changed
}

// run is one run of a server, from the start of its process to its exit. Control VMs report
// each incarnation; a run whose incarnation is not known yet counts as a further run of the
// previous incarnation.
type run struct {
	message.ServerStart
	number int
}

// crash is the crash of a run.
type crash struct {
	run run
	report
}

func compareRuns(a, b run) int {
	return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.number, b.number))
}

func compareCrashes(a, b crash) int {
	return cmp.Or(a.at.Compare(b.at), compareRuns(a.run, b.run))
}

// runAt returns the run of a server to which a connection was opened at a time. It comes after
// all runs that had crashed before that time.
//
// While no control VM reports incarnations, a server that has crashed under a request and runs
// again is still known by its previous incarnation. If its second crash counted as the same
// run, it would add nothing, and the request would crash two servers in turns until a third
// one is among them.
func (s *suspect) runAt(start message.ServerStart, opened time.Time) run {
	current := run{ServerStart: start}
	for other, p := range s.reports {
		if other.ServerStart == start && p.at.Before(opened) {
			current.number = max(current.number, other.number+1)
		}
	}
	return current
}

// sameCrash is the largest time difference between two reports of one crash.
const sameCrash = 250 * time.Millisecond

// duplicate reports whether the crash of a further run is also reported for another
// incarnation: its reporter had not been notified of that incarnation yet.
func (s *suspect) duplicate(c crash) bool {
	if c.run.number == 0 {
		return false
	}
	for other, p := range s.reports {
		if other.Instance == c.run.Instance && other.Incarnation != c.run.Incarnation && p.at.After(s.answeredAt) &&
			sameTime(p.at, c.at) {
			return true
		}
	}
	return false
}

// crashes lists the crashes that no answer refutes, the earliest first.
func (s *suspect) crashes() []crash {
	var list []crash
	for crashed, p := range s.reports {
		c := crash{run: crashed, report: p}
		if p.at.After(s.answeredAt) && !s.duplicate(c) {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, compareCrashes)
	return list
}

// answeredBefore reports whether an answer began not long before a crash. Servers then seem to
// bear the suspect, and another one is more likely to be the cause.
func (s *suspect) answeredBefore(at time.Time) bool {
	period := requestAnswerPeriod
	if s.kind == KindPart {
		period = evidencePeriod
	}
	return !s.answeredAt.IsZero() && at.Sub(s.answeredAt) < period
}

// addCrash records a crash that this process has seen, and reports whether that was new.
func (s *suspect) addCrash(e Crashed, kind Kind) bool {
	crashed := s.runAt(e.Server, e.Opened)
	p, known := s.reports[crashed]
	more := false
	if kind == KindPart {
		p, more = p.with(e.Suspects.Request)
	}
	if known {
		s.reports[crashed] = p
		return more
	}
	p.at = e.At
	s.add(crashed, p)
	return true
}

// add records the crash of a run. If there are too many reports, it replaces the oldest one.
func (s *suspect) add(crashed run, p report) {
	if len(s.reports) >= maxReports {
		delete(s.reports, s.oldest())
	}
	s.reports[crashed] = p
}

func (s *suspect) oldest() run {
	return slices.MinFunc(slices.Collect(maps.Keys(s.reports)), func(a, b run) int {
		return compareCrashes(crash{run: a, report: s.reports[a]}, crash{run: b, report: s.reports[b]})
	})
}

// refute records an answer that began at a time, and reports whether it is the last one known.
func (s *suspect) refute(began time.Time) bool {
	if !began.After(s.answeredAt) {
		return false
	}
	s.answeredAt = began
	return true
}

// merge applies a report from another process, and reports whether it was new.
func (s *suspect) merge(at time.Time, m message.CrashReport) bool {
	crashed := run{message.ServerStart{Instance: m.Instance, Incarnation: m.Incarnation}, m.Life}
	crashedAt := at.Add(-max(0, m.Age))
	changed := false
	if answered := answerOf(at, crashedAt, m); !answered.IsZero() {
		changed = s.refute(answered)
		s.sharedAnswer = later(s.sharedAnswer, answered)
	}
	if m.Part {
		s.kind = KindPart
	}
	requests := make([]Fingerprint, 0, len(m.Requests))
	for _, request := range m.Requests {
		requests = append(requests, Fingerprint(request))
	}
	known, found := s.reports[crashed]
	if !found && len(s.reports) >= maxReports && !crashedAt.After(s.reports[s.oldest()].at) {
		return changed // older than every report that is kept
	}
	if !found {
		known.at = crashedAt
	}
	merged, more := known.with(requests...)
	more = more || m.DomainServes && !merged.domainServes
	merged.domainServes = merged.domainServes || m.DomainServes
	if !found {
		s.add(crashed, merged)
		return true
	}
	s.reports[crashed] = merged
	return changed || more
}

// answerOf returns when the last answer began that the sender of a report knows, zero if it knows
// none. Earlier releases state only that the crash is refuted.
func answerOf(at, crashedAt time.Time, m message.CrashReport) time.Time {
	if m.AnsweredAge > 0 {
		return at.Add(-m.AnsweredAge)
	}
	if m.Refuted {
		return crashedAt
	}
	return time.Time{}
}

// last returns the time of the last crash that is not refuted, or of the last crash if all are
// refuted.
func (s *suspect) last() time.Time {
	var last, refuted time.Time
	for _, p := range s.reports {
		if p.at.After(s.answeredAt) {
			last = later(last, p.at)
		}
		refuted = later(refuted, p.at)
	}
	if last.IsZero() {
		return refuted
	}
	return last
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
