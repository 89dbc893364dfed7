package order

import (
	"fmt"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// advance takes the next step that the state allows. Only one order is in flight
// at a time, and each step waits for the step before it.
func (s *State) advance(at time.Time) []Effect {
	if s.stopping {
		return nil
	}
	if s.inFlight != nil {
		return s.renewPermit(at)
	}
	if s.info == nil {
		return s.learnEngine(at)
	}
	if !s.hasTarget {
		return nil
	}
	if s.target.State != oriolebend.ServerServing {
		return s.takeOutOfWork(at)
	}
	orders := ordersFor(s.target, *s.info)
	if len(orders) == 0 {
		return s.putToWork(at)
	}
	return s.issueNextOrder(at, orders)
}

// learnEngine queries the state of the engine, which an earlier incarnation of
// this sidecar may have changed.
func (s *State) learnEngine(at time.Time) []Effect {
	effects := s.sendReport(message.ProgressLearning, "asking the engine what it holds")
	effects = append(effects, s.queryEngine(at, s.config.QueryEvery)...)
	return append(effects, s.renewPermit(at)...)
}

// queryEngine queries the engine if the last query was at least a period ago. A
// plain service is not queried.
func (s *State) queryEngine(at time.Time, period time.Duration) []Effect {
	if s.config.Service || !s.queriedAt.IsZero() && at.Sub(s.queriedAt) < period {
		return nil
	}
	s.queriedAt = at
	s.queryNumber++
	return []Effect{QueryEngine{Number: s.queryNumber}}
}

// takeOutOfWork takes a server that is declared leaving or stopping out of work
// and issues no order.
func (s *State) takeOutOfWork(at time.Time) []Effect {
	effects := s.setState(oriolebend.ServerLeaving)
	effects = append(effects, s.releasePermit(at)...)
	if !s.drained {
		return append(effects, s.sendReport(message.ProgressDraining, "work in progress has to end")...)
	}
	effects = append(effects, s.sendReport(message.ProgressLeft, "out of work")...)
	if s.target.State == oriolebend.ServerStopping && !s.leftSent {
		s.leftSent = true
		effects = append(effects, Left{})
	}
	return effects
}

// putToWork puts a server whose engine is in the declared state to work. While a
// lost order may still act, the server stays out of work, because the order
// would abort running work. This holds for an engine that checks fencing numbers
// too, because it has seen no number above that of the lost order.
func (s *State) putToWork(at time.Time) []Effect {
	if s.lostOrderMayAct() {
		return s.waitForLostOrder(at)
	}
	effects := s.setState(oriolebend.ServerServing)
	effects = append(effects, s.releasePermit(at)...)
	effects = append(effects, s.sendReport(message.ProgressSettled, "")...)
	return append(effects, s.queryEngine(at, settledQueryPeriods*s.config.QueryEvery)...)
}

// settledQueryPeriods is the number of periods between queries to an engine that
// is in the declared state. The queries detect an engine that restarted empty.
const settledQueryPeriods = 5

// lostOrderMayAct reports whether a lost order may have changed the engine since
// its last known state, or may still change it.
func (s *State) lostOrderMayAct() bool {
	return s.infoAt.Before(s.mayActUntil)
}

// waitForLostOrder waits until no lost order can act any more.
func (s *State) waitForLostOrder(at time.Time) []Effect {
	return append(s.sendReport(message.ProgressQuiet, "an earlier order may still act"), s.renewAndQuery(at)...)
}

// renewAndQuery renews the permit and queries the engine once a period, such as
// to detect that a lost order has acted.
func (s *State) renewAndQuery(at time.Time) []Effect {
	return append(s.renewPermit(at), s.queryEngine(at, s.config.QueryEvery)...)
}

// issueNextOrder prepares and issues the first of the orders that bring the
// engine to the target.
func (s *State) issueNextOrder(at time.Time, orders []engine.Order) []Effect {
	if s.info.Fencing > s.fencing {
		detail := fmt.Sprintf("the engine has seen order %d, this sidecar is at revision %d", s.info.Fencing, s.fencing)
		return append(s.sendReport(message.ProgressOutdated, detail), s.renewAndQuery(at)...)
	}
	if s.lostOrderMayAct() && !s.config.ChecksFencing {
		return s.waitForLostOrder(at)
	}
	if at.Before(s.retryAt) {
		return append(s.sendReport(message.ProgressFailing, s.failureDetail), s.renewAndQuery(at)...)
	}
	out, load := needsOutOfWork(orders), needsLoad(orders)
	if !s.permitted(at, out, load) {
		return s.awaitPermit(at, out, load)
	}
	effects := s.renewPermit(at)
	if out {
		effects = append(effects, s.setState(oriolebend.ServerLoading)...)
		if detail := s.drainObstacle(); detail != "" {
			return append(effects, s.sendReport(message.ProgressDraining, detail)...)
		}
	}
	return append(effects, s.issue(orders[0])...)
}

// drainObstacle returns why the server is not out of work yet, or an empty
// string if it is. The declared state must first show the server as loading.
// Then entries know it, and after a crash the next incarnation of this sidecar
// knows that an order may be in flight.
func (s *State) drainObstacle() string {
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
	s.overlapsLost = s.lostOrderMayAct()
	s.issuedIncarnation = s.info.Incarnation
	s.inFlight = &o
	s.hasOrdered = true
	s.queryNumber++ // answers to earlier queries are dropped
	s.lostOrder = nil
	s.issuedOutOfWork = s.gateState != oriolebend.ServerServing
	s.permit.used = true
	detail := fmt.Sprintf("%s of %s", o.Action, orderObject(o))
	return append(s.sendReport(message.ProgressOrdering, detail), Issue{Order: o})
}

// setState sends a changed state to the gate. If the state changes to or from
// serving, the server must drain again before an order.
func (s *State) setState(state oriolebend.ServerState) []Effect {
	if s.gateState == state {
		return nil
	}
	if state == oriolebend.ServerServing || s.gateState == oriolebend.ServerServing {
		s.drained = false
		s.issuedOutOfWork = false
	}
	s.gateState = state
	return []Effect{SetState{State: state}}
}

// sendReport reports the progress if it has changed.
func (s *State) sendReport(progress message.Progress, detail string) []Effect {
	report := Report{Progress: progress, Detail: detail}
	if s.report == report {
		return nil
	}
	s.report = report
	return []Effect{report}
}
