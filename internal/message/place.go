package message

import (
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Kinds of the messages by which forwarders ask the leading control VM for
// places at model engines.
const (
	KindPlaceOpen   Kind = "placeOpen"
	KindPlaceEvent  Kind = "placeEvent"
	KindPlaceAnswer Kind = "placeAnswer"
)

// PlaceOpen begins a session of a forwarder with the control VM that gives
// places. It tells the places that the forwarder uses already: the control VM may
// have become the leader a moment ago.
type PlaceOpen struct {
	Node string `cbor:"node"`
	// FailureDomain is where the forwarder stands.
	FailureDomain string          `cbor:"failureDomain,omitempty"`
	Held          []PlaceQuestion `cbor:"held,omitempty"`
}

// PlaceQuestion is what a request asks of an engine. As part of a PlaceOpen,
// Server and Prefill name the engines that the request has.
type PlaceQuestion struct {
	ID      uint64 `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Prompt  int    `cbor:"3,keyasint"`
	Output  int    `cbor:"4,keyasint"`
	// Rank orders requests that compete; 0 goes first.
	Rank int `cbor:"5,keyasint,omitempty"`
	// InTime is how much longer the request can wait and still meet its target,
	// Within how long it may wait at all.
	InTime time.Duration `cbor:"6,keyasint,omitempty"`
	Within time.Duration `cbor:"7,keyasint,omitempty"`
	// FirstWithin and PauseWithin are the targets for the first event and for the
	// pause between two.
	FirstWithin time.Duration `cbor:"15,keyasint,omitempty"`
	PauseWithin time.Duration `cbor:"16,keyasint,omitempty"`
	// Tried are instances that are not to be chosen.
	Tried []string `cbor:"8,keyasint,omitempty"`
	// Excluded are further instances that are not to be chosen, nor to read the prompt.
	Excluded []string `cbor:"17,keyasint,omitempty"`
	// Call is the same for all tries of a caller at one request.
	Call uint64 `cbor:"11,keyasint,omitempty"`
	// Server and Prefill are the place of a question that has one, Age how long it
	// has had it.
	Age     time.Duration `cbor:"12,keyasint,omitempty"`
	Server  string        `cbor:"9,keyasint,omitempty"`
	Prefill string        `cbor:"10,keyasint,omitempty"`
	// ServerStart and PrefillStart are the incarnations of the two.
	ServerStart  uint64 `cbor:"13,keyasint,omitempty"`
	PrefillStart uint64 `cbor:"14,keyasint,omitempty"`
}

// PlaceStep is what happened to a question or to the place that it got.
type PlaceStep string

const (
	// PlaceAsked asks for a place.
	PlaceAsked PlaceStep = "asked"
	// PlaceWithdrawn takes a question back.
	PlaceWithdrawn PlaceStep = "withdrawn"
	// PlaceRead tells that the prefill engine is done, or was not used.
	PlaceRead PlaceStep = "read"
	// PlaceEnded gives the place back.
	PlaceEnded PlaceStep = "ended"
	// PlaceProbed asks for a sign of life: a PlaceAnswer without an ID.
	PlaceProbed PlaceStep = "probed"
)

// PlaceEvent tells one step of one question.
type PlaceEvent struct {
	ID       uint64         `cbor:"1,keyasint"`
	Step     PlaceStep      `cbor:"2,keyasint"`
	Question *PlaceQuestion `cbor:"3,keyasint,omitempty"`
	// Took is the time of the prefill, or to the first part of the answer.
	Took time.Duration `cbor:"4,keyasint,omitempty"`
	// Outcome is how an ended place was used.
	Outcome string `cbor:"5,keyasint,omitempty"`
	// Failed and Unused qualify PlaceRead.
	Failed bool `cbor:"6,keyasint,omitempty"`
	Unused bool `cbor:"7,keyasint,omitempty"`
}

// PlaceAnswer answers a question with a place or a refusal.
type PlaceAnswer struct {
	ID      uint64         `cbor:"1,keyasint"`
	Server  *BackendServer `cbor:"2,keyasint,omitempty"`
	Prefill *BackendServer `cbor:"3,keyasint,omitempty"`
	// Ahead is the prompt tokens that Prefill has to read before this request's.
	Ahead int `cbor:"6,keyasint,omitempty"`
	// Reason is set if there is no place.
	Reason     oriolebend.Reason `cbor:"4,keyasint,omitempty"`
	RetryAfter time.Duration     `cbor:"5,keyasint,omitempty"`
}

// Kind implements Message.
func (PlaceOpen) Kind() Kind { return KindPlaceOpen }

// Kind implements Message.
func (PlaceEvent) Kind() Kind { return KindPlaceEvent }

// Kind implements Message.
func (PlaceAnswer) Kind() Kind { return KindPlaceAnswer }

var (
	_ = Register[PlaceOpen]()
	_ = Register[PlaceEvent]()
	_ = Register[PlaceAnswer]()
)
