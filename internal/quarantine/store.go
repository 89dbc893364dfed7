// Package quarantine holds the crash reports and quarantined requests of one process: a forwarder,
// a control VM or a relay. It wraps the reducer of the same name and is safe for use by several
// goroutines.
package quarantine

import (
	"cmp"
	"log/slog"
	"math/rand/v2"
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

// Fingerprint identifies a request by its content, whichever process forwards it.
type Fingerprint = quarantine.Fingerprint

// Limit is the number of server crashes after which a request is quarantined.
const Limit = quarantine.Limit

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

	mutex  sync.Mutex
	state  *quarantine.State
	ticked time.Time
}

// New returns a store without reports.
func New(c Config) *Store {
	c.Logger = cmp.Or(c.Logger, slog.New(slog.DiscardHandler))
	now := time.Now()
	state := quarantine.Config{MinReports: quarantine.Limit}
	if c.SendsRequests {
		state = quarantine.Config{MinReports: 1, TrackAnswers: true, Spread: maxSpread * rand.Float64()}
	}
	return &Store{config: c, start: now, state: quarantine.New(state), ticked: now}
}

// now returns the time of the start plus the monotonic time since then: the wall clock can jump, and
// the end of a quarantine must not jump with it.
func (s *Store) now() time.Time { return s.start.Add(time.Since(s.start)) }

// maxSpread is the largest share by which quarantines are longer in one process than in another.
// With a first quarantine of ten minutes that is five minutes, so that hardly two of some hundred
// forwarders allow a request before the first of them has reported the result.
const maxSpread = 0.5

// Crashed records that a server crashed while it began to work on a request. opened is when the
// connection to the server was opened, zero if that is not known.
func (s *Store) Crashed(fingerprint Fingerprint, server message.BackendServer, opened time.Time) {
	now := s.now()
	if !opened.IsZero() {
		opened = now.Add(-time.Since(opened))
	}
	s.reduce(quarantine.Crashed{At: now, Fingerprint: fingerprint, Server: server.Start(), Opened: opened})
}

// Answered records that a server has answered a request completely.
func (s *Store) Answered(fingerprint Fingerprint) {
	s.reduce(quarantine.Answered{At: s.now(), Fingerprint: fingerprint})
}

// ApplyReports adds the reports of another process; forward has new reports sent on.
func (s *Store) ApplyReports(reports []message.CrashReport, forward bool) {
	s.reduce(quarantine.ReportsReceived{At: s.now(), Reports: reports, Forward: forward})
}

// Quarantined returns for how much longer a request must not be sent to servers; false means that
// it may be sent.
func (s *Store) Quarantined(fingerprint Fingerprint) (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Quarantined(s.now(), fingerprint)
}

// Reports lists the reports that were sent so far and are still kept, for a process that was just
// discovered.
func (s *Store) Reports() []message.CrashReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Reports(s.now())
}

// Reported counts the requests under which servers crashed, and the quarantined requests.
func (s *Store) Reported() (reported, quarantined int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Reported(s.now())
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
	case quarantine.Quarantined:
		if !s.config.SendsRequests {
			return
		}
		s.config.Logger.Warn("request held back, servers ended under it",
			"fingerprint", e.Fingerprint.String(), "servers", strings.Join(e.Servers, " "), "forMs", e.For.Milliseconds())
	case quarantine.Released:
		if !s.config.SendsRequests {
			return
		}
		s.config.Logger.Info("request not held back any more, a server answered it", "fingerprint", e.Fingerprint.String())
	}
}
