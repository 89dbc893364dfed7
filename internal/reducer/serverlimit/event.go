package serverlimit

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Event changes a State.
type Event interface{ isServerLimitEvent() }

// LeadershipObserved reports whether this control VM leads, and therefore counts.
type LeadershipObserved struct {
	At   time.Time
	Lead bool
	// Term is the term of the leadership.
	Term uint64
	// ClockJumped is set if time may have passed that the clock did not count, for example while
	// the VM was suspended. Another control VM may have led in that time.
	ClockJumped bool
}

// Requested requests the permission to send one request to a server.
type Requested struct {
	At     time.Time
	Server message.ServerStart
	// PerSecond is the limit that the server reported to the forwarder at ReportedAt.
	PerSecond  float64
	ReportedAt time.Time
}

// Returned gives back a permission that was not used.
type Returned struct {
	At     time.Time
	Server message.ServerStart
}

// LimitLifted reports that a server's answer to a request sent at Sent contained no limit.
type LimitLifted struct {
	At     time.Time
	Server message.ServerStart
	Sent   time.Time
}

func (LeadershipObserved) isServerLimitEvent() {}

func (Requested) isServerLimitEvent() {}

func (Returned) isServerLimitEvent() {}

func (LimitLifted) isServerLimitEvent() {}

// Answer answers a Requested event. It is the only effect.
type Answer struct {
	// Counted is set if this control VM counts; otherwise the other fields are not valid.
	Counted bool
	Granted bool
	// Unlimited is set if the server is known to have no limit any longer.
	Unlimited bool
	// RetryAfter is how long a refused forwarder has to wait before it requests again.
	RetryAfter time.Duration
}
