package serverlimit

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Event changes a State.
type Event interface{ isServerLimitEvent() }

// LeadershipObserved tells whether this control VM counts.
type LeadershipObserved struct {
	At   time.Time
	Lead bool
	// Term numbers the times that control VMs began to lead.
	Term uint64
	// ClockJumped is set if time may have passed that the clock did not count, as while the VM
	// was suspended: another control VM may have led meanwhile.
	ClockJumped bool
}

// Requested asks for the permission to send one request to a server.
type Requested struct {
	At     time.Time
	Server message.ServerStart
	// PerSecond is the limit that the server named to the forwarder at Named.
	PerSecond float64
	ReportedAt     time.Time
}

// Returned gives back a permission that was not used.
type Returned struct {
	At     time.Time
	Server message.ServerStart
}

// LimitLifted tells that a server's answer to a request that was sent at Sent named no limit.
type LimitLifted struct {
	At     time.Time
	Server message.ServerStart
	Sent   time.Time
}

func (LeadershipObserved) isServerLimitEvent() {}

func (Requested) isServerLimitEvent() {}

func (Returned) isServerLimitEvent() {}

func (LimitLifted) isServerLimitEvent() {}

// Answer answers an Asked. It is the only effect.
type Answer struct {
	// Counted is set if this control VM counts; otherwise the rest tells nothing.
	Counted bool
	Granted bool
	// Unlimited is set if the server is known to have no limit any more.
	Unlimited bool
	// RetryAfter is when a forwarder that is refused may ask again.
	RetryAfter time.Duration
}
