package control

import (
	"sync"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/record"
)

// Records is the state machine of the request records on one control VM. The log applies commands
// to it while the server reads from it. It implements the Machine of package reducer/control.
type Records struct {
	mu    sync.RWMutex
	state *record.State
}

// NewRecords returns a machine without records.
func NewRecords() *Records {
	return &Records{state: record.New()}
}

// Apply applies one command. A command that can't be decoded changes nothing and has an empty
// result, on every control VM alike.
func (r *Records) Apply(index uint64, command []byte) []byte {
	c, err := record.DecodeCommand(command)
	if err != nil {
		return nil
	}
	result := r.apply(index, c)
	data, err := result.Encode()
	if err != nil {
		return nil
	}
	return data
}

func (r *Records) apply(index uint64, c record.Command) record.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Apply(index, c)
}

// Snapshot encodes the complete state. Reads continue while it is encoded.
func (r *Records) Snapshot() ([]byte, error) {
	return r.Image().Encode()
}

// Image copies the state, so that it can be encoded while the log applies further commands.
func (r *Records) Image() *record.Image {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Image()
}

// Restore replaces the complete state.
func (r *Records) Restore(snapshot []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Restore(snapshot)
}

// Query returns the record of a request, as of the last command applied on this control VM.
func (r *Records) Query(q message.Query) message.ClaimAnswer {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Query(q)
}

// Unknown lists the oldest records whose outcome is lost; withStatusCall limits it to those whose
// service has a status call that can tell the outcome.
func (r *Records) Unknown(limit int, withStatusCall bool) []record.UnknownRequest {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Unknown(limit, withStatusCall)
}

// Sizes returns the numbers and sizes of the stored records, for gauges.
func (r *Records) Sizes() record.Sizes {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Sizes()
}
