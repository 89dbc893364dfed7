// Package member implements the reducer of the leading control VM for the
// membership of backend servers, and for permits that allow a server to be out of
// work or to load weights. Leases and permits are held in the leader's memory: only
// changes of the membership are written to the log, never renewals.
package member

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// SessionID identifies the session on which a message was received.
type SessionID string

// Event is an input of Reduce. At is the time of the event by the clock of the leader.
type Event interface{ memberEvent() }

// LeadershipGained reports that this control VM has become the leader and that View is current.
type LeadershipGained struct {
	At   time.Time
	View declared.View
}

// Deposed reports that this control VM is no longer the leader.
type Deposed struct{ At time.Time }

// Committed reports the declared state and membership after a change.
type Committed struct {
	At   time.Time
	View declared.View
}

// Proposed reports that the last Propose has finished. If it succeeded, the Committed of its
// change comes before.
type Proposed struct {
	At     time.Time
	Failed bool
}

// Announced is an announcement from a sidecar, which is also a renewal of its lease.
type Announced struct {
	At       time.Time
	Session  SessionID
	Announce message.Announce
}

// PermitRequested is a message of a sidecar about a permit: it requests, renews or releases one.
type PermitRequested struct {
	At      time.Time
	Session SessionID
	Permit  message.Permit
}

// Ticked reports that time has passed. It comes at least every TickEvery.
type Ticked struct{ At time.Time }

func (LeadershipGained) memberEvent() {}
func (Deposed) memberEvent()          {}
func (Committed) memberEvent()        {}
func (Proposed) memberEvent()         {}
func (Announced) memberEvent()        {}
func (PermitRequested) memberEvent()  {}
func (Ticked) memberEvent()           {}

// Effect is an action for the leader to carry out.
type Effect interface{ memberEffect() }

// Reply sends a message back on a session.
type Reply struct {
	Session SessionID
	Message message.Message
}

// Propose appends a change of the membership to the log; Proposed follows.
type Propose struct{ Members declared.Members }

// Count adds one to the counter of an occurrence. Server is the server concerned, if it is a
// single one.
type Count struct {
	Name   CountName
	Server string
}

// CountName is the name of a counted occurrence.
type CountName string

// Counted occurrences.
const (
	// CountDamped: a change of a server is delayed because the server flaps.
	CountDamped CountName = "damped"
	// CountMassExpiry: so many leases expired at once that the network is the likely cause; the
	// servers get one more lease.
	CountMassExpiry CountName = "massLapse"
	// CountPaused: the process of the leader was paused, and leases were extended.
	CountPaused CountName = "paused"
	// CountOutdated: an announcement of an earlier incarnation arrived late.
	CountOutdated CountName = "outdated"
)

func (Reply) memberEffect()   {}
func (Propose) memberEffect() {}
func (Count) memberEffect()   {}

// DampedServer is a server whose change is delayed because the server flaps.
type DampedServer struct {
	Server oriolebend.Server
	// For is the remaining delay.
	For time.Duration
}
