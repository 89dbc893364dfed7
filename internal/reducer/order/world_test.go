package order

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// orderOnWay is an order on its way to the engine.
type orderOnWay struct {
	order       engine.Order
	at          time.Time // when the engine executes the order
	incarnation uint64
	answerLost  bool // the sidecar was already informed that the outcome is lost
}

// world is an engine with its sidecar, a gate and a leader that grants permits.
// Its hooks decide which orders and answers are late or lost.
type world struct {
	now         time.Time
	config      Config
	sidecar     *State
	incarnation uint64
	revision    uint64
	target      declared.Target
	self        *oriolebend.Server // the member entry in the declared state
	gate        oriolebend.ServerState
	info        engine.Info
	// interrupted is true if the membership ended while the server was loading.
	interrupted  bool
	onWay        []orderOnWay
	actedFencing []uint64
	faults       []string
	log          []string
	deny         bool
	lateAnswers  []EngineKnown // answers of the engine that are delivered late
	answersLate  func() bool
	busy         bool // the gate has work in progress
	// orderFate decides when an order acts and whether its answer is lost.
	orderFate func(o engine.Order) (delay time.Duration, lost bool)
}

func newWorld(config Config) *world {
	w := &world{
		now: time.Unix(0, 0), config: config, revision: 1,
		target:    declared.Target{State: oriolebend.ServerServing},
		info:      engine.Info{Role: oriolebend.Decode, Incarnation: 1},
		orderFate: func(engine.Order) (time.Duration, bool) { return time.Second, false },
	}
	w.restart()
	return w
}

// restart crashes the sidecar and starts its next incarnation. Orders on their
// way are still executed.
func (w *world) restart() {
	w.incarnation++
	w.config.Incarnation = w.incarnation
	w.sidecar = New(w.config)
	w.gate = ""
	w.lateAnswers = nil
	w.reduce(Started{At: w.now})
	w.declare()
}

// endMembership ends the membership of the server.
func (w *world) endMembership() {
	if w.self != nil {
		w.interrupted = w.self.State == oriolebend.ServerLoading
		w.self = nil
	}
}

// answerAnnouncement sends the leader's answer to the first announcement.
func (w *world) answerAnnouncement() {
	clean := w.self == nil && !w.interrupted
	if w.self != nil && w.self.Incarnation < w.incarnation {
		clean = w.self.State != oriolebend.ServerLoading
	}
	if clean {
		w.reduce(Clean{At: w.now})
	}
}

func (w *world) declare() {
	var self *oriolebend.Server
	if w.self != nil {
		held := *w.self
		self = &held
	}
	w.reduce(Declared{At: w.now, Revision: w.revision, Target: w.target, Self: self})
}

func (w *world) reduce(e Event) {
	for _, effect := range Reduce(w.sidecar, e) {
		w.log = append(w.log, strings.TrimPrefix(fmt.Sprintf("%T%+v", effect, effect), "order."))
		w.applyEffect(effect)
	}
}

func (w *world) applyEffect(effect Effect) {
	switch e := effect.(type) {
	case SetState:
		w.gate = e.State
	case QueryEngine:
		info := w.info
		info.Models = slices.Clone(info.Models)
		known := EngineKnown{At: w.now, Number: e.Number, Info: info}
		if w.answersLate == nil || !w.answersLate() {
			w.reduce(known)
			return
		}
		w.lateAnswers = append(w.lateAnswers, known)
	case RequestPermit:
		answer := message.Permitted{Granted: !w.deny, LeaseFor: 15 * time.Second, RetryAfter: time.Second}
		if w.deny {
			answer = message.Permitted{Detail: "pool p would keep 1 of 2", RetryAfter: time.Second}
		}
		w.reduce(PermitAnswered{At: w.now, Answer: answer})
	case Issue:
		delay, lost := w.orderFate(e.Order)
		w.onWay = append(w.onWay, orderOnWay{order: e.Order, at: w.now.Add(delay), incarnation: w.incarnation, answerLost: lost})
		if lost {
			w.reduce(Finished{At: w.now, Unsure: true, Reason: oriolebend.ReasonOutcomeLost})
		}
	}
}

// advanceClock advances the time in ticks and delivers orders and answers that
// are due.
func (w *world) advanceClock(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(TickEvery)
		w.deliverDue()
		if w.gate != "" && (w.self == nil || w.self.State != w.gate || w.self.Incarnation != w.incarnation) {
			w.self = &oriolebend.Server{State: w.gate, Incarnation: w.incarnation}
			w.interrupted = false
			w.declare()
		}
		if w.gate != oriolebend.ServerServing && !w.busy {
			w.reduce(WorkEnded{At: w.now})
		}
		w.reduce(Ticked{At: w.now})
	}
}

func (w *world) deliverDue() {
	if len(w.lateAnswers) > 0 && w.now.Sub(w.lateAnswers[0].At) > time.Second {
		known := w.lateAnswers[0]
		w.lateAnswers = w.lateAnswers[1:]
		known.At = w.now
		w.reduce(known)
	}
	way := w.onWay
	w.onWay = nil
	for i, s := range way {
		if s.at.After(w.now) {
			w.onWay = append(w.onWay, way[i])
			continue
		}
		w.executeOrder(s.order)
		if s.incarnation == w.incarnation && !s.answerLost {
			w.reduce(Finished{At: w.now})
		}
	}
}

// executeOrder executes an order at the engine, which checks fencing numbers if
// it is configured so, and notes faults.
func (w *world) executeOrder(o engine.Order) {
	if w.config.ChecksFencing && o.Fencing < w.info.Fencing {
		return
	}
	if w.config.ChecksFencing {
		w.info.Fencing = o.Fencing
	}
	if n := len(w.actedFencing); n > 0 && w.actedFencing[n-1] > o.Fencing {
		w.faults = append(w.faults, fmt.Sprintf("order %d after order %d", o.Fencing, w.actedFencing[n-1]))
	}
	w.actedFencing = append(w.actedFencing, o.Fencing)
	if w.gate == oriolebend.ServerServing && o.Action != engine.OrderAdapter {
		w.faults = append(w.faults, fmt.Sprintf("%s while at work", o.Action))
	}
	w.applyToEngine(o)
}

func (w *world) applyToEngine(o engine.Order) {
	at := slices.IndexFunc(w.info.Models, func(m oriolebend.LoadedModel) bool {
		return m.Model == o.Model && m.Version == o.Version
	})
	switch {
	case o.Action == engine.OrderRole:
		w.info.Role = o.Role
	case o.Action == engine.OrderLoad && at < 0:
		w.info.Models = append(w.info.Models, oriolebend.LoadedModel{Model: o.Model, Version: o.Version})
	case o.Action == engine.OrderUnload && at >= 0:
		w.info.Models = slices.Delete(slices.Clone(w.info.Models), at, at+1)
	case o.Action == engine.OrderAdapter && at >= 0:
		w.info.Models = slices.Clone(w.info.Models)
		m := &w.info.Models[at]
		m.Adapters = append(slices.Clone(m.Adapters), o.Adapter)
	}
}

// declareTarget declares another target.
func (w *world) declareTarget(t declared.Target) {
	w.revision++
	w.target = t
	w.declare()
}

func poolTarget(role oriolebend.PoolRole, version string, adapters ...string) declared.Target {
	return declared.Target{
		State: oriolebend.ServerServing, Pool: "p", Role: role,
		Held: oriolebend.LoadedModel{Model: "m", Version: version, Adapters: adapters},
	}
}
