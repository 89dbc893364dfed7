// Package follow is the reducer of a process that follows the declared state:
// an entry or a sidecar. It never goes back to an older revision, and keeps
// serving with what it has while the control VMs are away.
package follow

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Link numbers one watch of one control VM; it is never used again.
type Link uint64

// Event is something that happened to the follower. At is when, by its clock.
type Event interface{ followEvent() }

// Started begins to follow.
type Started struct{ At time.Time }

// Received is a message that came over a watch.
type Received struct {
	At     time.Time
	Link   Link
	Update message.Update
}

// Lost tells that a watch could not be opened, or ended.
type Lost struct {
	At   time.Time
	Link Link
}

// Ticked passes time; it comes at least every TickEvery.
type Ticked struct{ At time.Time }

func (Started) followEvent()  {}
func (Received) followEvent() {}
func (Lost) followEvent()     {}
func (Ticked) followEvent()   {}

// Effect is something that the follower is to do.
type Effect interface{ followEffect() }

// Open opens a watch at a control VM; Received or Lost follow.
type Open struct {
	Link    Link
	Control string
	Address string
	Watch   message.Watch
}

// Close ends a watch; nothing need follow.
type Close struct{ Link Link }

// Send sends a message over a watch.
type Send struct {
	Link    Link
	Message message.Message
}

// Changed tells the rest of the process what is declared from now on.
type Changed struct {
	Revision uint64
	// Whole is true if Servers and Resources are all there is.
	Whole     bool
	Servers   []oriolebend.Server
	Resources []oriolebend.Resource
}

// Count adds one to the counter of what happened.
type Count struct {
	What    CountName
	Control string
}

// CountName names what is counted.
type CountName string

// What is counted.
const (
	// CountGap: an update was missed; the tail is asked for again.
	CountGap CountName = "gap"
	// CountOlder: a control VM offered a state older than the one in force.
	CountOlder CountName = "older"
	// CountUnconfirmed: a control VM could not confirm its state to a process
	// that has none yet.
	CountUnconfirmed CountName = "unconfirmed"
	// CountStale: a control VM went without a quorum's word for too long.
	CountStale CountName = "stale"
	// CountLost: a watch ended or could not be opened.
	CountLost CountName = "lost"
	// CountMalformed: an update held a resource that can't be read.
	CountMalformed CountName = "malformed"
	// CountReturned: the follower went back to its preferred control VM.
	CountReturned CountName = "returned"
)

func (Open) followEffect()    {}
func (Close) followEffect()   {}
func (Send) followEffect()    {}
func (Changed) followEffect() {}
func (Count) followEffect()   {}
