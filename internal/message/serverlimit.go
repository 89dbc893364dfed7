package message

import "time"

// Kinds of the messages by which forwarders request permissions to send requests to servers
// that have reported a limit.
const (
	KindLimitAsk    Kind = "limitAsk"
	KindLimitAnswer Kind = "limitAnswer"
)

// LimitStep is the purpose of a LimitAsk.
type LimitStep string

const (
	// LimitAsked requests the permission to send one request.
	LimitAsked LimitStep = "asked"
	// LimitReturned releases a permission that was not used. There is no answer.
	LimitReturned LimitStep = "returned"
	// LimitEnded reports that a response of the server contained no limit. There is no answer.
	LimitEnded LimitStep = "ended"
)

// LimitAsk is sent by a forwarder for a server that has reported a limit; Step is its purpose.
type LimitAsk struct {
	// ID identifies the request in its session.
	ID     uint64      `cbor:"1,keyasint,omitempty"`
	Step   LimitStep   `cbor:"2,keyasint"`
	Server ServerStart `cbor:"3,keyasint"`
	// PerSecond is the limit that the server reported.
	PerSecond float64 `cbor:"4,keyasint,omitempty"`
	// Age is how long ago the server reported the limit, or for LimitEnded how long ago the
	// request was sent whose response contained none.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
}

// LimitAnswer answers a LimitAsk.
type LimitAnswer struct {
	// ID is the ID of the LimitAsk.
	ID uint64 `cbor:"1,keyasint,omitempty"`
	// Counted is set if this control VM counts the permissions; otherwise another one does.
	Counted bool `cbor:"2,keyasint,omitempty"`
	Granted bool `cbor:"3,keyasint,omitempty"`
	// Ended is set if the server is known to have no limit any longer.
	Ended bool `cbor:"4,keyasint,omitempty"`
	// After is the delay after which a forwarder that is refused may ask again.
	After time.Duration `cbor:"5,keyasint,omitempty"`
}

// Kind implements Message.
func (LimitAsk) Kind() Kind { return KindLimitAsk }

// Kind implements Message.
func (LimitAnswer) Kind() Kind { return KindLimitAnswer }

var (
	_ = Register[LimitAsk]()
	_ = Register[LimitAnswer]()
)
