package quarantine

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Event changes a State.
type Event interface{ isQuarantineEvent() }

// Crashed reports that a server's process exited while it began to work on a request.
type Crashed struct {
	At          time.Time
	Fingerprint Fingerprint
	Server      message.ServerStart
	// Opened is when the connection to the server was opened, zero if that is not known. The
	// server was running at that time.
	Opened time.Time
}

// Answered reports that a server has answered a request completely.
type Answered struct {
	At          time.Time
	Fingerprint Fingerprint
}

// ReportsReceived carries the crash reports of another process.
type ReportsReceived struct {
	At      time.Time
	Reports []message.CrashReport
	// Forward is set if reports that are new to this process must be sent on, because their
	// sender has not sent them to every process.
	Forward bool
}

// Ticked reports the current time.
type Ticked struct{ At time.Time }

func (Crashed) isQuarantineEvent() {}

func (Answered) isQuarantineEvent() {}

func (ReportsReceived) isQuarantineEvent() {}

func (Ticked) isQuarantineEvent() {}

// Effect is an action that the caller of Reduce must carry out.
type Effect interface{ isQuarantineEffect() }

// SendReports requests that reports be sent to other processes.
type SendReports struct{ Reports []message.CrashReport }

// Quarantined states that a request must not be sent to servers for some time.
type Quarantined struct {
	Fingerprint Fingerprint
	// Servers are the instances that crashed while they worked on the request.
	Servers []string
	For     time.Duration
}

// Released states that a request may be sent to servers again, because a server has answered
// it.
type Released struct{ Fingerprint Fingerprint }

func (SendReports) isQuarantineEffect() {}

func (Quarantined) isQuarantineEffect() {}

func (Released) isQuarantineEffect() {}
