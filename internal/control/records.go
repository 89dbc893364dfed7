package control

import (
	"sync"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/record"
)

// Records is the state machine of the request records for one control VM: the
// log applies to it while the server reads. It implements the Machine of
// package reducer/control.
type Records struct {
	mu    sync.RWMutex
	state *record.State
}

// NewRecords returns a machine without records.
func NewRecords() *Records {
	return &Records{state: record.New()}
}

// Apply carries out one command. A command that can't be read changes nothing
// and has an empty result, on every control VM alike.
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

// Snapshot encodes the whole state. Reads go on while it is encoded.
func (r *Records) Snapshot() ([]byte, error) {
	return r.Image().Encode()
}

// Image copies the state, to be encoded while the log applies on.
func (r *Records) Image() *record.Image {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Image()
}

// Restore replaces the whole state.
func (r *Records) Restore(snapshot []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Restore(snapshot)
}

// Query looks a request up in what was applied here.
func (r *Records) Query(q message.Query) message.ClaimAnswer {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Query(q)
}

// Unknown lists the oldest records whose outcome is lost; with askable only
// those whose service can tell it.
func (r *Records) Unknown(limit int, askable bool) []record.UnknownRequest {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Unknown(limit, askable)
}

// Sizes counts what is held, for gauges.
func (r *Records) Sizes() record.Sizes {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Sizes()
}
