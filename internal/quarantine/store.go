// Package quarantine keeps one process's part of what is known of requests that crash
// servers, for several goroutines.
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

// tickEvery is how often what has become too old is looked for; it may be kept for that
// much longer.
const tickEvery = time.Minute

// Fingerprint identifies what a request asks for, whoever carries it.
type Fingerprint = quarantine.Fingerprint

// Limit is under how many ends of servers a request is held.
const Limit = quarantine.Limit

// Config sets up a Store.
type Config struct {
	// SendsRequests is set in processes that send requests to servers: these hear of answers, tell
	// each end of a server, and log what they hold back. Others tell what several of them
	// have found.
	SendsRequests bool
	// SendReports passes reports on to other processes; it must not block. Nil tells nobody.
	SendReports   func([]message.CrashReport)
	Logger *slog.Logger
}

// Store is the quarantine of one process.
type Store struct {
	config Config
	start  time.Time

	mutex  sync.Mutex
	state  *quarantine.State
	ticked time.Time
}

// New returns a store that knows nothing.
func New(c Config) *Store {
	c.Logger = cmp.Or(c.Logger, slog.New(slog.DiscardHandler))
	now := time.Now()
	state := quarantine.Config{MinReports: quarantine.Limit}
	if c.SendsRequests {
		state = quarantine.Config{MinReports: 1, TrackAnswers: true, Spread: mostSpread * rand.Float64()}
	}
	return &Store{config: c, start: now, state: quarantine.New(state), ticked: now}
}

// now is a time on the steady clock: the time of day can jump, and a hold must not.
func (s *Store) now() time.Time { return s.start.Add(time.Since(s.start)) }

// mostSpread is by which part holds differ between processes at most: with a first hold of
// ten minutes five minutes, so that hardly two of some hundred forwarders let a request
// through before the first has told what it did.
const mostSpread = 0.5

// Crashed notes that a server has ended while it began to work on a request, on a connection
// that was opened then; a zero time is one that is not known.
func (s *Store) Crashed(fingerprint Fingerprint, server message.BackendServer, opened time.Time) {
	now := s.now()
	if !opened.IsZero() {
		opened = now.Add(-time.Since(opened))
	}
	s.reduce(quarantine.Crashed{At: now, Fingerprint: fingerprint, Server: server.Start(), Opened: opened})
}

// Answered notes that a server has answered a request to its end.
func (s *Store) Answered(fingerprint Fingerprint) {
	s.reduce(quarantine.Answered{At: s.now(), Fingerprint: fingerprint})
}

// ApplyReports takes in what another process knows; pass has it told on.
func (s *Store) ApplyReports(reports []message.CrashReport, pass bool) {
	s.reduce(quarantine.ReportsReceived{At: s.now(), Reports: reports, Forward: pass})
}

// Quarantined is for how much longer a request is not sent to servers; false means that it may
// be sent.
func (s *Store) Quarantined(fingerprint Fingerprint) (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Quarantined(s.now(), fingerprint)
}

// Reports lists what was told so far, for a process that has just been found.
func (s *Store) Reports() []message.CrashReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Reports(s.now())
}

// Reported counts the requests under which servers ended, and those that are held.
func (s *Store) Reported() (reported, held int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Reported(s.now())
}

// reduce feeds the reducer and carries its effects out. That is done without the mutex: who
// is told may hold a lock of its own while it asks for what is known here. What order it is
// told in does not matter.
func (s *Store) reduce(e quarantine.Event) {
	for _, effect := range s.effects(e) {
		s.carryOut(effect)
	}
}

func (s *Store) effects(e quarantine.Event) []reducer.Effect {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state := &reducer.State{Quarantine: s.state}
	effects := reducer.Reduce(state, e)
	if now := s.now(); now.Sub(s.ticked) >= tickEvery {
		s.ticked = now
		effects = append(effects, reducer.Reduce(state, quarantine.Ticked{At: now})...)
	}
	return effects
}

// carryOut does what the reducer asks for.
func (s *Store) carryOut(effect reducer.Effect) {
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
