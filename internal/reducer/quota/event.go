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

// LeadershipObserved reports which control VM leads, and how many control VMs there are.
type LeadershipObserved struct {
	At time.Time
	// Lead is set if this control VM leads. Leader names the leading control VM, empty if
	// none is known.
	Lead    bool
	Leader  string
	Members int
	Leases  Leases
}

// Leases reports the quota leases as this control VM knows them.
type Leases struct {
	// Enabled is false if quotas are granted by the leader only.
	Enabled bool
	// Share is the share of each quota that this control VM may grant, as leader or under leases.
	Share float64
	// Lent is set while this control VM has leased to another one.
	Lent bool
}

// Requested requests units of an organisation's quota.
type Requested struct {
	At           time.Time
	Organisation string
	Cost         float64
	// Call is the same for all of a caller's attempts at one request.
	Call uint64
	// Late is set if the caller was refused before and has missed its target.
	Late bool
	// Rank orders an organisation's requests beyond its quota; 0 is the most urgent.
	Rank int
}

// Returned gives back the units taken for a request that did not run.
type Returned struct {
	At           time.Time
	Organisation string
	Cost         float64
}

// ClockJumped reports that time may have passed that the clock did not count, for example
// while the VM was suspended. Another control VM may have led in that time.
type ClockJumped struct{ At time.Time }

func (Declared) isQuotaEvent() {}

func (LeadershipObserved) isQuotaEvent() {}

func (Requested) isQuotaEvent() {}

func (Returned) isQuotaEvent() {}

func (ClockJumped) isQuotaEvent() {}

// Answer answers a Requested event. It is the only effect.
type Answer struct {
	// Granted is set if the cost was taken.
	Granted bool
	// Exhausted is set if the request was refused because the quota is used up. If neither
	// Granted nor Exhausted is set, another control VM may be able to answer.
	Exhausted bool
	// RetryAfter is how long a refused caller has to wait until its request can be served.
	RetryAfter time.Duration
	// Reserved is the number of units that a refused request had to leave to more urgent
	// ones.
	Reserved float64
	// Left is the number of units available, and Since for how long this control VM has
	// counted the organisation.
	Left  float64
	Since time.Duration
}
