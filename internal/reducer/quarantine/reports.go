package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Reports lists all reports that were sent so far, for a process that was just discovered.
func (s *State) Reports(at time.Time) []message.CrashReport {
	var all []message.CrashReport
	for _, fingerprint := range slices.Sorted(maps.Keys(s.suspects)) {
		if suspected := s.suspects[fingerprint]; suspected.shared || s.mayShare(suspected) {
			all = append(all, s.reportsOf(at, fingerprint)...)
		}
	}
	return all
}

// mayShare reports whether there are enough crashes under a suspect to send its reports.
func (s *State) mayShare(suspected *suspect) bool {
	return s.config.MinReports <= 1 || len(suspected.crashes()) >= s.config.MinReports
}

// knowsMore applies the answer that this process knows to the reports of others, and reports
// whether it matters to them: it refutes crashes, or speaks for the suspect.
func (s *State) knowsMore(at time.Time, fingerprint Fingerprint) bool {
	suspected := s.suspects[fingerprint]
	crashes := suspected.crashes()
	if len(crashes) == 0 || !suspected.refute(s.answered.last(at, fingerprint)) {
		return false
	}
	return len(suspected.crashes()) < len(crashes) || suspected.sharedAnswer.IsZero()
}

// shareAnswer sends the answer that this process knows, unless another process has sent one that
// refutes as much meanwhile.
func (s *State) shareAnswer(e RefutationDue) []Effect {
	suspected := s.suspects[e.Fingerprint]
	if suspected == nil {
		return nil
	}
	others := suspect{reports: suspected.reports, answeredAt: suspected.sharedAnswer}
	if !suspected.sharedAnswer.IsZero() && len(others.crashes()) <= len(suspected.crashes()) {
		return nil
	}
	suspected.sharedAnswer = suspected.answeredAt
	return []Effect{SendReports{Reports: s.reportsOf(e.At, e.Fingerprint)}}
}

// share returns the reports of a suspect to send, if they must be sent. shared is set if other
// processes may have been sent reports of it before, and must know that they are refuted.
func (s *State) share(at time.Time, fingerprint Fingerprint, shared bool) []Effect {
	suspected := s.suspects[fingerprint]
	if !shared && !s.mayShare(suspected) {
		return nil
	}
	suspected.shared = true
	return []Effect{SendReports{Reports: s.reportsOf(at, fingerprint)}}
}

// reportsOf lists the reports of a suspect in the form in which they are sent.
func (s *State) reportsOf(at time.Time, fingerprint Fingerprint) []message.CrashReport {
	suspected := s.suspects[fingerprint]
	answeredAge := time.Duration(0)
	if !suspected.answeredAt.IsZero() {
		answeredAge = max(1, at.Sub(suspected.answeredAt))
	}
	var list []message.CrashReport
	for _, crashed := range slices.SortedFunc(maps.Keys(suspected.reports), compareRuns) {
		p := suspected.reports[crashed]
		list = append(list, message.CrashReport{
			Fingerprint: uint64(fingerprint), Part: suspected.kind == KindPart, Requests: numbers(p.requests),
			Instance: crashed.Instance, Incarnation: crashed.Incarnation, Life: crashed.number,
			Age: at.Sub(p.at), Refuted: !p.at.After(suspected.answeredAt), AnsweredAge: answeredAge, DomainServes: p.domainServes,
		})
	}
	return list
}

func numbers(fingerprints []Fingerprint) []uint64 {
	var list []uint64
	for _, fingerprint := range fingerprints {
		list = append(list, uint64(fingerprint))
	}
	return list
}

func byFingerprint(reports []message.CrashReport) map[Fingerprint][]message.CrashReport {
	groups := map[Fingerprint][]message.CrashReport{}
	for _, m := range reports {
		groups[Fingerprint(m.Fingerprint)] = append(groups[Fingerprint(m.Fingerprint)], m)
	}
	return groups
}
