package message

import (
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Kinds of the messages by which control VMs send the routing and the backend servers to
// forwarders, and by which a control VM joins the others.
const (
	KindRouteWatch        Kind = "routeWatch"
	KindRouteUpdate       Kind = "routeUpdate"
	KindRouteAcknowledged Kind = "routeHeard"
	KindJoin              Kind = "join"
	KindJoined            Kind = "joined"
)

// ServerPhase is how far a backend server has progressed towards its shutdown.
type ServerPhase string

const (
	// PhaseReady means that the server accepts new work.
	PhaseReady ServerPhase = "ready"
	// PhaseDraining means that the server finishes its work and accepts no new work.
	PhaseDraining ServerPhase = "draining"
	// PhaseGone means that the server has announced that it leaves permanently.
	PhaseGone ServerPhase = "gone"
)

// rank orders phases; a server never goes back to an earlier one.
func (p ServerPhase) rank() int {
	switch p {
	case PhaseDraining:
		return 1
	case PhaseGone:
		return 2
	default:
		return 0
	}
}

// After reports whether the phase is later than another.
func (p ServerPhase) After(other ServerPhase) bool { return p.rank() > other.rank() }

// BackendServer is the state that one backend server announced.
type BackendServer struct {
	// Instance names the server. A server that restarts may keep its name.
	Instance      string `cbor:"1,keyasint"`
	Service       string `cbor:"2,keyasint"`
	Address       string `cbor:"3,keyasint"`
	FailureDomain string `cbor:"4,keyasint"`
	Slots         int    `cbor:"5,keyasint,omitempty"`
	// Role is empty for plain services.
	Role  oriolebend.PoolRole `cbor:"6,keyasint,omitempty"`
	Phase ServerPhase         `cbor:"7,keyasint"`
	// Sequence grows with each announcement of one incarnation of an instance.
	Sequence uint64 `cbor:"8,keyasint"`
	// SlowFor is how much longer the server is slow after its start.
	SlowFor time.Duration `cbor:"9,keyasint,omitempty"`
	// Silent is set if no announcement of the server was received for a while.
	Silent bool `cbor:"10,keyasint,omitempty"`
	// Changing is set from the order to change the server's role until the server is
	// available again.
	Changing bool `cbor:"11,keyasint,omitempty"`
	// Incarnation is when this incarnation of the instance started, in milliseconds
	// since 1970 by the server's own clock: of two incarnations the later one has the
	// higher number. It is zero if the server does not report it.
	Incarnation uint64 `cbor:"12,keyasint,omitempty"`
	// Unconfirmed is set if the control VM restored the server from its data folder, and has
	// received no announcement of it since. A server that is both unconfirmed and silent is no
	// longer reported by that control VM.
	Unconfirmed bool `cbor:"13,keyasint,omitempty"`
	// SoftwareVersion is the version of the server's software, which is the same for a whole
	// incarnation; empty if it is unknown. It is not the version of a model's weights.
	SoftwareVersion string `cbor:"14,keyasint,omitempty"`
}

// Dropped reports whether a control VM no longer reports a server that it had restored.
func (s BackendServer) Dropped() bool { return s.Unconfirmed && s.Silent }

// ServerStart identifies one incarnation of a backend server.
type ServerStart struct {
	Instance    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
}

// Start returns the incarnation of a server.
func (s BackendServer) Start() ServerStart {
	return ServerStart{Instance: s.Instance, Incarnation: s.Incarnation}
}

// SameStart reports whether two servers are the same incarnation of the same instance.
// State of an earlier incarnation (work in progress, reserved memory, failures) does not
// apply to a later one, which starts empty.
func (s BackendServer) SameStart(other BackendServer) bool {
	return s.Start() == other.Start()
}

// RouteWatch requests the routing and the backend servers from a control VM, and all
// their changes; the stream then carries RouteUpdate messages.
type RouteWatch struct {
	Node          string `cbor:"node"`
	FailureDomain string `cbor:"failureDomain"`
	// Address is set by control VMs: the address at which forwarders can watch them too.
	Address string `cbor:"address,omitempty"`
	// Observes is set if the watcher sends no requests to backend servers.
	Observes bool `cbor:"observes,omitempty"`
	// Version is the version of the routing that the forwarder has.
	Version uint64 `cbor:"version"`
	// Incarnation is the incarnation of the forwarder.
	Incarnation uint64 `cbor:"incarnation"`
	// Listen is the address at which other forwarders reach a forwarder.
	Listen string `cbor:"listen,omitempty"`
	// Alone is set on the first session of the watcher, and on the next one that begins after
	// that session has ended; sessions with other control VMs may be open then.
	Alone bool `cbor:"alone,omitempty"`
}

// ForwardersPeriod is for how long a number of forwarders counts after it was seen. Regions may be
// partitioned for minutes.
const ForwardersPeriod = 10 * time.Minute

// RouteUpdate carries the changes since the last update on the stream. The first update
// is complete.
type RouteUpdate struct {
	// Number counts the updates of a stream from 1.
	Number uint64 `cbor:"number"`
	// Version and Routing are set if the control VM has a higher version than
	// the forwarder was last known to have; Routing is an encoded
	// oriolebend.Routing.
	Version uint64 `cbor:"version,omitempty"`
	Routing []byte `cbor:"routing,omitempty"`
	// Servers are the servers that changed; all servers if Whole is set.
	Servers []BackendServer `cbor:"servers,omitempty"`
	Whole   bool            `cbor:"whole,omitempty"`
	// Controls are the addresses of the known control VMs, if they changed.
	Controls []string `cbor:"controls,omitempty"`
	// Leader is the peer address of the leading control VM, empty if none is known.
	Leader string `cbor:"leader,omitempty"`
	// LeaderTerm is the term in which Leader leads; zero means unknown, as from a control VM of an
	// earlier release.
	LeaderTerm uint64 `cbor:"leaderTerm,omitempty"`
	// Forwarders is the highest number of forwarders that watched this control VM in the last
	// minutes.
	Forwarders int `cbor:"forwarders,omitempty"`
	// Confirmed is set if a quorum confirmed a short time ago that no newer
	// routing was accepted.
	Confirmed bool `cbor:"confirmed,omitempty"`
	// Peers are some other forwarders, if they changed: the recipients of urgent messages
	// while no control VM can be reached.
	Peers []string `cbor:"peers,omitempty"`
	// Reports are crash reports of requests under which several servers crashed.
	Reports []CrashReport `cbor:"reports,omitempty"`
}

// RouteAcknowledged acknowledges that an update was applied.
type RouteAcknowledged struct {
	Number uint64 `cbor:"number"`
	// Version is the version of the routing that the forwarder has. It is sent immediately
	// when it changes, so that no other control VM sends the same routing.
	Version uint64 `cbor:"version,omitempty"`
	// Connected is set if a control VM recently reported to the sender that a quorum
	// confirmed its state.
	Connected bool `cbor:"inTouch,omitempty"`
	// Servers is the number of backend servers that the sender knows.
	Servers int `cbor:"servers,omitempty"`
	// Loads are the loads since they were last sent, about once a second.
	Loads []ServiceLoad `cbor:"loads,omitempty"`
}

// ServiceLoad is the load that one forwarder put on the engines of one service.
type ServiceLoad struct {
	Service string `cbor:"1,keyasint"`
	// Requests is the number of prompts that were processed.
	Requests int `cbor:"2,keyasint,omitempty"`
	// PromptTokens is the number of tokens in these prompts.
	PromptTokens int `cbor:"3,keyasint,omitempty"`
	// Rate is a high prefill rate, in tokens per millisecond: the rate of a prefill that
	// did not wait at its engine.
	Rate float64 `cbor:"5,keyasint,omitempty"`
	// DecodeWork is the KV memory of these requests times the output tokens that they
	// are expected to generate while they hold it.
	DecodeWork float64 `cbor:"6,keyasint,omitempty"`
	// Written is the number of tokens that the generations that have ended were expected
	// to generate, and Writing is how long they generated.
	Written int           `cbor:"7,keyasint,omitempty"`
	Writing time.Duration `cbor:"8,keyasint,omitempty"`
}

// Join asks the leader of the control VMs to add the sender as a member.
type Join struct {
	Member Member `cbor:"member"`
}

// Joined answers a Join. Leader is the leader's address if the answering control VM does
// not lead.
type Joined struct {
	Leader string `cbor:"leader,omitempty"`
	Reason string `cbor:"reason,omitempty"`
}

// Kind implements Message.
func (RouteWatch) Kind() Kind { return KindRouteWatch }

// Kind implements Message.
func (RouteUpdate) Kind() Kind { return KindRouteUpdate }

// Kind implements Message.
func (RouteAcknowledged) Kind() Kind { return KindRouteAcknowledged }

// Kind implements Message.
func (Join) Kind() Kind { return KindJoin }

// Kind implements Message.
func (Joined) Kind() Kind { return KindJoined }

var (
	_ = Register[RouteWatch]()
	_ = Register[RouteUpdate]()
	_ = Register[RouteAcknowledged]()
	_ = Register[Join]()
	_ = Register[Joined]()
)
