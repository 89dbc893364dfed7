package message

// Kinds of the messages by which control VMs without a leader lease the right to grant quotas.
const (
	KindQuotaLease       Kind = "quotaLease"
	KindQuotaLeaseAnswer Kind = "quotaLeaseAnswer"
)

// QuotaLease requests the lease of a control VM, or asks as the new leader which lease is in force.
type QuotaLease struct {
	// ID identifies the request in its session.
	ID uint64 `cbor:"1,keyasint"`
	// Candidate names the control VM that sends the request.
	Candidate string `cbor:"2,keyasint"`
	// Leads is set if the sender leads. The receiver then ends the leases that it holds.
	Leads bool `cbor:"3,keyasint,omitempty"`
	// Members is the number of voting members known to the sender.
	Members int `cbor:"4,keyasint"`
}

// QuotaLeaseAnswer answers a QuotaLease.
type QuotaLeaseAnswer struct {
	ID      uint64 `cbor:"1,keyasint"`
	Granted bool   `cbor:"2,keyasint,omitempty"`
	// LeasedTo names the candidate that holds the lease of the sender, empty if there is none.
	LeasedTo string `cbor:"3,keyasint,omitempty"`
	// Members is the number of voting members known to the sender.
	Members int `cbor:"4,keyasint"`
}

// Kind implements Message.
func (QuotaLease) Kind() Kind { return KindQuotaLease }

// Kind implements Message.
func (QuotaLeaseAnswer) Kind() Kind { return KindQuotaLeaseAnswer }

var (
	_ = Register[QuotaLease]()
	_ = Register[QuotaLeaseAnswer]()
)
