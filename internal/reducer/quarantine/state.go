// Package quarantine is the reducer that decides which requests are no longer sent to
// servers, because several servers crashed while they worked on them. It is pure: time comes
// in events.
//
// A request may crash each server that begins to run it. To the forwarder, the server was
// lost; the caller retries with another id and at another forwarder, and crashes the next
// server together with all requests in progress there. The symptom is that servers crash one
// after the other without any other cause, each with the same fingerprint among the requests
// that it had just begun.
//
// The state is a set of reports, one for each request and run of a server. Sets are merged by
// union, and a refuted report stays refuted, so that processes may exchange reports in any
// order and any number of times.
package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Limit is the number of server crashes after which a request is quarantined. Two crashes can
// happen to a request by chance: when many servers crash at once, it may be resent to a server
// that crashes as well. A request that is quarantined by mistake has already failed three
// times.
const Limit = 3

const (
	// firstQuarantine is the duration of the first quarantine of a request: longer than
	// callers retry. Then one more attempt is allowed, in case the servers were fixed. That
	// attempt may crash a server, so each further crash doubles the duration, up to
	// maxQuarantine.
	firstQuarantine = 10 * time.Minute
	maxQuarantine   = 24 * time.Hour
	// reportLifetime is for how long a crash counts: longer than any quarantine.
	reportLifetime = 2 * maxQuarantine
	// maxRequests and maxReports bound the memory to about a megabyte. When a whole failure
	// domain is lost, thousands of requests are reported once; the requests that were
	// reported last are kept.
	maxRequests = 2048
	maxReports  = 12
)

// Fingerprint identifies a request by its content, whichever process forwards it.
type Fingerprint uint64

// String formats a fingerprint as in log lines.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Config sets up a State.
type Config struct {
	// MinReports is the number of reports of a request from which on they are sent to other
	// processes; zero means 1. Forwarders send every report. Control VMs, which send to all forwarders,
	// wait for Limit reports: the loss of a failure domain causes thousands of reports, and
	// hardly any is followed by a second one of the same request.
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
	requests map[Fingerprint]*request
	answered answers
}

// request holds the crash reports of one request.
type request struct {
	reports map[run]*report
	// last is the time of the last crash that is not refuted, or of the last crash if all are
	// refuted.
	last time.Time
}

// report is the crash of one run of a server.
type report struct {
	at      time.Time
	refuted bool
}

// New returns a state without reports.
func New(c Config) *State {
	c.MinReports = cmp.Or(c.MinReports, 1)
	s := &State{config: c, requests: map[Fingerprint]*request{}}
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
	case Ticked:
		s.expire(e.At)
	}
	return nil
}

// Quarantined returns for how much longer a request must not be sent to servers; false means
// that it may be sent.
func (s *State) Quarantined(at time.Time, fingerprint Fingerprint) (time.Duration, bool) {
	r := s.requests[fingerprint]
	if r == nil || r.count() < Limit {
		return 0, false
	}
	left := r.last.Add(s.duration(r)).Sub(at)
	return left, left > 0
}

// Reported counts the requests under which servers crashed, and the quarantined requests.
func (s *State) Reported(at time.Time) (reported, quarantined int) {
	for fingerprint := range s.requests {
		if _, is := s.Quarantined(at, fingerprint); is {
			quarantined++
		}
	}
	return len(s.requests), quarantined
}

// Reports lists all reports that were sent so far, for a process that was just discovered.
func (s *State) Reports(at time.Time) []message.CrashReport {
	var all []message.CrashReport
	for _, fingerprint := range slices.Sorted(maps.Keys(s.requests)) {
		if len(s.requests[fingerprint].reports) >= s.config.MinReports {
			all = append(all, s.reportsOf(at, fingerprint)...)
		}
	}
	return all
}

func (s *State) applyCrash(e Crashed) []Effect {
	r := s.request(e.Fingerprint)
	crashed := r.runAt(e.Server, e.Opened)
	if r.reports[crashed] != nil {
		return nil
	}
	before := r.count()
	r.add(e.At, crashed, s.answered.recent(e.At, e.Fingerprint))
	return s.effectsOfChange(e.At, e.Fingerprint, before, true)
}

// applyAnswer refutes the reports of a request: a request that crashes servers is never
// answered.
func (s *State) applyAnswer(e Answered) []Effect {
	s.answered.record(e.At, e.Fingerprint)
	r := s.requests[e.Fingerprint]
	if r == nil || r.count() == 0 {
		return nil
	}
	before := r.count()
	r.refute()
	return s.effectsOfChange(e.At, e.Fingerprint, before, true)
}

func (s *State) applyReports(e ReportsReceived) []Effect {
	var effects []Effect
	groups := byFingerprint(e.Reports)
	for _, fingerprint := range slices.Sorted(maps.Keys(groups)) {
		r := s.request(fingerprint)
		before, changed := r.count(), false
		for _, m := range groups[fingerprint] {
			changed = r.merge(e.At, m) || changed
		}
		refuted := r.count() > 0 && s.answered.recent(e.At, fingerprint)
		if refuted {
			r.refute()
		}
		if changed || refuted {
			effects = append(effects, s.effectsOfChange(e.At, fingerprint, before, e.Forward || refuted)...)
		}
	}
	return effects
}

// effectsOfChange returns the effects of a change to the reports of a request. before is the number
// of crashes before the change; send allows SendReports.
func (s *State) effectsOfChange(at time.Time, fingerprint Fingerprint, before int, send bool) []Effect {
	var effects []Effect
	r := s.requests[fingerprint]
	if send && len(r.reports) >= s.config.MinReports {
		effects = append(effects, SendReports{Reports: s.reportsOf(at, fingerprint)})
	}
	switch left, quarantined := s.Quarantined(at, fingerprint); {
	case quarantined && r.count() > before:
		effects = append(effects, Quarantined{Fingerprint: fingerprint, Servers: r.servers(), For: left})
	case !quarantined && before >= Limit && r.count() < Limit:
		effects = append(effects, Released{Fingerprint: fingerprint})
	}
	return effects
}

// duration returns how long a request with at least Limit crashes is quarantined after the last
// crash.
func (s *State) duration(r *request) time.Duration {
	duration := min(maxQuarantine, firstQuarantine<<(r.count()-Limit))
	return time.Duration(float64(duration) * (1 + s.config.Spread))
}

// request returns the entry of a request, and adds one if there is none.
func (s *State) request(fingerprint Fingerprint) *request {
	if r := s.requests[fingerprint]; r != nil {
		return r
	}
	if len(s.requests) >= maxRequests {
		s.evict()
	}
	r := &request{reports: map[run]*report{}}
	s.requests[fingerprint] = r
	return r
}

// evict drops an eighth of the requests: those with the fewest crashes, and among these the ones
// whose last crash is the oldest.
func (s *State) evict() {
	least := slices.SortedFunc(maps.Keys(s.requests), func(a, b Fingerprint) int {
		first, second := s.requests[a], s.requests[b]
		return cmp.Or(cmp.Compare(first.count(), second.count()), first.last.Compare(second.last), cmp.Compare(a, b))
	})
	for _, fingerprint := range least[:len(least)/8] {
		delete(s.requests, fingerprint)
	}
}

// expire drops the requests whose last crash is too old.
func (s *State) expire(at time.Time) {
	maps.DeleteFunc(s.requests, func(_ Fingerprint, r *request) bool { return at.Sub(r.last) >= reportLifetime })
}

// reportsOf lists the reports of a request in the form in which they are sent.
func (s *State) reportsOf(at time.Time, fingerprint Fingerprint) []message.CrashReport {
	r := s.requests[fingerprint]
	var list []message.CrashReport
	for _, crashed := range slices.SortedFunc(maps.Keys(r.reports), compareRuns) {
		list = append(list, message.CrashReport{
			Fingerprint: uint64(fingerprint), Instance: crashed.Instance, Incarnation: crashed.Incarnation, Life: crashed.number,
			Age: at.Sub(r.reports[crashed].at), Refuted: r.reports[crashed].refuted,
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
