package role

import (
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/control"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// DeclaredMachine is the declared state behind the agreed log: the log applies
// to it while watches and operators read it.
type DeclaredMachine struct {
	mu      sync.RWMutex
	state   *control.State
	view    declared.View
	changed chan struct{}
}

// NewDeclaredMachine returns an empty machine.
func NewDeclaredMachine() *DeclaredMachine {
	return &DeclaredMachine{state: control.NewState(), view: declared.NewView(), changed: make(chan struct{})}
}

// Apply implements control.Machine.
func (d *DeclaredMachine) Apply(index uint64, body []byte) []byte {
	envelope, err := cbor.Marshal(control.Envelope{Part: control.PartDeclared, Body: body})
	if err != nil {
		return nil // a body that is not CBOR; nothing is changed
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.state.Declared.Revision()
	reply := d.state.Apply(index, envelope)
	if d.state.Declared.Revision() != before {
		d.announce()
	}
	return reply
}

// announce takes a new view and wakes who waits for it; the lock is held.
func (d *DeclaredMachine) announce() {
	d.view = d.state.Declared.View().Copy()
	close(d.changed)
	d.changed = make(chan struct{})
}

// Snapshot implements control.Machine.
func (d *DeclaredMachine) Snapshot() ([]byte, error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.state.Snapshot()
}

// Restore implements control.Machine.
func (d *DeclaredMachine) Restore(snapshot []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.state.Restore(snapshot); err != nil {
		return err
	}
	d.announce()
	return nil
}

// View returns the declared state, which nobody changes, and a channel that is
// closed at the next change.
func (d *DeclaredMachine) View() (declared.View, <-chan struct{}) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.view, d.changed
}

// Update makes the message that brings a follower from a revision to this
// state, and returns a channel that is closed at the next change. Its error is
// a *declared.AheadError.
func (d *DeclaredMachine) Update(from uint64) (message.Update, <-chan struct{}, error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	update, err := d.state.Declared.Update(from)
	return update, d.changed, err
}

// DryRun tells what an order would meet now.
func (d *DeclaredMachine) DryRun(o declared.Order) oriolebend.ChangeResult {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.state.Declared.DryRun(o)
}

// Audit returns the accepted changes after a revision, oldest first.
func (d *DeclaredMachine) Audit(after uint64) []oriolebend.AuditEntry {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.state.Declared.Audit(after)
}
