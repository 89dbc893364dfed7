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

// sent is an order on its way to the engine.
type sent struct {
	order engine.Order
	at    time.Time // when it acts
	life  uint64
	lost  bool // its end was told as unsure already
}

// world is one engine with its sidecar, a leader that grants permits and a
// gate; what is late or lost is decided by its hooks.
type world struct {
	now      time.Time
	config   Config
	sidecar  *State
	life     uint64
	revision uint64
	target   declared.Target
	self     *oriolebend.Server // as the log has it
	gate     oriolebend.ServerState
	info     engine.Info
	// interrupted is the log's memory of a membership that ended out of work.
	interrupted bool
	way         []sent
	acted       []uint64
	faults      []string
	log         []string
	deny        bool
	known       []EngineKnown // late answers of the engine
	late        func() bool
	busy        bool // the gate has work in progress
	// fate decides when an order acts, and whether its answer is lost.
	fate func(o engine.Order) (delay time.Duration, lost bool)
}

func newWorld(config Config) *world {
	w := &world{
		now: time.Unix(0, 0), config: config, revision: 1,
		target: declared.Target{State: oriolebend.ServerServing},
		info:   engine.Info{Role: oriolebend.Decode, Incarnation: 1},
		fate:   func(engine.Order) (time.Duration, bool) { return time.Second, false },
	}
	w.restart()
	return w
}

// restart ends the sidecar's process at once and starts another. Orders on
// their way stay there.
func (w *world) restart() {
	w.life++
	w.config.Incarnation = w.life
	w.sidecar = New(w.config)
	w.gate = ""
	w.known = nil
	w.reduce(Started{At: w.now})
	w.declare()
}

// lapse ends the membership, as the log then has it.
func (w *world) lapse() {
	if w.self != nil {
		w.interrupted = w.self.State == oriolebend.ServerLoading
		w.self = nil
	}
}

// announced is the leader's answer to the first announcement.
func (w *world) announced() {
	clean := w.self == nil && !w.interrupted
	if w.self != nil && w.self.Incarnation < w.life {
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
		w.carryOut(effect)
	}
}

func (w *world) carryOut(effect Effect) {
	switch e := effect.(type) {
	case SetState:
		w.gate = e.State
	case AskEngine:
		info := w.info
		info.Models = slices.Clone(info.Models)
		known := EngineKnown{At: w.now, Number: e.Number, Info: info}
		if w.late == nil || !w.late() {
			w.reduce(known)
			return
		}
		w.known = append(w.known, known)
	case AskPermit:
		answer := message.Permitted{Granted: !w.deny, LeaseFor: 15 * time.Second, RetryAfter: time.Second}
		if w.deny {
			answer = message.Permitted{Detail: "pool p would keep 1 of 2", RetryAfter: time.Second}
		}
		w.reduce(PermitAnswered{At: w.now, Answer: answer})
	case Issue:
		delay, lost := w.fate(e.Order)
		w.way = append(w.way, sent{order: e.Order, at: w.now.Add(delay), life: w.life, lost: lost})
		if lost {
			w.reduce(Ended{At: w.now, Unsure: true, Reason: oriolebend.ReasonOutcomeLost})
		}
	}
}

// pass lets time go by in ticks, and what is on its way arrive.
func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(TickEvery)
		w.arrive()
		if w.gate != "" && (w.self == nil || w.self.State != w.gate || w.self.Incarnation != w.life) {
			w.self = &oriolebend.Server{State: w.gate, Incarnation: w.life}
			w.interrupted = false
			w.declare()
		}
		if w.gate != oriolebend.ServerServing && !w.busy {
			w.reduce(WorkEnded{At: w.now})
		}
		w.reduce(Ticked{At: w.now})
	}
}

func (w *world) arrive() {
	if len(w.known) > 0 && w.now.Sub(w.known[0].At) > time.Second {
		known := w.known[0]
		w.known = w.known[1:]
		known.At = w.now
		w.reduce(known)
	}
	way := w.way
	w.way = nil
	for i, s := range way {
		if s.at.After(w.now) {
			w.way = append(w.way, way[i])
			continue
		}
		w.act(s.order)
		if s.life == w.life && !s.lost {
			w.reduce(Ended{At: w.now})
		}
	}
}

// act is an engine that takes any order, or one that checks numbers.
func (w *world) act(o engine.Order) {
	if w.config.ChecksFencing && o.Fencing < w.info.Fencing {
		return
	}
	if w.config.ChecksFencing {
		w.info.Fencing = o.Fencing
	}
	if n := len(w.acted); n > 0 && w.acted[n-1] > o.Fencing {
		w.faults = append(w.faults, fmt.Sprintf("order %d after order %d", o.Fencing, w.acted[n-1]))
	}
	w.acted = append(w.acted, o.Fencing)
	if w.gate == oriolebend.ServerServing && o.Action != engine.OrderAdapter {
		w.faults = append(w.faults, fmt.Sprintf("%s while at work", o.Action))
	}
	w.apply(o)
}

func (w *world) apply(o engine.Order) {
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

// want declares another target.
func (w *world) want(t declared.Target) {
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
