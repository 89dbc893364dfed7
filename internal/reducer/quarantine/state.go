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

	"github.com/oriolebend/oriolebend/internal/message"
)

const (
	// Limit is the number of server crashes after which a request or a part is quarantined. Two
	// crashes can happen to a request by chance: when many servers crash at once, it may be resent
	// to a server that crashes as well. A request that is quarantined by mistake has already failed
	// three times.
	Limit = 3
	// AnsweredLimit is used in place of Limit if servers answered it not long before.
	AnsweredLimit = 5
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
	held map[Fingerprint]*hold
}

// hold is the quarantine of a cause.
type hold struct {
	cause
	since, until time.Time
}

// New returns a state without reports.
func New(c Config) *State {
	c.MinReports = cmp.Or(c.MinReports, 1)
	s := &State{config: c, suspects: map[Fingerprint]*suspect{}, held: map[Fingerprint]*hold{}}
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
func (h *hold) appliesTo(suspects Suspects) bool {
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

// decide finds the causes of all crashes, and returns what has changed.
func (s *State) decide(at time.Time) []Effect {
	var effects []Effect
	before := s.held
	s.held = map[Fingerprint]*hold{}
	for _, found := range s.causes() {
		h := &hold{cause: found, since: at, until: found.last.Add(s.duration(found))}
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
			Age: at.Sub(p.at), Refuted: !p.at.After(suspected.answeredAt), AnsweredAge: answeredAge,
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
