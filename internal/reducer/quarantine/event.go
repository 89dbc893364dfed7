package quarantine

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Event changes a State.
type Event interface{ isQuarantineEvent() }

// Crashed tells that a server has ended while it began to work on a request.
type Crashed struct {
	At          time.Time
	Fingerprint Fingerprint
	Server      message.ServerStart
	// Opened is when the connection to the server was opened, zero if that is not known: the
	// server ran then.
	Opened time.Time
}

// Answered tells that a server has answered a request to its end.
type Answered struct {
	At          time.Time
	Fingerprint Fingerprint
}

// ReportsReceived tells what another process knows.
type ReportsReceived struct {
	At      time.Time
	Reports []message.CrashReport
	// Forward is set if what is new here is to be told on: who told it has not told
	// everybody.
	Forward bool
}

// Ticked passes time.
type Ticked struct{ At time.Time }

func (Crashed) isQuarantineEvent() {}

func (Answered) isQuarantineEvent() {}

func (ReportsReceived) isQuarantineEvent() {}

func (Ticked) isQuarantineEvent() {}

// Effect is what the caller of Reduce has to do.
type Effect interface{ isQuarantineEffect() }

// SendReports asks to tell other processes.
type SendReports struct{ Reports []message.CrashReport }

// Quarantined says that a request is not sent to servers any more.
type Quarantined struct {
	Fingerprint Fingerprint
	// Servers are the instances that ended under it.
	Servers []string
	For     time.Duration
}

// Released says that a request is sent to servers again, as one has answered it.
type Released struct{ Fingerprint Fingerprint }

func (SendReports) isQuarantineEffect() {}

func (Quarantined) isQuarantineEffect() {}

func (Released) isQuarantineEffect() {}
