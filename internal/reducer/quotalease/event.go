package quotalease

import "time"

// Event changes a State.
type Event interface{ isQuotaLeaseEvent() }

// Observed reports what this member knows of the group.
type Observed struct {
	At time.Time
	// Leader names the leader, empty if none is known. It is this member only while its
	// leadership has not expired.
	Leader string
	// Lost is when this member ceased to lead or last received a message of a leader. It is used while
	// Leader is empty.
	Lost time.Time
	// Members names the voting members; it is empty if they are not known.
	Members []string
}

// Due is the regular moment at which requests are sent. Its effects are of type Ask.
type Due struct{ At time.Time }

// Asked is the request of another member. Its effect is an Answer.
type Asked struct {
	At   time.Time
	From string
	Ask  Ask
}

// Answered is the answer of another member to an Ask.
type Answered struct {
	At     time.Time
	From   string
	Answer Answer
}

// ClockJumped reports that time may have passed that the clock did not count.
type ClockJumped struct{ At time.Time }

func (Observed) isQuotaLeaseEvent() {}

func (Due) isQuotaLeaseEvent() {}

func (Asked) isQuotaLeaseEvent() {}

func (Answered) isQuotaLeaseEvent() {}

func (ClockJumped) isQuotaLeaseEvent() {}

// Effect is a message to another member.
type Effect interface{ isQuotaLeaseEffect() }

// Ask requests the lease of a member, or asks as the new leader which lease is in force.
type Ask struct {
	To     string
	Number uint64
	// Leads is set if the sender leads. The receiver then ends its leases.
	Leads bool
	// Members is the number of members known to the sender.
	Members int
}

// Answer answers an Ask.
type Answer struct {
	Number  uint64
	Granted bool
	// LeasedTo names the candidate that holds the lease of the sender, empty if there is none.
	LeasedTo string
	Members  int
}

func (Ask) isQuotaLeaseEffect() {}

func (Answer) isQuotaLeaseEffect() {}
