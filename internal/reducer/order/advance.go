package order

import (
	"fmt"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// advance does the next thing that the state allows, and no more: one order
// is in flight at a time, and each waits for what came before it.
func (s *State) advance(at time.Time) []Effect {
	if s.stopping {
		return nil
	}
	if s.inFlight != nil {
		return s.renew(at)
	}
	if s.info == nil {
		return s.learn(at)
	}
	if !s.declared {
		return nil
	}
	if s.target.State != oriolebend.ServerServing {
		return s.leave(at)
	}
	orders := steps(s.target, *s.info)
	if len(orders) == 0 {
		return s.settle(at)
	}
	return s.change(at, orders)
}

// learn asks the engine what it is; it may have been given anything by an
// earlier life of this process.
func (s *State) learn(at time.Time) []Effect {
	effects := s.tell(message.ProgressLearning, "asking the engine what it holds")
	effects = append(effects, s.askEngine(at, s.config.AskEvery)...)
	return append(effects, s.renew(at)...)
}

// askEngine asks the engine, if that is at least a period ago.
func (s *State) askEngine(at time.Time, period time.Duration) []Effect {
	if s.config.Service || !s.askedAt.IsZero() && at.Sub(s.askedAt) < period {
		return nil
	}
	s.askedAt = at
	s.asked++
	return []Effect{AskEngine{Number: s.asked}}
}

// leave takes a server that is declared leaving or stopping out of work, and
// orders nothing.
func (s *State) leave(at time.Time) []Effect {
	effects := s.setState(oriolebend.ServerLeaving)
	effects = append(effects, s.release(at)...)
	if !s.drained {
		return append(effects, s.tell(message.ProgressDraining, "work in progress has to end")...)
	}
	effects = append(effects, s.tell(message.ProgressLeft, "out of work")...)
	if s.target.State == oriolebend.ServerStopping && !s.left {
		s.left = true
		effects = append(effects, Left{})
	}
	return effects
}

// settle puts a server that is as declared to work. While a lost order may
// still act, it stays out: the order would cut work short. An engine that
// checks fencing numbers is no better here, for it has seen no higher one.
func (s *State) settle(at time.Time) []Effect {
	if s.mayAct() {
		return s.quiet(at)
	}
	effects := s.setState(oriolebend.ServerServing)
	effects = append(effects, s.release(at)...)
	effects = append(effects, s.tell(message.ProgressSettled, "")...)
	return append(effects, s.askEngine(at, settledAsks*s.config.AskEvery)...)
}

// settledAsks is how many periods pass between questions to an engine that is
// as declared; they find out that it restarted empty.
const settledAsks = 5

// mayAct reports whether a lost order may have changed, or may yet change,
// what the engine was last known to hold.
func (s *State) mayAct() bool {
	return s.infoAt.Before(s.quietUntil)
}

func (s *State) quiet(at time.Time) []Effect {
	return append(s.tell(message.ProgressQuiet, "an earlier order may still act"), s.askAgain(at)...)
}

// askAgain asks the engine now and then whether a lost order has acted.
func (s *State) askAgain(at time.Time) []Effect {
	return append(s.renew(at), s.askEngine(at, s.config.AskEvery)...)
}

// change brings the engine one step nearer to the target.
func (s *State) change(at time.Time, orders []engine.Order) []Effect {
	if s.info.Fencing > s.fencing {
		detail := fmt.Sprintf("the engine has seen order %d, this sidecar is at revision %d", s.info.Fencing, s.fencing)
		return append(s.tell(message.ProgressOutdated, detail), s.askAgain(at)...)
	}
	if s.mayAct() && !s.config.ChecksFencing {
		return s.quiet(at)
	}
	if at.Before(s.retryAt) {
		return append(s.tell(message.ProgressFailing, s.failure), s.askAgain(at)...)
	}
	out, load := needsOut(orders), needsLoad(orders)
	if !s.permitted(at, out, load) {
		return s.await(at, out, load)
	}
	effects := s.renew(at)
	if out {
		effects = append(effects, s.setState(oriolebend.ServerLoading)...)
		if detail := s.stillIn(); detail != "" {
			return append(effects, s.tell(message.ProgressDraining, detail)...)
		}
	}
	return append(effects, s.issue(orders[0])...)
}

// stillIn says why the server is not out of work yet; empty if it is. The
// declared state must show it as loading first: entries then know, and after
// a crash the next life of this process finds that an order may be in flight.
func (s *State) stillIn() string {
	if !s.drained {
		return "work in progress has to end"
	}
	written := s.self != nil && s.self.Incarnation == s.config.Incarnation
	if !written || s.self.State != oriolebend.ServerLoading {
		return "control has yet to write down that the server is out of work"
	}
	return ""
}

func (s *State) issue(o engine.Order) []Effect {
	o.Fencing = s.fencing
	s.overlaps = s.mayAct()
	s.issuedTo = s.info.Incarnation
	s.inFlight = &o
	s.ordered = true
	s.asked++ // what the engine was asked before no longer counts
	s.unsure = nil
	s.issued = s.state != oriolebend.ServerServing
	s.permit.held = true
	detail := fmt.Sprintf("%s of %s", o.Action, orderObject(o))
	return append(s.tell(message.ProgressOrdering, detail), Issue{Order: o})
}

// setState tells the gate once. A server that is out of work starts over
// with draining when it is to be out for another cause.
func (s *State) setState(state oriolebend.ServerState) []Effect {
	if s.state == state {
		return nil
	}
	if state == oriolebend.ServerServing || s.state == oriolebend.ServerServing {
		s.drained = false
		s.issued = false
	}
	s.state = state
	return []Effect{SetState{State: state}}
}

func (s *State) tell(progress message.Progress, detail string) []Effect {
	report := Report{Progress: progress, Detail: detail}
	if s.report == report {
		return nil
	}
	s.report = report
	return []Effect{report}
}
