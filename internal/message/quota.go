package message

import "time"

// Kinds of the messages by which forwarders charge requests to the quotas of organisations.
const (
	KindQuotaAsk    Kind = "quotaAsk"
	KindQuotaAnswer Kind = "quotaAnswer"
)

// QuotaAsk charges the cost of a request to an organisation's quota at a control VM.
type QuotaAsk struct {
	// ID identifies the request in its session.
	ID uint64 `cbor:"6,keyasint,omitempty"`
	// Organisation is empty if the request only asks who holds quota leases.
	Organisation string `cbor:"1,keyasint"`
	// Cost is in the unit of the quota.
	Cost float64 `cbor:"2,keyasint"`
	// Call is the same for all attempts of a caller at one request.
	Call uint64 `cbor:"3,keyasint,omitempty"`
	// Late is set if the caller was refused before and has missed its target.
	Late bool `cbor:"5,keyasint,omitempty"`
	// Return is set if the cost is refunded. There is no answer then.
	Return bool `cbor:"4,keyasint,omitempty"`
	// Rank orders requests that compete; 0 is the most urgent.
	Rank int `cbor:"7,keyasint,omitempty"`
}

// QuotaAnswer answers a QuotaAsk.
type QuotaAnswer struct {
	// ID is the ID of the QuotaAsk.
	ID      uint64 `cbor:"6,keyasint,omitempty"`
	Granted bool   `cbor:"1,keyasint,omitempty"`
	// Known is set if a refusal means that the quota is used up; otherwise another control
	// VM may know better.
	Known bool `cbor:"2,keyasint,omitempty"`
	// RetryAfter is the delay after which a caller that is refused can be served.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	// Left is the remaining quota, and Since is how long the control VM has counted it.
	Left  float64       `cbor:"4,keyasint,omitempty"`
	Since time.Duration `cbor:"5,keyasint,omitempty"`
	// Holder is the address of the control VM that holds the quota lease of the sender; the
	// forwarder asks it next.
	Holder string `cbor:"7,keyasint,omitempty"`
	// Share is the share of each quota that the sender grants, if it is less than the whole; zero
	// otherwise. Another control VM may grant the rest.
	Share float64 `cbor:"8,keyasint,omitempty"`
	// Reserved is what a refused request had to leave to more urgent ranks.
	Reserved float64 `cbor:"10,keyasint,omitempty"`
}

// Kind implements Message.
func (QuotaAsk) Kind() Kind { return KindQuotaAsk }

// Kind implements Message.
func (QuotaAnswer) Kind() Kind { return KindQuotaAnswer }

var (
	_ = Register[QuotaAsk]()
	_ = Register[QuotaAnswer]()
)
