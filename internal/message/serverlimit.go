package message

import "time"

// Kinds of the messages by which forwarders ask for permissions to send requests to servers
// that have named a limit.
const (
	KindLimitAsk    Kind = "limitAsk"
	KindLimitAnswer Kind = "limitAnswer"
)

// LimitStep is what a LimitAsk is about.
type LimitStep string

const (
	// LimitAsked asks for the permission to send one request.
	LimitAsked LimitStep = "asked"
	// LimitReturned gives a permission back that was not used. There is no answer.
	LimitReturned LimitStep = "returned"
	// LimitEnded tells that the server named no limit in an answer. There is no answer.
	LimitEnded LimitStep = "ended"
)

// LimitAsk is one step of a forwarder at a server that has named a limit.
type LimitAsk struct {
	// ID names the question in its session.
	ID     uint64      `cbor:"1,keyasint,omitempty"`
	Step   LimitStep   `cbor:"2,keyasint"`
	Server ServerStart `cbor:"3,keyasint"`
	// PerSecond is the limit that the server named.
	PerSecond float64 `cbor:"4,keyasint,omitempty"`
	// Age is how long ago it named it, or for LimitEnded how long ago the request was sent
	// whose answer named none.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
}

// LimitAnswer answers a LimitAsk.
type LimitAnswer struct {
	// ID is that of the question.
	ID uint64 `cbor:"1,keyasint,omitempty"`
	// Counted is set if the control VM counts; otherwise another one does.
	Counted bool `cbor:"2,keyasint,omitempty"`
	Granted bool `cbor:"3,keyasint,omitempty"`
	// Ended is set if the server is known to have no limit any more.
	Ended bool `cbor:"4,keyasint,omitempty"`
	// After is when a forwarder that is refused may ask again.
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
