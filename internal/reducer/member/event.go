// Package member is the leader's reducer for the membership of backend
// servers and for permits to take one out of work. Leases and permits live in
// the leader's memory: a renewal never reaches the log, only what changes.
package member

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// SessionID names the session that a message came over.
type SessionID string

// Event is something that happened to the leader. At is when, by its clock.
type Event interface{ memberEvent() }

// Led tells that this control VM leads and that View is current.
type Led struct {
	At   time.Time
	View declared.View
}

// Deposed tells that this control VM no longer leads.
type Deposed struct{ At time.Time }

// Committed tells of the declared state and membership after a change.
type Committed struct {
	At   time.Time
	View declared.View
}

// Proposed tells that the last Propose ended. If it was carried out, the
// Committed of its change came before.
type Proposed struct {
	At     time.Time
	Failed bool
}

// Announced is an announcement or renewal of a sidecar.
type Announced struct {
	At       time.Time
	Session  SessionID
	Announce message.Announce
}

// Asked is a sidecar's message about a permit.
type Asked struct {
	At      time.Time
	Session SessionID
	Permit  message.Permit
}

// Ticked passes time; it comes at least every TickEvery.
type Ticked struct{ At time.Time }

func (Led) memberEvent()       {}
func (Deposed) memberEvent()   {}
func (Committed) memberEvent() {}
func (Proposed) memberEvent()  {}
func (Announced) memberEvent() {}
func (Asked) memberEvent()     {}
func (Ticked) memberEvent()    {}

// Effect is something that the leader is to do.
type Effect interface{ memberEffect() }

// Reply sends a message back over a session.
type Reply struct {
	Session SessionID
	Message message.Message
}

// Propose appends a change of the membership to the log; Proposed follows.
type Propose struct{ Members declared.Members }

// Count adds one to the counter of what happened to a server.
type Count struct {
	What   CountName
	Server string
}

// CountName names what is counted.
type CountName string

// What is counted.
const (
	// CountDamped: a change is held back, because the server flaps.
	CountDamped CountName = "damped"
	// CountMassLapse: so many leases lapsed at once that the cause is looked
	// for in the network, and the servers are kept for one more lease.
	CountMassLapse CountName = "massLapse"
	// CountPaused: the leader itself stood still, and leases were extended.
	CountPaused CountName = "paused"
	// CountOutdated: an announcement of an earlier start came late.
	CountOutdated CountName = "outdated"
)

func (Reply) memberEffect()   {}
func (Propose) memberEffect() {}
func (Count) memberEffect()   {}

// Held is a server whose change is held back because it flaps.
type Held struct {
	Server oriolebend.Server
	// For is how long still.
	For time.Duration
}
