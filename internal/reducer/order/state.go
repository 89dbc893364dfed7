package order

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// TickEvery is how often Ticked comes at least.
const TickEvery = 500 * time.Millisecond

// Config sets times; zero fields take the defaults named.
type Config struct {
	// Server and Incarnation name this start of the sidecar.
	Server      string
	Incarnation uint64
	// Service is true beside a plain service, which has no engine and takes no
	// orders.
	Service bool
	// ChecksFencing is true if the engine refuses orders of an old number.
	ChecksFencing bool
	// QuietFor is the longest that an order may still act after its sender
	// lost it; zero means 60s. It must cover the engine's longest load if the
	// engine goes on with an order whose connection ended.
	QuietFor time.Duration
	// AskEvery is how often the engine is asked while its state is not known,
	// and a refused permit is asked for again; zero means 1s.
	AskEvery time.Duration
	// RetryFirst and RetryMost bound the waits after a failed order; zero
	// means 1s and 60s.
	RetryFirst time.Duration
	RetryMost  time.Duration
	// Seed feeds the jitter.
	Seed uint64
}

func (c Config) withDefaults() Config {
	c.QuietFor = cmp.Or(c.QuietFor, time.Minute)
	c.AskEvery = cmp.Or(c.AskEvery, time.Second)
	c.RetryFirst = cmp.Or(c.RetryFirst, time.Second)
	c.RetryMost = cmp.Or(c.RetryMost, time.Minute)
	return c
}

// State is what the sidecar knows of its engine and of what is wanted.
type State struct {
	config   Config
	random   *rand.Rand
	stopping bool

	// What is declared. fencing is the revision at which the target is known
	// to be wanted; orders carry it. Revisions never go back in a follower, also
	// not over its restart, so neither do the numbers.
	declared bool
	target   declared.Target
	fencing  uint64
	self     *oriolebend.Server

	// What the engine is; info is nil while that is not known for sure.
	info        *engine.Info
	infoAt      time.Time // when it was asked for
	incarnation uint64
	askedAt     time.Time
	// asked numbers the last AskEngine; answers to earlier ones tell of the
	// engine as it was before an order, and are dropped.
	asked uint64

	// What is in flight. Before quietUntil an order that was lost, or one of an
	// earlier life of this process, may still act.
	inFlight *engine.Order
	ordered  bool // an order was issued in this life
	unsure   *engine.Order
	// overlaps is true if the last order was issued while a lost one could
	// still act: its effect may then be that of the lost one.
	overlaps bool
	// issuedTo is the start of the engine that the last order was meant for.
	issuedTo   uint64
	quietUntil time.Time
	// lost is the highest number of an order that was lost in this life.
	lost     uint64
	failures int
	retryAt  time.Time
	failure  string

	// What the gate was told, and whether its work has ended since.
	state   oriolebend.ServerState
	drained bool
	// issued is true once an order was issued since the server left work.
	issued bool

	permit permitState
	report Report
	left   bool
}

// permitState is the sidecar's permit as it knows it.
type permitState struct {
	out, load bool
	until     time.Time
	asking    *message.Permit
	askAt     time.Time
	detail    string
	// held is true once an order was issued under the permit.
	held bool
}

// New returns the state of a sidecar that has not started.
func New(config Config) *State {
	s := &State{config: config.withDefaults()}
	s.random = rand.New(rand.NewPCG(config.Seed, config.Incarnation))
	return s
}

// Settled reports whether the engine is as declared.
func (s *State) Settled() bool {
	return s.report.Progress == message.ProgressSettled
}

// Reduce takes one event and returns what is to be done.
func Reduce(s *State, e Event) []Effect {
	switch e := e.(type) {
	case Started:
		s.started(e.At)
		return append(s.setState(oriolebend.ServerLoading), s.advance(e.At)...)
	case Declared:
		s.takeDeclared(e)
		return s.advance(e.At)
	case Clean:
		s.clean()
		return s.advance(e.At)
	case EngineKnown:
		s.engineKnown(e)
		return s.advance(e.At)
	case EngineLost:
		if e.Number == s.asked {
			s.info = nil
		}
		return s.advance(e.At)
	case WorkEnded:
		s.drained = s.state != oriolebend.ServerServing
		return s.advance(e.At)
	case Ended:
		effects := s.orderEnded(e)
		return append(effects, s.advance(e.At)...)
	case PermitAnswered:
		s.permitAnswered(e.At, e.Answer)
		return s.advance(e.At)
	case PermitLost:
		s.permit.asking = nil
		s.permit.askAt = e.At.Add(s.config.AskEvery)
		return s.advance(e.At)
	case Stopping:
		s.stopping = true
		return nil
	case Ticked:
		return s.advance(e.At)
	}
	return nil
}

func (s *State) started(at time.Time) {
	if s.config.Service {
		s.info = &engine.Info{Role: oriolebend.Service}
		return
	}
	s.quietUntil = at.Add(s.config.QuietFor)
}

// takeDeclared takes the declared state. The first one of this life also
// tells whether an order of an earlier life can be in flight: a server is
// written down as loading before any order that its work could not bear, so
// one that stands there in another state had none.
func (s *State) takeDeclared(e Declared) {
	if !s.declared && e.Self != nil && e.Self.State != oriolebend.ServerLoading {
		s.clean()
	}
	s.self = e.Self
	s.fencing = max(s.fencing, e.Revision)
	if s.declared && s.target.Same(e.Target) {
		return
	}
	s.declared = true
	s.target = e.Target
	s.failures = 0
	s.retryAt = time.Time{}
	s.failure = ""
}

// clean ends the wait for orders of an earlier life, unless this life has
// ordered something itself.
func (s *State) clean() {
	if !s.ordered {
		s.quietUntil = time.Time{}
	}
}

// engineKnown takes the engine's word, unless it was asked for before the
// last order.
func (s *State) engineKnown(e EngineKnown) {
	if e.Number != s.asked {
		return
	}
	restarted := s.incarnation != 0 && e.Info.Incarnation != s.incarnation
	s.incarnation = e.Info.Incarnation
	s.info = &e.Info
	s.infoAt = s.askedAt
	if restarted || s.shows(e.Info) {
		// Orders die with the engine that was to carry them out, and one whose
		// effect shows has acted.
		s.quietUntil = time.Time{}
		s.unsure = nil
		s.lost = 0
	}
}

// shows reports whether the engine shows the effect of the lost order, and
// nothing else can have caused it: no other order was about, and the engine has
// not restarted since, which would have emptied it.
func (s *State) shows(info engine.Info) bool {
	if s.unsure == nil || s.overlaps || s.issuedTo == 0 || info.Incarnation != s.issuedTo {
		return false
	}
	return acted(*s.unsure, info)
}

func (s *State) orderEnded(e Ended) []Effect {
	if s.inFlight == nil {
		return nil
	}
	ended := *s.inFlight
	s.inFlight = nil
	s.info = nil
	s.askedAt = time.Time{}
	if e.Reason == "" && !e.Unsure {
		s.failures = 0
		s.failure = ""
		s.fenceOff(ended)
		return nil
	}
	wait := min(s.config.RetryFirst<<min(s.failures, 10), s.config.RetryMost)
	s.failures++
	s.retryAt = e.At.Add(wait/2 + time.Duration(s.random.Int64N(int64(wait/2)+1)))
	s.failure = fmt.Sprintf("%s of %s: %s %s", ended.Action, orderObject(ended), e.Reason, e.Detail)
	if !e.Unsure {
		return []Effect{Count{What: CountRefused, Reason: e.Reason}}
	}
	s.lost = max(s.lost, ended.Fencing)
	s.unsure = &ended
	// The order may have gone to a start of the engine that was not seen yet;
	// only a restart after this point ends it.
	s.incarnation = 0
	s.quietUntil = e.At.Add(s.config.QuietFor)
	return []Effect{Count{What: CountUnsure, Reason: e.Reason}}
}

// fenceOff ends the wait for lost orders once an engine that checks numbers
// has carried out a higher one: it refuses the lost ones from now on.
func (s *State) fenceOff(done engine.Order) {
	if s.config.ChecksFencing && s.lost > 0 && done.Fencing > s.lost {
		s.quietUntil = time.Time{}
		s.lost = 0
	}
}

func orderObject(o engine.Order) string {
	switch o.Action {
	case engine.OrderRole:
		return string(o.Role)
	case engine.OrderAdapter:
		return oriolebend.AdapterName(o.Model, o.Adapter)
	}
	return oriolebend.VersionName(o.Model, o.Version)
}
