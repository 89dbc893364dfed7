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

// TickEvery is the longest time between two Ticked events.
const TickEvery = 500 * time.Millisecond

// Config configures the reducer of one sidecar. Zero durations take the defaults
// given at the fields.
type Config struct {
	// Server and Incarnation identify this incarnation of the sidecar.
	Server      string
	Incarnation uint64
	// Service is true for the sidecar of a plain service, which has no engine and
	// accepts no orders.
	Service bool
	// ChecksFencing is true if the engine refuses orders with an old fencing
	// number.
	ChecksFencing bool
	// QuietFor is the longest time that an order may still act after its outcome
	// was lost; zero means 60s. It must cover the longest load of the engine if
	// the engine continues an order whose connection has ended.
	QuietFor time.Duration
	// QueryEvery is the period of queries to the engine while its state is not
	// known, and of requests for a refused permit; zero means 1s.
	QueryEvery time.Duration
	// RetryFirst and RetryMost are the first and the longest retry delay after a
	// failed order; zero means 1s and 60s.
	RetryFirst time.Duration
	RetryMost  time.Duration
	// Seed seeds the jitter.
	Seed uint64
}

func (c Config) withDefaults() Config {
	c.QuietFor = cmp.Or(c.QuietFor, time.Minute)
	c.QueryEvery = cmp.Or(c.QueryEvery, time.Second)
	c.RetryFirst = cmp.Or(c.RetryFirst, time.Second)
	c.RetryMost = cmp.Or(c.RetryMost, time.Minute)
	return c
}

// State is the state of a sidecar that brings its engine to the declared target.
type State struct {
	config   Config
	random   *rand.Rand
	stopping bool

	// The declared state. fencing is the highest revision at which the target is
	// known to be declared; orders carry it. The revisions of a follower never go
	// back, not even over its restart, so the fencing numbers never do either.
	hasTarget bool
	target    declared.Target
	fencing   uint64
	self      *oriolebend.Server

	// The state of the engine. info is nil while that state is not known for sure.
	info        *engine.Info
	infoAt      time.Time // when info was requested
	incarnation uint64
	queriedAt   time.Time
	// queryNumber is the number of the last QueryEngine. Answers to earlier ones
	// may describe the engine before an order and are dropped.
	queryNumber uint64

	// Orders. Before mayActUntil an order whose outcome was lost, or an order of
	// an earlier incarnation of this sidecar, may still act.
	inFlight   *engine.Order
	hasOrdered bool // an order was issued in this incarnation
	lostOrder  *engine.Order
	// overlapsLost is true if the last order was issued while a lost order could
	// still act. An effect that the engine shows may then come from the lost
	// order.
	overlapsLost bool
	// issuedIncarnation is the incarnation of the engine at the time of the last
	// order.
	issuedIncarnation uint64
	mayActUntil       time.Time
	// highestLost is the highest fencing number of a lost order of this
	// incarnation.
	highestLost   uint64
	failures      int
	retryAt       time.Time
	failureDetail string

	// The state that was sent to the gate, and whether the gate's work in
	// progress has ended since.
	gateState oriolebend.ServerState
	drained   bool
	// issuedOutOfWork is true once an order was issued since the server was taken
	// out of work.
	issuedOutOfWork bool

	permit   permitState
	report   Report
	leftSent bool
}

// permitState is the permit that the leader last granted, and the request for
// it that is outstanding.
type permitState struct {
	out, load bool
	until     time.Time
	pending   *message.Permit
	requestAt time.Time
	detail    string
	// used is true once an order was issued under the permit.
	used bool
}

// New returns the state of a sidecar that has not started.
func New(config Config) *State {
	s := &State{config: config.withDefaults()}
	s.random = rand.New(rand.NewPCG(config.Seed, config.Incarnation))
	return s
}

// Settled reports whether the engine is in the declared state.
func (s *State) Settled() bool {
	return s.report.Progress == message.ProgressSettled
}

// Reduce applies one event and returns the effects to perform.
func Reduce(s *State, e Event) []Effect {
	switch e := e.(type) {
	case Started:
		s.applyStarted(e.At)
		return append(s.setState(oriolebend.ServerLoading), s.advance(e.At)...)
	case Declared:
		s.applyDeclared(e)
		return s.advance(e.At)
	case Clean:
		s.skipInitialWait()
		return s.advance(e.At)
	case EngineKnown:
		s.applyEngineInfo(e)
		return s.advance(e.At)
	case EngineLost:
		if e.Number == s.queryNumber {
			s.info = nil
		}
		return s.advance(e.At)
	case WorkEnded:
		s.drained = s.gateState != oriolebend.ServerServing
		return s.advance(e.At)
	case Finished:
		effects := s.applyOrderEnd(e)
		return append(effects, s.advance(e.At)...)
	case PermitAnswered:
		s.applyPermitAnswer(e.At, e.Answer)
		return s.advance(e.At)
	case PermitLost:
		s.permit.pending = nil
		s.permit.requestAt = e.At.Add(s.config.QueryEvery)
		return s.advance(e.At)
	case Stopping:
		s.stopping = true
		return nil
	case Ticked:
		return s.advance(e.At)
	}
	return nil
}

func (s *State) applyStarted(at time.Time) {
	if s.config.Service {
		s.info = &engine.Info{Role: oriolebend.Service}
		return
	}
	s.mayActUntil = at.Add(s.config.QuietFor)
}

// applyDeclared applies the declared state. The first one of this incarnation
// also shows whether an order of an earlier incarnation can be in flight. A
// server is recorded as loading before any order that requires it to be out of
// work, so a server that is recorded in another state has no such order.
func (s *State) applyDeclared(e Declared) {
	if !s.hasTarget && e.Self != nil && e.Self.State != oriolebend.ServerLoading {
		s.skipInitialWait()
	}
	s.self = e.Self
	s.fencing = max(s.fencing, e.Revision)
	if s.hasTarget && s.target.Same(e.Target) {
		return
	}
	s.hasTarget = true
	s.target = e.Target
	s.failures = 0
	s.retryAt = time.Time{}
	s.failureDetail = ""
}

// skipInitialWait ends the wait for orders of an earlier incarnation, unless
// this incarnation has issued an order itself.
func (s *State) skipInitialWait() {
	if !s.hasOrdered {
		s.mayActUntil = time.Time{}
	}
}

// applyEngineInfo applies the state that the engine reported, unless it was
// queried before the last order.
func (s *State) applyEngineInfo(e EngineKnown) {
	if e.Number != s.queryNumber {
		return
	}
	restarted := s.incarnation != 0 && e.Info.Incarnation != s.incarnation
	s.incarnation = e.Info.Incarnation
	s.info = &e.Info
	s.infoAt = s.queriedAt
	if restarted || s.showsLostOrder(e.Info) {
		// An order ends with the incarnation of the engine that it was sent to. An
		// order whose effect shows has acted.
		s.mayActUntil = time.Time{}
		s.lostOrder = nil
		s.highestLost = 0
	}
}

// showsLostOrder reports whether the engine shows the effect of the lost order
// and nothing else can have caused it: no other order could act at the time, and
// the engine has not restarted since, which would have emptied it.
func (s *State) showsLostOrder(info engine.Info) bool {
	if s.lostOrder == nil || s.overlapsLost || s.issuedIncarnation == 0 || info.Incarnation != s.issuedIncarnation {
		return false
	}
	return hasEffect(*s.lostOrder, info)
}

func (s *State) applyOrderEnd(e Finished) []Effect {
	if s.inFlight == nil {
		return nil
	}
	ended := *s.inFlight
	s.inFlight = nil
	s.info = nil
	s.queriedAt = time.Time{}
	if e.Reason == "" && !e.Unsure {
		s.failures = 0
		s.failureDetail = ""
		s.endWaitIfFenced(ended)
		return nil
	}
	wait := min(s.config.RetryFirst<<min(s.failures, 10), s.config.RetryMost)
	s.failures++
	s.retryAt = e.At.Add(wait/2 + time.Duration(s.random.Int64N(int64(wait/2)+1)))
	s.failureDetail = fmt.Sprintf("%s of %s: %s %s", ended.Action, orderObject(ended), e.Reason, e.Detail)
	if !e.Unsure {
		return []Effect{Count{What: CountRefused, Reason: e.Reason}}
	}
	s.highestLost = max(s.highestLost, ended.Fencing)
	s.lostOrder = &ended
	// The order may have reached an incarnation of the engine that was not seen
	// yet. Only a restart after this point ends it.
	s.incarnation = 0
	s.mayActUntil = e.At.Add(s.config.QuietFor)
	return []Effect{Count{What: CountUnsure, Reason: e.Reason}}
}

// endWaitIfFenced ends the wait for lost orders once an engine that checks
// fencing numbers has executed an order with a higher number. The engine refuses
// the lost orders from then on.
func (s *State) endWaitIfFenced(done engine.Order) {
	if s.config.ChecksFencing && s.highestLost > 0 && done.Fencing > s.highestLost {
		s.mayActUntil = time.Time{}
		s.highestLost = 0
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
