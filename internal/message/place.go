package message

import (
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Kinds of the messages by which forwarders request placements on model engines from
// the leading control VM.
const (
	KindPlaceOpen   Kind = "placeOpen"
	KindPlaceEvent  Kind = "placeEvent"
	KindPlaceAnswer Kind = "placeAnswer"
)

// PlaceOpen begins a session of a forwarder with the control VM that allocates
// placements. It lists the placements that the forwarder already uses, since the
// control VM may have just become the leader.
type PlaceOpen struct {
	Node string `cbor:"node"`
	// FailureDomain is the failure domain of the forwarder.
	FailureDomain string             `cbor:"failureDomain,omitempty"`
	Held          []PlacementRequest `cbor:"held,omitempty"`
	// Speeds is how fast engines wrote for this forwarder recently.
	Speeds []EngineSpeed `cbor:"speeds,omitempty"`
}

// EngineSpeed is what a forwarder has seen of the speed of an engine.
type EngineSpeed struct {
	Instance    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	// Streams counts the streams, and Event is the mean time for one of their events.
	Streams int           `cbor:"3,keyasint"`
	Event   time.Duration `cbor:"4,keyasint"`
}

// PlacementRequest requests a placement for one request. As part of a PlaceOpen, Server
// and Prefill name the engines that the request already uses.
type PlacementRequest struct {
	ID      uint64 `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Prompt  int    `cbor:"3,keyasint"`
	Output  int    `cbor:"4,keyasint"`
	// Rank orders requests that compete; 0 goes first.
	Rank int `cbor:"5,keyasint,omitempty"`
	// RouteRank orders requests of one Rank.
	RouteRank int `cbor:"18,keyasint,omitempty"`
	// InTime is how much longer the request can wait and still meet its target,
	// Within is how long it may wait at most.
	InTime time.Duration `cbor:"6,keyasint,omitempty"`
	Within time.Duration `cbor:"7,keyasint,omitempty"`
	// FirstWithin and PauseWithin are the targets for the time to the first event and
	// for the pause between two events.
	FirstWithin time.Duration `cbor:"15,keyasint,omitempty"`
	PauseWithin time.Duration `cbor:"16,keyasint,omitempty"`
	// Tried are instances that must not be chosen.
	Tried []string `cbor:"8,keyasint,omitempty"`
	// Excluded are further instances that must be chosen neither for the request nor
	// for its prefill.
	Excluded []string `cbor:"17,keyasint,omitempty"`
	// Origin is the origin of the stream that the server must continue, nil if it may be any.
	// Earlier releases of a control VM ignore it.
	Origin *StreamOrigin `cbor:"19,keyasint,omitempty"`
	// Call is the same for all attempts of a caller at one request.
	Call uint64 `cbor:"11,keyasint,omitempty"`
	// Server and Prefill are the placement of a request that has one, and Age is how
	// long it has had it.
	Age     time.Duration `cbor:"12,keyasint,omitempty"`
	Server  string        `cbor:"9,keyasint,omitempty"`
	Prefill string        `cbor:"10,keyasint,omitempty"`
	// ServerStart and PrefillStart are the incarnations of Server and Prefill.
	ServerStart  uint64 `cbor:"13,keyasint,omitempty"`
	PrefillStart uint64 `cbor:"14,keyasint,omitempty"`
}

// PlaceStep is a step of a placement request or of the placement that it received.
type PlaceStep string

const (
	// PlaceAsked requests a placement.
	PlaceAsked PlaceStep = "asked"
	// PlaceWithdrawn cancels a placement request.
	PlaceWithdrawn PlaceStep = "withdrawn"
	// PlaceRead reports that the prefill engine has finished, or was not used.
	PlaceRead PlaceStep = "read"
	// PlaceEnded releases the placement.
	PlaceEnded PlaceStep = "ended"
	// PlaceProbed checks that the control VM is alive: it answers with a PlaceAnswer
	// without an ID.
	PlaceProbed PlaceStep = "probed"
)

// PlaceEvent reports one step of one placement request.
type PlaceEvent struct {
	ID      uint64            `cbor:"1,keyasint"`
	Step    PlaceStep         `cbor:"2,keyasint"`
	Request *PlacementRequest `cbor:"3,keyasint,omitempty"`
	// Took is the duration of the prefill, or the time to the first part of the answer.
	Took time.Duration `cbor:"4,keyasint,omitempty"`
	// Outcome is how a placement that ended was used.
	Outcome string `cbor:"5,keyasint,omitempty"`
	// Failed and Unused are set with PlaceRead: the prefill failed, or its engine was
	// not used.
	Failed bool `cbor:"6,keyasint,omitempty"`
	Unused bool `cbor:"7,keyasint,omitempty"`
	// Writing is the time from the first to the last event of a stream whose placement ended, and
	// Events the number of its events.
	Writing time.Duration `cbor:"8,keyasint,omitempty"`
	Events  int           `cbor:"9,keyasint,omitempty"`
	// Remaining is, with PlaceAsked, for how long the caller still waits for the end of the response;
	// zero if that is unknown, or if a part of the response was delivered.
	Remaining time.Duration `cbor:"10,keyasint,omitempty"`
}

// PlaceAnswer answers a placement request with a placement or a refusal.
type PlaceAnswer struct {
	ID      uint64         `cbor:"1,keyasint"`
	Server  *BackendServer `cbor:"2,keyasint,omitempty"`
	Prefill *BackendServer `cbor:"3,keyasint,omitempty"`
	// Ahead is the number of prompt tokens that Prefill processes before this request's.
	Ahead int `cbor:"6,keyasint,omitempty"`
	// Reason is set if no placement was granted.
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
