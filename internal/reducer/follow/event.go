// Package follow is the reducer of a process that follows the declared state: an
// entry or a sidecar. A follower never returns to an older revision, and keeps
// serving with its current state while the control VMs are unreachable.
package follow

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Link identifies one watch of one control VM. Links are not reused.
type Link uint64

// Event is an input of Reduce. At is the time of the event by the follower's clock.
type Event interface{ followEvent() }

// Started reports that the process has started; the follower opens its first watch.
type Started struct{ At time.Time }

// Received is an update received over a watch.
type Received struct {
	At     time.Time
	Link   Link
	Update message.Update
}

// Lost reports that a watch could not be opened, or has ended.
type Lost struct {
	At   time.Time
	Link Link
}

// Ticked reports the current time; it must be passed at least every TickEvery.
type Ticked struct{ At time.Time }

func (Started) followEvent()  {}
func (Received) followEvent() {}
func (Lost) followEvent()     {}
func (Ticked) followEvent()   {}

// Effect is an action that the caller of Reduce must carry out.
type Effect interface{ followEffect() }

// Open opens a watch at a control VM; Received or Lost events follow.
type Open struct {
	Link    Link
	Control string
	Address string
	Watch   message.Watch
}

// Close closes a watch; no event needs to follow.
type Close struct{ Link Link }

// Send sends a message over a watch.
type Send struct {
	Link    Link
	Message message.Message
}

// Changed reports the declared state from now on to the rest of the process.
type Changed struct {
	Revision uint64
	// Complete is true if Servers and Resources are the complete state, false if they
	// are only its changes.
	Complete  bool
	Servers   []oriolebend.Server
	Resources []oriolebend.Resource
}

// Count increments a counter.
type Count struct {
	What    CountName
	Control string
}

// CountName names a counter.
type CountName string

// Counters of a follower.
const (
	// CountGap counts missed updates; the follower requests them with a new watch.
	CountGap CountName = "gap"
	// CountOlder counts updates that are older than the state in force.
	CountOlder CountName = "older"
	// CountUnconfirmed counts updates that a control VM could not confirm for a
	// process that has no state yet.
	CountUnconfirmed CountName = "unconfirmed"
	// CountStale counts control VMs that were left because they were not confirmed
	// by a quorum for too long.
	CountStale CountName = "stale"
	// CountLost counts watches that ended or could not be opened.
	CountLost CountName = "lost"
	// CountMalformed counts updates with a resource that can't be decoded.
	CountMalformed CountName = "malformed"
	// CountReturned counts returns to the preferred control VM.
	CountReturned CountName = "returned"
)

func (Open) followEffect()    {}
func (Close) followEffect()   {}
func (Send) followEffect()    {}
func (Changed) followEffect() {}
func (Count) followEffect()   {}
