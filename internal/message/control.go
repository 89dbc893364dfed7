package message

import (
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Kinds of the messages between followers and the control VMs.
const (
	KindAnnounce  Kind = "announce"
	KindAnnounced Kind = "announced"
	KindWatch     Kind = "watch"
	KindUpdate    Kind = "update"
	KindReached   Kind = "reached"
	KindFollowers Kind = "followers"
	KindPermit    Kind = "permit"
	KindPermitted Kind = "permitted"
)

// Announce tells the control VMs of a backend server, and renews its
// membership lease.
type Announce struct {
	Server oriolebend.Server `cbor:"server"`
	// Reached is the declared revision that the sidecar has in force.
	Reached uint64 `cbor:"reached"`
	// Progress says how far the server is with what is declared for it.
	Progress Progress `cbor:"progress,omitempty"`
	// Detail is one sentence for a person on Progress.
	Detail string `cbor:"detail,omitempty"`
}

// Progress says how far a backend server is with what is declared for it.
type Progress string

const (
	// ProgressSettled is as declared.
	ProgressSettled Progress = "settled"
	// ProgressLearning asks the engine what it is and holds.
	ProgressLearning Progress = "learning"
	// ProgressQuiet waits until no order of an earlier life can still act.
	ProgressQuiet Progress = "quiet"
	// ProgressWaiting waits for a permit to leave work or load weights.
	ProgressWaiting Progress = "waiting"
	// ProgressDraining waits for the work in progress to end.
	ProgressDraining Progress = "draining"
	// ProgressOrdering waits for the engine to carry an order out.
	ProgressOrdering Progress = "ordering"
	// ProgressFailing retries an order that the engine refused.
	ProgressFailing Progress = "failing"
	// ProgressOutdated waits for declared state that is not older than what
	// the engine has seen.
	ProgressOutdated Progress = "outdated"
	// ProgressLeft has left work as declared.
	ProgressLeft Progress = "left"
)

// Announced answers an Announce. LeaseFor is zero if the control VM does not
// lead; the announcement then counts for nothing.
type Announced struct {
	LeaseFor time.Duration `cbor:"leaseFor"`
	// Incarnation is set if a later start of the server is known; a sidecar
	// whose VM's clock went back then counts on from there.
	Incarnation uint64 `cbor:"incarnation,omitempty"`
	// Clean is true if no order of an earlier start of the sidecar can be on
	// its way to the engine: the log last held that start in another state
	// than loading.
	Clean bool `cbor:"clean,omitempty"`
}

// Watch asks for the declared state and the membership from a revision on.
// The stream then carries Updates until it is closed.
type Watch struct {
	// Node is the name of the following process.
	Node string `cbor:"node"`
	// From is the revision that the follower has; zero asks for a snapshot.
	From uint64 `cbor:"from"`
}

// Update carries a snapshot or the changes after the follower's revision.
type Update struct {
	Revision uint64 `cbor:"revision"`
	// From is the revision that the changes come after; a follower that has
	// not reached it missed an update.
	From uint64 `cbor:"from,omitempty"`
	// Confirmed is true if the sender knew from a quorum, Age ago, that it
	// held every accepted change. A control VM that is cut off can't say so.
	Confirmed bool          `cbor:"confirmed,omitempty"`
	Age       time.Duration `cbor:"age,omitempty"`
	// Fresh is true if the sender asked that quorum after the Watch came. Only
	// then does the state hold all that was accepted before the Watch.
	Fresh bool `cbor:"fresh,omitempty"`
	// Snapshot is true if Servers and Resources are the whole state.
	Snapshot bool `cbor:"snapshot,omitempty"`
	// Servers that changed; a server in state "gone" is to be forgotten.
	Servers []oriolebend.Server `cbor:"servers,omitempty"`
	// Resources that changed, each as its encoded form.
	Resources [][]byte `cbor:"resources,omitempty"`
}

// Reached tells a control VM which revision a follower has in force. It is
// sent when that changes, and now and then to say that the follower lives.
type Reached struct {
	Node     string `cbor:"node"`
	Revision uint64 `cbor:"revision"`
	// Role is the role of the process, such as "entry" or "sidecar".
	Role string `cbor:"role,omitempty"`
}

// Followers tells the other control VMs what the followers of one have in
// force. It replaces what that control VM told before.
type Followers struct {
	Control string     `cbor:"control"`
	List    []Follower `cbor:"list"`
}

// Follower is one process that follows the declared state.
type Follower struct {
	Node     string `cbor:"node"`
	Role     string `cbor:"role,omitempty"`
	Revision uint64 `cbor:"revision"`
	// Age is how long ago, when this was sent, the follower reported.
	Age time.Duration `cbor:"age"`
}

// Permit asks the leading control VM for leave to take a server out of work
// or to load weights, renews such leave, or gives it back.
type Permit struct {
	Server      string `cbor:"server"`
	Incarnation uint64 `cbor:"incarnation"`
	// Out is true to leave work, Load to load weights.
	Out  bool `cbor:"out,omitempty"`
	Load bool `cbor:"load,omitempty"`
	// HeldOut and HeldLoad are true if the sidecar acts on a permit given
	// before; the leader, perhaps a new one, counts that without weighing it.
	HeldOut  bool `cbor:"heldOut,omitempty"`
	HeldLoad bool `cbor:"heldLoad,omitempty"`
	// Done is true to give the permit back.
	Done bool `cbor:"done,omitempty"`
}

// Permitted answers a Permit.
type Permitted struct {
	Granted bool `cbor:"granted"`
	// LeaseFor is how long what is granted, or was held, lives unrenewed.
	LeaseFor time.Duration `cbor:"leaseFor,omitempty"`
	// Detail says why a permit is not granted.
	Detail     string        `cbor:"detail,omitempty"`
	RetryAfter time.Duration `cbor:"retryAfter,omitempty"`
}

// Kind implements Message.
func (Announce) Kind() Kind { return KindAnnounce }

// Kind implements Message.
func (Announced) Kind() Kind { return KindAnnounced }

// Kind implements Message.
func (Watch) Kind() Kind { return KindWatch }

// Kind implements Message.
func (Update) Kind() Kind { return KindUpdate }

// Kind implements Message.
func (Reached) Kind() Kind { return KindReached }

var (
	_ = Register[Announce]()
	_ = Register[Announced]()
	_ = Register[Watch]()
	_ = Register[Update]()
	_ = Register[Reached]()
	_ = Register[Followers]()
	_ = Register[Permit]()
	_ = Register[Permitted]()
)

// Kind implements Message.
func (Permit) Kind() Kind { return KindPermit }

// Kind implements Message.
func (Permitted) Kind() Kind { return KindPermitted }

// Kind implements Message.
func (Followers) Kind() Kind { return KindFollowers }
