// Package reducer combines the reducers of all parts of the system. Each part is
// a package with its own state, events and effects, which are data. A process
// holds the parts of the roles that it runs, and passes all their events to
// Reduce, one at a time.
package reducer

import (
	"fmt"

	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
	"github.com/oriolebend/oriolebend/internal/reducer/follow"
	"github.com/oriolebend/oriolebend/internal/reducer/gate"
	"github.com/oriolebend/oriolebend/internal/reducer/member"
	"github.com/oriolebend/oriolebend/internal/reducer/order"
	"github.com/oriolebend/oriolebend/internal/reducer/placement"
	"github.com/oriolebend/oriolebend/internal/reducer/pools"
	"github.com/oriolebend/oriolebend/internal/reducer/quarantine"
	"github.com/oriolebend/oriolebend/internal/reducer/quota"
	"github.com/oriolebend/oriolebend/internal/reducer/quotalease"
	"github.com/oriolebend/oriolebend/internal/reducer/recovery"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/internal/reducer/serverlimit"
)

// Event is the Event of one part.
type Event any

// Effect is the Effect of one part.
type Effect any

// State holds the parts that a process runs; the others are nil.
type State struct {
	Agreement   *agreement.State
	Dispatch    *dispatch.State
	Entry       *entry.State
	Follow      *follow.State
	Gate        *gate.State
	Member      *member.State
	Order       *order.State
	Placement   *placement.State
	Pools       *pools.State
	Quarantine  *quarantine.State
	Quota       *quota.State
	QuotaLease  *quotalease.State
	Recovery    *recovery.State
	Registry    *registry.State
	ServerLimit *serverlimit.State
}

// UnknownEventError means that an event belongs to no part. This is a programming
// error, and Reduce panics with it.
type UnknownEventError struct{ Event Event }

// Error implements error.
func (e *UnknownEventError) Error() string {
	return fmt.Sprintf("reducer: event of type %T belongs to no part", e.Event)
}

// Reduce applies an event to the part that it belongs to, and returns the effects
// to carry out, in order. It reads no clock and does no I/O; random numbers come
// from seeds in the state.
func Reduce(s *State, event Event) []Effect {
	switch e := event.(type) {
	case agreement.Event:
		return effects(agreement.Reduce(s.Agreement, e))
	case dispatch.Event:
		return effects(dispatch.Reduce(s.Dispatch, e))
	case entry.Event:
		return effects(entry.Reduce(s.Entry, e))
	case follow.Event:
		return effects(follow.Reduce(s.Follow, e))
	case gate.Event:
		return effects(gate.Reduce(s.Gate, e))
	case member.Event:
		return effects(member.Reduce(s.Member, e))
	case order.Event:
		return effects(order.Reduce(s.Order, e))
	case placement.Event:
		return effects(placement.Reduce(s.Placement, e))
	case pools.Event:
		return effects(pools.Reduce(s.Pools, e))
	case quarantine.Event:
		return effects(quarantine.Reduce(s.Quarantine, e))
	case quota.Event:
		return effects(quota.Reduce(s.Quota, e))
	case quotalease.Event:
		return effects(quotalease.Reduce(s.QuotaLease, e))
	case registry.Event:
		return effects(registry.Reduce(s.Registry, e))
	case serverlimit.Event:
		return effects(serverlimit.Reduce(s.ServerLimit, e))
	case recovery.Event:
		return effects(recovery.Reduce(s.Recovery, e))
	default:
		panic(&UnknownEventError{Event: event})
	}
}

func effects[E any](list []E) []Effect {
	if len(list) == 0 {
		return nil
	}
	all := make([]Effect, len(list))
	for i, e := range list {
		all[i] = e
	}
	return all
}
