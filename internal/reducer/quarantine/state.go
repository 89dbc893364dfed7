// Package quarantine is the reducer that decides which requests are not sent to servers
// any more, because server after server ended under them. It is pure: time comes in
// events.
//
// A request may crash each server that begins to run it. To the forwarder it is one whose
// server was lost; its caller tries again, with another id and at another forwarder, and
// ends the next server together with all the work there. One notices it by servers that
// end one by one on a calm day, each with the same fingerprint among what it had just begun.
//
// What is known is a set of reports, one for each request and start of a server. Sets are
// joined by union, and a report that was refuted stays refuted, so that processes may tell
// each other in any order and any number of times.
package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Limit is how many servers may end under a request before it is held. Two can happen to
// a request by chance, when many servers end at once: it is sent on to one that ends as
// well. One that is held by mistake has failed three times already.
const Limit = 3

const (
	// holdFirst is how long a request is held at first: longer than callers retry for.
	// After it one more try is let through, in case the servers were mended; it may cost
	// a server, so each further end doubles the time, up to holdMost.
	holdFirst = 10 * time.Minute
	holdMost  = 24 * time.Hour
	// remember is for how long the end of a server counts: longer than any hold.
	remember = 2 * holdMost
	// mostRequests and mostReports bound the memory, to about a megabyte. When a whole
	// failure domain is lost, thousands of requests are reported once; those that
	// were reported last are kept.
	mostRequests = 2048
	mostReports  = 12
)

// Fingerprint identifies what a request asks for, whoever carries it.
type Fingerprint uint64

// String writes a fingerprint as log lines do.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Config sets up a State.
type Config struct {
	// MinReports is how many reports of a request there must be for them to be told.
	// Forwarders tell each; control VMs, who tell all forwarders, wait for Limit: the
	// loss of a failure domain makes thousands of reports, and hardly one is followed
	// by a second of the same request.
	MinReports int
	// TrackAnswers has what was answered a moment ago be remembered. Only who sends
	// requests hears of answers.
	TrackAnswers bool
	// Spread lengthens holds by a part. Where it differs between forwarders they don't
	// all let a request through at the same moment.
	Spread float64
}

// State is what one process knows. Only Reduce changes it.
type State struct {
	config   Config
	requests map[Fingerprint]*request
	answered answers
}

// request is what is known of one request.
type request struct {
	reports map[life]*report
	// last is when a server ended under it last, as far as that is not refuted.
	last time.Time
}

// report is the end of one life of a server.
type report struct {
	at      time.Time
	refuted bool
}

// New returns a state that knows nothing.
func New(c Config) *State {
	c.MinReports = cmp.Or(c.MinReports, 1)
	s := &State{config: c, requests: map[Fingerprint]*request{}}
	if c.TrackAnswers {
		s.answered = newAnswers()
	}
	return s
}

// Reduce moves the state on and returns what is to be done.
func Reduce(s *State, event Event) []Effect {
	switch e := event.(type) {
	case Crashed:
		return s.crashed(e)
	case Answered:
		return s.answer(e)
	case ReportsReceived:
		return s.heard(e)
	case Ticked:
		s.forget(e.At)
	}
	return nil
}

// Quarantined is for how much longer a request is not sent to servers; false means that it may
// be sent.
func (s *State) Quarantined(at time.Time, fingerprint Fingerprint) (time.Duration, bool) {
	r := s.requests[fingerprint]
	if r == nil || r.count() < Limit {
		return 0, false
	}
	left := r.last.Add(s.hold(r)).Sub(at)
	return left, left > 0
}

// Reported counts the requests under which servers ended, and those that are held.
func (s *State) Reported(at time.Time) (reported, held int) {
	for fingerprint := range s.requests {
		if _, is := s.Quarantined(at, fingerprint); is {
			held++
		}
	}
	return len(s.requests), held
}

// Reports lists what was told so far, for a process that has just been found.
func (s *State) Reports(at time.Time) []message.CrashReport {
	var all []message.CrashReport
	for _, fingerprint := range slices.Sorted(maps.Keys(s.requests)) {
		if len(s.requests[fingerprint].reports) >= s.config.MinReports {
			all = append(all, s.reportsOf(at, fingerprint)...)
		}
	}
	return all
}

func (s *State) crashed(e Crashed) []Effect {
	r := s.request(e.Fingerprint)
	ended := r.lifeOf(e.Server, e.Opened)
	if r.reports[ended] != nil {
		return nil
	}
	before := r.count()
	r.add(e.At, ended, s.answered.recently(e.At, e.Fingerprint))
	return s.changed(e.At, e.Fingerprint, before, true)
}

// answer refutes what was reported of a request: one that crashes servers is never
// answered.
func (s *State) answer(e Answered) []Effect {
	s.answered.note(e.At, e.Fingerprint)
	r := s.requests[e.Fingerprint]
	if r == nil || r.count() == 0 {
		return nil
	}
	before := r.count()
	r.refute()
	return s.changed(e.At, e.Fingerprint, before, true)
}

func (s *State) heard(e ReportsReceived) []Effect {
	var effects []Effect
	groups := byFingerprint(e.Reports)
	for _, fingerprint := range slices.Sorted(maps.Keys(groups)) {
		r := s.request(fingerprint)
		before, news := r.count(), false
		for _, m := range groups[fingerprint] {
			news = r.merge(e.At, m) || news
		}
		refuted := r.count() > 0 && s.answered.recently(e.At, fingerprint)
		if refuted {
			r.refute()
		}
		if news || refuted {
			effects = append(effects, s.changed(e.At, fingerprint, before, e.Forward || refuted)...)
		}
	}
	return effects
}

// changed says what follows from a change of what is known of a request.
func (s *State) changed(at time.Time, fingerprint Fingerprint, before int, tell bool) []Effect {
	var effects []Effect
	r := s.requests[fingerprint]
	if tell && len(r.reports) >= s.config.MinReports {
		effects = append(effects, SendReports{Reports: s.reportsOf(at, fingerprint)})
	}
	switch left, held := s.Quarantined(at, fingerprint); {
	case held && r.count() > before:
		effects = append(effects, Quarantined{Fingerprint: fingerprint, Servers: r.servers(), For: left})
	case !held && before >= Limit && r.count() < Limit:
		effects = append(effects, Released{Fingerprint: fingerprint})
	}
	return effects
}

// hold is how long a request under which Limit servers ended is held after the last end.
func (s *State) hold(r *request) time.Duration {
	hold := min(holdMost, holdFirst<<(r.count()-Limit))
	return time.Duration(float64(hold) * (1 + s.config.Spread))
}

// request returns what is known of a request, and makes room for it.
func (s *State) request(fingerprint Fingerprint) *request {
	if r := s.requests[fingerprint]; r != nil {
		return r
	}
	if len(s.requests) >= mostRequests {
		s.makeRoom()
	}
	r := &request{reports: map[life]*report{}}
	s.requests[fingerprint] = r
	return r
}

// makeRoom drops an eighth of the requests: those under which the fewest servers ended, and
// of these the ones that were reported least of late.
func (s *State) makeRoom() {
	least := slices.SortedFunc(maps.Keys(s.requests), func(a, b Fingerprint) int {
		first, second := s.requests[a], s.requests[b]
		return cmp.Or(cmp.Compare(first.count(), second.count()), first.last.Compare(second.last), cmp.Compare(a, b))
	})
	for _, fingerprint := range least[:len(least)/8] {
		delete(s.requests, fingerprint)
	}
}

// forget drops what has become too old.
func (s *State) forget(at time.Time) {
	maps.DeleteFunc(s.requests, func(_ Fingerprint, r *request) bool { return at.Sub(r.last) >= remember })
}

// reportsOf lists what is known of a request as it is told.
func (s *State) reportsOf(at time.Time, fingerprint Fingerprint) []message.CrashReport {
	r := s.requests[fingerprint]
	var list []message.CrashReport
	for _, l := range slices.SortedFunc(maps.Keys(r.reports), compareLives) {
		list = append(list, message.CrashReport{
			Fingerprint: uint64(fingerprint), Instance: l.Instance, Incarnation: l.Incarnation, Life: l.number,
			Age: at.Sub(r.reports[l].at), Refuted: r.reports[l].refuted,
		})
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
