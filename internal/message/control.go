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
)

// Announce tells the control VMs of a backend server, and renews its
// membership lease.
type Announce struct {
	Server oriolebend.Server `cbor:"server"`
	// Reached is the declared revision that the sidecar has in force.
	Reached uint64 `cbor:"reached"`
}

// Announced answers an Announce.
type Announced struct {
	LeaseFor time.Duration `cbor:"leaseFor"`
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
	// Snapshot is true if Servers and Resources are the whole state.
	Snapshot bool `cbor:"snapshot,omitempty"`
	// Servers that changed; a server in state "gone" is to be forgotten.
	Servers []oriolebend.Server `cbor:"servers,omitempty"`
	// Resources that changed, each as its encoded form.
	Resources [][]byte `cbor:"resources,omitempty"`
}

// Reached tells a control VM which revision a follower has in force.
type Reached struct {
	Node     string `cbor:"node"`
	Revision uint64 `cbor:"revision"`
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
)
