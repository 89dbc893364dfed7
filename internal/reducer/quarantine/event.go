package quarantine

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Suspects are what may be the cause if a server crashes under a request: the request itself, and
// the parts of its prompt that other requests share.
type Suspects struct {
	Request Fingerprint
	Parts   []Fingerprint
}

// Has reports whether a fingerprint is among the suspects.
func (s Suspects) Has(fingerprint Fingerprint) bool {
	if s.Request == fingerprint {
		return true
	}
	for _, part := range s.Parts {
		if part == fingerprint {
			return true
		}
	}
	return false
}

// each calls visit for each suspect.
func (s Suspects) each(visit func(Fingerprint, Kind)) {
	visit(s.Request, KindRequest)
	for _, part := range s.Parts {
		visit(part, KindPart)
	}
}

// Event changes a State.
type Event interface{ isQuarantineEvent() }

// Crashed reports that a server's process exited while it began to work on a request.
type Crashed struct {
	At       time.Time
	Suspects Suspects
	Server   message.ServerStart
	// Opened is when the connection to the server was opened, zero if that is not known. The
	// server was running at that time.
	Opened time.Time
}

// DomainServed reports that another server of the same service and failure domain has answered since a
// crash of a server.
type DomainServed struct {
	At      time.Time
	Server  message.ServerStart
	Crashed time.Time
}

// Answered reports that a server has answered a request, and that its answer began at a time. It
// is complete, or has lasted for so long that its beginning can't crash the server any more.
type Answered struct {
	At       time.Time
	Suspects Suspects
}

// ReportsReceived carries the crash reports of another process.
type ReportsReceived struct {
	At      time.Time
	Reports []message.CrashReport
	// Forward is set if reports that are new to this process must be sent on, because their
	// sender has not sent them to every process.
	Forward bool
}

// RefutationDue requests that an answer that only this process knows be sent to others.
type RefutationDue struct {
	At          time.Time
	Fingerprint Fingerprint
}

// ReleaseRequested requests that a request or a part be sent to servers again, as if a server had
// just answered it.
type ReleaseRequested struct {
	At          time.Time
	Fingerprint Fingerprint
}

// Ticked reports the current time.
type Ticked struct{ At time.Time }

func (Crashed) isQuarantineEvent() {}

func (DomainServed) isQuarantineEvent() {}

func (Answered) isQuarantineEvent() {}

func (ReportsReceived) isQuarantineEvent() {}

func (RefutationDue) isQuarantineEvent() {}

func (ReleaseRequested) isQuarantineEvent() {}

func (Ticked) isQuarantineEvent() {}

// Effect is an action that the caller of Reduce must carry out.
type Effect interface{ isQuarantineEffect() }

// SendReports requests that reports be sent to other processes.
type SendReports struct{ Reports []message.CrashReport }

// ScheduleRefutation requests a RefutationDue after a random delay: many processes know an answer
// to a popular part, and one of them suffices to send it.
type ScheduleRefutation struct{ Fingerprint Fingerprint }

// Quarantined states that a request, or requests with a part, must not be sent to servers for some
// time.
type Quarantined struct {
	Fingerprint Fingerprint
	Kind        Kind
	// Together are the parts that were at the same crashes, among them Fingerprint. Requests with
	// all of them are quarantined.
	Together []Fingerprint
	// Servers are the instances that crashed while they worked on the request.
	Servers []string
	For     time.Duration
}

// Released states that a request, or requests with a part, may be sent to servers again.
type Released struct {
	Fingerprint Fingerprint
	Kind        Kind
	Reason      ReleaseReason
}

// ReleaseReason is why something is not quarantined any more.
type ReleaseReason string

// Reasons of a release.
const (
	// ReleaseAnswered: a server has answered it after the crashes.
	ReleaseAnswered ReleaseReason = "answered"
	// ReleaseExplained: another suspect was at the same crashes and at more of them.
	ReleaseExplained ReleaseReason = "explained"
)

func (SendReports) isQuarantineEffect() {}

func (ScheduleRefutation) isQuarantineEffect() {}

func (Quarantined) isQuarantineEffect() {}

func (Released) isQuarantineEffect() {}
