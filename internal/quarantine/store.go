// Package quarantine holds the crash reports and quarantined requests of one process: a forwarder,
// a control VM or a relay. It wraps the reducer of the same name and is safe for use by several
// goroutines.
package quarantine

import (
	"cmp"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer"
	"github.com/oriolebend/oriolebend/internal/reducer/quarantine"
)

// expiryInterval is the interval at which old reports are deleted; a report may be kept for that
// much longer.
const expiryInterval = time.Minute

// Names of the reducer's types.
type (
	// Fingerprint identifies a request by its content, or a part of prompts, whichever process
	// forwards it.
	Fingerprint = quarantine.Fingerprint
	// Suspects are a request and the parts of its prompt.
	Suspects = quarantine.Suspects
	// Hold is a quarantine that applies to a request.
	Hold = quarantine.Hold
	// Entry is one quarantine, for operators.
	Entry = quarantine.Entry
	// Counts are the numbers of suspects that were reported, and of those that are quarantined.
	Counts = quarantine.Counts
	// Kind is what a fingerprint identifies.
	Kind = quarantine.Kind
)

// Kinds of fingerprints.
const (
	KindRequest = quarantine.KindRequest
	KindPart    = quarantine.KindPart
)

// Limit is the number of server crashes after which a request or a part is quarantined, unless
// servers answered it not long before.
const Limit = quarantine.Limit

const (
	// maxRefutationDelay is the longest delay until a process sends an answer that it knows. In that
	// time the first of some hundred processes has reached all others.
	maxRefutationDelay = 100 * time.Millisecond
	// watchDelay is the time from a new quarantine until requests in progress are cancelled. If
	// another process knows an answer, it has sent it by then.
	watchDelay = 250 * time.Millisecond
)

// Config sets up a Store.
type Config struct {
	// SendsRequests is set in processes that send requests to servers. These receive answers,
	// report every crash, and log the requests that they quarantine. Other processes only pass
	// on the reports of requests under which several servers crashed.
	SendsRequests bool
	// SendReports sends reports to other processes; it must not block. If it is nil, reports
	// are not sent.
	SendReports func([]message.CrashReport)
	Logger      *slog.Logger
}

// Store is the quarantine of one process.
type Store struct {
	config Config
	start  time.Time

	mutex   sync.Mutex
	state   *quarantine.State
	ticked  time.Time
	watches map[*watch]struct{}
}

// watch is a request that is cancelled if it becomes quarantined.
type watch struct {
	suspects Suspects
	cancel   func(Hold)
}

// New returns a store without reports.
func New(c Config) *Store {
	c.Logger = cmp.Or(c.Logger, slog.New(slog.DiscardHandler))
	now := time.Now()
	state := quarantine.Config{MinReports: quarantine.Limit}
	if c.SendsRequests {
		state = quarantine.Config{MinReports: 1, TrackAnswers: true, Spread: maxSpread * rand.Float64()}
	}
	return &Store{config: c, start: now, state: quarantine.New(state), ticked: now, watches: map[*watch]struct{}{}}
}

// now returns the time of the start plus the monotonic time since then: the wall clock can jump, and
// the end of a quarantine must not jump with it.
func (s *Store) now() time.Time { return s.start.Add(time.Since(s.start)) }

// maxSpread is the largest share by which quarantines are longer in one process than in another.
// With a first quarantine of ten minutes that is five minutes, so that hardly two of some hundred
// forwarders allow a request before the first of them has reported the result.
const maxSpread = 0.5

// Crashed records that a server crashed at a time while it began to work on a request. opened is
// when the connection to the server was opened, zero if that is not known.
func (s *Store) Crashed(suspects Suspects, server message.BackendServer, at, opened time.Time) {
	if !opened.IsZero() {
		opened = s.convert(opened)
	}
	s.reduce(quarantine.Crashed{At: s.convert(at), Suspects: suspects, Server: server.Start(), Opened: opened})
}

// DomainServed records that another server of the same service and failure domain has answered since a
// server crashed at a time.
func (s *Store) DomainServed(server message.BackendServer, crashed time.Time) {
	s.reduce(quarantine.DomainServed{At: s.now(), Server: server.Start(), Crashed: s.convert(crashed)})
}

// Answered records that a server has answered a request, and that its answer began at a time. It is
// complete, or has lasted for so long that its beginning can't crash the server any more.
func (s *Store) Answered(suspects Suspects, began time.Time) {
	s.reduce(quarantine.Answered{At: s.convert(began), Suspects: suspects})
}

// convert converts a time of the monotonic clock to the time of the store.
func (s *Store) convert(at time.Time) time.Time { return s.now().Add(-time.Since(at)) }

// ApplyReports adds the reports of another process; forward has new reports sent on.
func (s *Store) ApplyReports(reports []message.CrashReport, forward bool) {
	s.reduce(quarantine.ReportsReceived{At: s.now(), Reports: reports, Forward: forward})
}

// Quarantined returns the quarantine that applies to a request; false means that the request may be
// sent to servers.
func (s *Store) Quarantined(suspects Suspects) (Hold, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Quarantined(s.now(), suspects)
}

// Watch calls cancel once if a request becomes quarantined. The returned function ends that.
func (s *Store) Watch(suspects Suspects, cancel func(Hold)) (end func()) {
	w := &watch{suspects: suspects, cancel: cancel}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.watches[w] = struct{}{}
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.watches, w)
	}
}

// cancelQuarantined cancels the watched requests that are quarantined.
func (s *Store) cancelQuarantined() {
	for w, hold := range s.takeQuarantined() {
		w.cancel(hold)
	}
}

func (s *Store) takeQuarantined() map[*watch]Hold {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := map[*watch]Hold{}
	now := s.now()
	for w := range s.watches {
		if hold, quarantined := s.state.Quarantined(now, w.suspects); quarantined {
			found[w] = hold
			delete(s.watches, w)
		}
	}
	return found
}

// Release ends a quarantine on behalf of an operator. It returns false if there is none.
func (s *Store) Release(fingerprint Fingerprint) bool {
	held := slices.ContainsFunc(s.Entries(), func(e Entry) bool { return e.Fingerprint == fingerprint })
	if held {
		s.reduce(quarantine.ReleaseRequested{At: s.now(), Fingerprint: fingerprint})
	}
	return held
}

// Entries lists the quarantines in force.
func (s *Store) Entries() []Entry {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Entries(s.now())
}

// Reports lists the reports that were sent so far and are still kept, for a process that was just
// discovered.
func (s *Store) Reports() []message.CrashReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Reports(s.now())
}

// Reported counts the suspects of a kind under which servers crashed.
func (s *Store) Reported(kind Kind) Counts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Reported(s.now())[kind]
}

// reduce passes an event to the reducer and carries out its effects. The effects are carried out
// without the mutex, because their receiver may query this store while it holds a lock of its own.
// The order of the effects does not matter.
func (s *Store) reduce(e quarantine.Event) {
	for _, effect := range s.effects(e) {
		s.execute(effect)
	}
}

func (s *Store) effects(e quarantine.Event) []reducer.Effect {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state := &reducer.State{Quarantine: s.state}
	effects := reducer.Reduce(state, e)
	if now := s.now(); now.Sub(s.ticked) >= expiryInterval {
		s.ticked = now
		effects = append(effects, reducer.Reduce(state, quarantine.Ticked{At: now})...)
	}
	return effects
}

// execute carries out one effect of the reducer.
func (s *Store) execute(effect reducer.Effect) {
	switch e := effect.(type) {
	case quarantine.SendReports:
		if s.config.SendReports != nil {
			s.config.SendReports(e.Reports)
		}
	case quarantine.ScheduleRefutation:
		time.AfterFunc(rand.N(maxRefutationDelay), func() {
			s.reduce(quarantine.RefutationDue{At: s.now(), Fingerprint: e.Fingerprint})
		})
	case quarantine.Quarantined:
		time.AfterFunc(watchDelay, s.cancelQuarantined)
		s.logQuarantined(e)
	case quarantine.Released:
		s.logReleased(e)
	}
}

// logQuarantined logs a new quarantine, or one that has become longer, in processes that send
// requests.
func (s *Store) logQuarantined(e quarantine.Quarantined) {
	if !s.config.SendsRequests {
		return
	}
	text := "request held back, servers ended under it"
	if e.Kind == KindPart {
		text = "part of prompts held back, servers ended under it"
	}
	var together []string
	for _, part := range e.Together {
		together = append(together, part.String())
	}
	s.config.Logger.Warn(text, "fingerprint", e.Fingerprint.String(), "together", strings.Join(together, " "),
		"servers", strings.Join(e.Servers, " "), "forMs", e.For.Milliseconds())
}

// releaseTexts describe the reasons of releases in log lines.
var releaseTexts = map[quarantine.ReleaseReason]string{
	quarantine.ReleaseAnswered:  "a server answered it",
	quarantine.ReleaseExplained: "another cause explains the crashes",
}

func (s *Store) logReleased(e quarantine.Released) {
	if !s.config.SendsRequests {
		return
	}
	text := "request not held back any more, "
	if e.Kind == KindPart {
		text = "part of prompts not held back any more, "
	}
	s.config.Logger.Info(text+releaseTexts[e.Reason], "fingerprint", e.Fingerprint.String())
}
