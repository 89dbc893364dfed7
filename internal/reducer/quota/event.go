package quota

import (
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Event changes a State.
type Event interface{ isQuotaEvent() }

// Declared replaces the organisations and their quotas.
type Declared struct {
	At            time.Time
	Organisations []oriolebend.Organisation
}

// LeadershipObserved tells who leads, and how many control VMs there are.
type LeadershipObserved struct {
	At time.Time
	// Lead is set if this control VM leads. Leader names the one that does, empty if none
	// is known.
	Lead    bool
	Leader  string
	Members int
}

// Requested asks for a part of an organisation's quota.
type Requested struct {
	At           time.Time
	Organisation string
	Cost         float64
	// Call is the same for all tries of a caller at one request.
	Call uint64
	// Late is set if the caller was refused before, and has missed its target.
	Late bool
}

// Returned gives back what was taken for a request that did not run.
type Returned struct {
	At           time.Time
	Organisation string
	Cost         float64
}

// ClockJumped tells that time may have passed that the clock did not count, as while the VM
// was suspended: another control VM may have led meanwhile.
type ClockJumped struct{ At time.Time }

func (Declared) isQuotaEvent() {}

func (LeadershipObserved) isQuotaEvent() {}

func (Requested) isQuotaEvent() {}

func (Returned) isQuotaEvent() {}

func (ClockJumped) isQuotaEvent() {}

// Answer answers an Asked. It is the only effect.
type Answer struct {
	// Granted is set if the cost was taken.
	Granted bool
	// Exhausted is set if a refusal means that the quota is used up. Otherwise another control
	// VM may know better.
	Exhausted bool
	// RetryAfter is when a caller that is refused can be served.
	RetryAfter time.Duration
	// Left is what could be taken, and Since for how long this control VM has counted.
	Left  float64
	Since time.Duration
}
