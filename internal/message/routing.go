package message

import (
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Kinds of the messages by which control VMs tell forwarders where requests may
// go, and by which a control VM asks to join the others.
const (
	KindRouteWatch  Kind = "routeWatch"
	KindRouteUpdate Kind = "routeUpdate"
	KindRouteHeard  Kind = "routeHeard"
	KindJoin        Kind = "join"
	KindJoined      Kind = "joined"
)

// ServerPhase is how far a backend server is towards its end.
type ServerPhase string

const (
	// PhaseReady servers take new work.
	PhaseReady ServerPhase = "ready"
	// PhaseDraining servers end what they have and take no new work.
	PhaseDraining ServerPhase = "draining"
	// PhaseGone servers have said that they are leaving for good.
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

// BackendServer is what one backend server said of itself.
type BackendServer struct {
	// Instance names the server. One that starts again may keep its name.
	Instance      string `cbor:"1,keyasint"`
	Service       string `cbor:"2,keyasint"`
	Address       string `cbor:"3,keyasint"`
	FailureDomain string `cbor:"4,keyasint"`
	Slots         int    `cbor:"5,keyasint,omitempty"`
	// Role is empty for plain services.
	Role  oriolebend.PoolRole `cbor:"6,keyasint,omitempty"`
	Phase ServerPhase         `cbor:"7,keyasint"`
	// Sequence grows with each announcement of one start of an instance.
	Sequence uint64 `cbor:"8,keyasint"`
	// SlowFor is how long the server is still slow after its start.
	SlowFor time.Duration `cbor:"9,keyasint,omitempty"`
	// Silent is set if the server has not been heard of for a while.
	Silent bool `cbor:"10,keyasint,omitempty"`
	// Changing is set while the server was ordered to change its role and is
	// not back yet.
	Changing bool `cbor:"11,keyasint,omitempty"`
	// Incarnation is when this start of the instance began, in milliseconds since
	// 1970 by the server's own clock: of two starts the later one has the higher
	// number. It is zero if the server does not say.
	Incarnation uint64 `cbor:"12,keyasint,omitempty"`
}

// ServerStart is one start of a backend server.
type ServerStart struct {
	Instance    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
}

// Start is the start that a server is.
func (s BackendServer) Start() ServerStart {
	return ServerStart{Instance: s.Instance, Incarnation: s.Incarnation}
}

// SameStart reports whether two servers are one start of one instance. What was
// learnt of an earlier start (work in progress, reserved memory, failures) does not
// hold for a later one, which begins empty.
func (s BackendServer) SameStart(other BackendServer) bool {
	return s.Start() == other.Start()
}

// RouteWatch asks a control VM for the routing and the backend servers, and
// for all that changes; the stream then carries RouteUpdate messages.
type RouteWatch struct {
	Node          string `cbor:"node"`
	FailureDomain string `cbor:"failureDomain"`
	// Address is set by control VMs: where forwarders can watch them as well.
	Address string `cbor:"address,omitempty"`
	// Observes is set if the watcher sends no requests to backend servers.
	Observes bool `cbor:"observes,omitempty"`
	// Version is the routing that the forwarder has.
	Version uint64 `cbor:"version"`
	// Incarnation numbers the forwarder's start.
	Incarnation uint64 `cbor:"incarnation"`
	// Listen is where other forwarders reach a forwarder.
	Listen string `cbor:"listen,omitempty"`
	// Alone is set if the watcher watches no other control VM yet.
	Alone bool `cbor:"alone,omitempty"`
}

// RouteUpdate tells what has changed since the last one on the stream. The
// first one is whole.
type RouteUpdate struct {
	// Number counts the updates of a stream from 1.
	Number uint64 `cbor:"number"`
	// Version and Routing are set if the control VM has a higher version than
	// the forwarder was last known to have; Routing is an encoded
	// oriolebend.Routing.
	Version uint64 `cbor:"version,omitempty"`
	Routing []byte `cbor:"routing,omitempty"`
	// Servers are those that changed; all of them if Whole is set.
	Servers []BackendServer `cbor:"servers,omitempty"`
	Whole   bool            `cbor:"whole,omitempty"`
	// Controls are the addresses of the control VMs that are known, if they
	// changed.
	Controls []string `cbor:"controls,omitempty"`
	// Leader is the peer address of the control VM that leads, empty if none is
	// known.
	Leader string `cbor:"leader,omitempty"`
	// Forwarders is how many forwarders watch this control VM.
	Forwarders int `cbor:"forwarders,omitempty"`
	// Confirmed is set if a quorum confirmed a short time ago that no newer
	// routing was accepted.
	Confirmed bool `cbor:"confirmed,omitempty"`
	// Peers are some other forwarders, if they changed: whom to tell what can't wait
	// while no control VM is reached.
	Peers []string `cbor:"peers,omitempty"`
	// Reports are of requests under which several servers ended.
	Reports []CrashReport `cbor:"reports,omitempty"`
}

// RouteHeard tells that an update has been taken in.
type RouteHeard struct {
	Number uint64 `cbor:"number"`
	// Version is the routing that the forwarder has. It is told at once when it
	// changes, so that no other control VM sends it as well.
	Version uint64 `cbor:"version,omitempty"`
	// InTouch is set if a control VM has told the sender of late that a quorum
	// confirmed its state.
	InTouch bool `cbor:"inTouch,omitempty"`
	// Loads is what the forwarder did since it told it last, about once a
	// second.
	Loads []ServiceLoad `cbor:"loads,omitempty"`
}

// ServiceLoad is what one forwarder did with the engines of one service.
type ServiceLoad struct {
	Service string `cbor:"1,keyasint"`
	// Requests is how many prompts were read.
	Requests int `cbor:"2,keyasint,omitempty"`
	// PromptTokens is how many tokens they had.
	PromptTokens int `cbor:"3,keyasint,omitempty"`
	// Rate is a high rate of its prefills, in tokens a millisecond: one that did
	// not wait at its engine.
	Rate float64 `cbor:"5,keyasint,omitempty"`
	// DecodeWork is the KV memory of these requests times the tokens of output that
	// they are expected to write while they hold it.
	DecodeWork float64 `cbor:"6,keyasint,omitempty"`
	// Written is the tokens that generations which have ended were expected to
	// write, and Writing the time that they wrote for.
	Written int           `cbor:"7,keyasint,omitempty"`
	Writing time.Duration `cbor:"8,keyasint,omitempty"`
}

// Join asks the leader of the control VMs to take the sender in as a member.
type Join struct {
	Member Member `cbor:"member"`
}

// Joined answers a Join: the leader's address if the asked one does not lead.
type Joined struct {
	Leader string `cbor:"leader,omitempty"`
	Reason string `cbor:"reason,omitempty"`
}

// Kind implements Message.
func (RouteWatch) Kind() Kind { return KindRouteWatch }

// Kind implements Message.
func (RouteUpdate) Kind() Kind { return KindRouteUpdate }

// Kind implements Message.
func (RouteHeard) Kind() Kind { return KindRouteHeard }

// Kind implements Message.
func (Join) Kind() Kind { return KindJoin }

// Kind implements Message.
func (Joined) Kind() Kind { return KindJoined }

var (
	_ = Register[RouteWatch]()
	_ = Register[RouteUpdate]()
	_ = Register[RouteHeard]()
	_ = Register[Join]()
	_ = Register[Joined]()
)
