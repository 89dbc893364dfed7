package message

import (
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Kinds of the messages between control VMs and the processes that follow their state.
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

// Announce announces a backend server to the control VMs, and renews its membership
// lease.
type Announce struct {
	Server oriolebend.Server `cbor:"server"`
	// Reached is the declared revision that is in force at the sidecar.
	Reached uint64 `cbor:"reached"`
	// Progress is how far the server has applied its declared state.
	Progress Progress `cbor:"progress,omitempty"`
	// Detail explains Progress in one sentence for operators.
	Detail string `cbor:"detail,omitempty"`
}

// Progress is how far a backend server has applied its declared state.
type Progress string

const (
	// ProgressSettled means that the server is in its declared state.
	ProgressSettled Progress = "settled"
	// ProgressLearning means that the sidecar requests the engine's current state.
	ProgressLearning Progress = "learning"
	// ProgressQuiet means that the sidecar waits until no order of an earlier
	// incarnation can still take effect.
	ProgressQuiet Progress = "quiet"
	// ProgressWaiting means waiting for a permit to leave work or load weights.
	ProgressWaiting Progress = "waiting"
	// ProgressDraining means waiting for the work in progress to end.
	ProgressDraining Progress = "draining"
	// ProgressOrdering means waiting for the engine to carry out an order.
	ProgressOrdering Progress = "ordering"
	// ProgressFailing means retrying an order that the engine refused.
	ProgressFailing Progress = "failing"
	// ProgressOutdated means waiting for declared state that is not older than the
	// state that the engine has already received.
	ProgressOutdated Progress = "outdated"
	// ProgressLeft means that the server has left work as declared.
	ProgressLeft Progress = "left"
)

// Announced answers an Announce. LeaseFor is zero if the control VM does not lead; the
// announcement then has no effect.
type Announced struct {
	LeaseFor time.Duration `cbor:"leaseFor"`
	// Incarnation is set if a later incarnation of the server is known; a sidecar
	// whose VM's clock was set back then numbers its incarnations from there on.
	Incarnation uint64 `cbor:"incarnation,omitempty"`
	// Clean is true if no order of an earlier incarnation of the sidecar can be in
	// flight to the engine: the last state of that incarnation in the log was not
	// loading.
	Clean bool `cbor:"clean,omitempty"`
}

// Watch requests the declared state and the membership from a revision on. The stream
// then carries Updates until it is closed.
type Watch struct {
	// Node is the name of the following process.
	Node string `cbor:"node"`
	// From is the revision that the follower has; zero requests a snapshot.
	From uint64 `cbor:"from"`
}

// Update carries a snapshot or the changes after the follower's revision.
type Update struct {
	Revision uint64 `cbor:"revision"`
	// From is the revision that the changes are based on; a follower that has not
	// reached it missed an update.
	From uint64 `cbor:"from,omitempty"`
	// Confirmed is true if a quorum confirmed, Age ago, that the sender held every
	// accepted change. A control VM that is partitioned from the quorum can't set it.
	Confirmed bool          `cbor:"confirmed,omitempty"`
	Age       time.Duration `cbor:"age,omitempty"`
	// Fresh is true if the sender requested that confirmation after it received the
	// Watch. Only then does the state hold all changes accepted before the Watch.
	Fresh bool `cbor:"fresh,omitempty"`
	// Snapshot is true if Servers and Resources are the complete state.
	Snapshot bool `cbor:"snapshot,omitempty"`
	// Servers that changed; a server in state "gone" is to be removed.
	Servers []oriolebend.Server `cbor:"servers,omitempty"`
	// Resources that changed, each in its encoded form.
	Resources [][]byte `cbor:"resources,omitempty"`
}

// Reached reports to a control VM which revision is in force at a follower. It is sent
// when the revision changes, and from time to time as a sign that the follower is
// alive.
type Reached struct {
	Node     string `cbor:"node"`
	Revision uint64 `cbor:"revision"`
	// Role is the role of the process, such as "entry" or "sidecar".
	Role string `cbor:"role,omitempty"`
}

// Followers reports to the other control VMs which revisions are in force at the
// followers of one control VM. It replaces the previous report of that control VM.
type Followers struct {
	Control string     `cbor:"control"`
	List    []Follower `cbor:"list"`
}

// Follower is one process that follows the declared state.
type Follower struct {
	Node     string `cbor:"node"`
	Role     string `cbor:"role,omitempty"`
	Revision uint64 `cbor:"revision"`
	// Age is the time from the follower's report to the sending of this message.
	Age time.Duration `cbor:"age"`
}

// Permit requests permission from the leading control VM to take a server out of work
// or to load weights, renews the permission, or releases it.
type Permit struct {
	Server      string `cbor:"server"`
	Incarnation uint64 `cbor:"incarnation"`
	// Out is true for leaving work, Load for loading weights.
	Out  bool `cbor:"out,omitempty"`
	Load bool `cbor:"load,omitempty"`
	// HeldOut and HeldLoad are true if the sidecar acts on a permit granted before;
	// the leader, possibly a new one, counts the permit without deciding on it again.
	HeldOut  bool `cbor:"heldOut,omitempty"`
	HeldLoad bool `cbor:"heldLoad,omitempty"`
	// Done is true to release the permit.
	Done bool `cbor:"done,omitempty"`
}

// Permitted answers a Permit.
type Permitted struct {
	Granted bool `cbor:"granted"`
	// LeaseFor is how long the permit that is granted, or was held, is valid without
	// renewal.
	LeaseFor time.Duration `cbor:"leaseFor,omitempty"`
	// Detail is the reason why the permit is not granted.
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
