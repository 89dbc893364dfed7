package control

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Mux is a Machine that consists of named machines which share one log. The log
// calls Apply from one goroutine.
type Mux struct {
	machines map[PartName]Machine
}

// NewMux returns a Mux of the given machines; the map must not change afterwards.
func NewMux(machines map[PartName]Machine) *Mux {
	return &Mux{machines: machines}
}

// Apply implements Machine. An empty command, such as a new leader appends,
// changes nothing. Nor does a command that can't be decoded or names no machine;
// all control VMs ignore the same commands.
func (m *Mux) Apply(index uint64, command []byte) []byte {
	if len(command) == 0 {
		return nil
	}
	var e Envelope
	if err := cbor.Unmarshal(command, &e); err != nil {
		return nil
	}
	machine, ok := m.machines[e.Part]
	if !ok {
		return nil
	}
	return machine.Apply(index, e.Body)
}

// Snapshot implements Machine.
func (m *Mux) Snapshot() ([]byte, error) {
	parts := map[PartName][]byte{}
	for name, machine := range m.machines {
		data, err := machine.Snapshot()
		if err != nil {
			return nil, fmt.Errorf("snapshot of %s: %w", name, err)
		}
		parts[name] = data
	}
	return encoding.Marshal(parts)
}

// Restore implements Machine. A machine that the snapshot does not contain keeps
// its empty state, so that a snapshot of an older program can be restored.
func (m *Mux) Restore(snapshot []byte) error {
	parts := map[PartName][]byte{}
	if err := cbor.Unmarshal(snapshot, &parts); err != nil {
		return &MalformedError{What: "snapshot", Cause: err}
	}
	for name, data := range parts {
		machine, ok := m.machines[name]
		if !ok {
			return &MalformedError{What: fmt.Sprintf("snapshot contains the unknown part %q", name)}
		}
		if err := machine.Restore(data); err != nil {
			return fmt.Errorf("restore %s: %w", name, err)
		}
	}
	return nil
}

// PartLog is a Log whose commands are applied by one machine of a Mux.
type PartLog struct {
	Log
	Part PartName
}

// Propose implements Log.
func (p PartLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	envelope, err := cbor.Marshal(Envelope{Part: p.Part, Body: command})
	if err != nil {
		return nil, &MalformedError{What: "command", Cause: err}
	}
	return p.Log.Propose(ctx, envelope)
}

// Enveloped is a Machine of a Mux that decodes envelopes itself.
type Enveloped struct {
	Machine
	Part PartName
}

// Apply implements Machine.
func (e Enveloped) Apply(index uint64, body []byte) []byte {
	command, err := cbor.Marshal(Envelope{Part: e.Part, Body: body})
	if err != nil {
		return nil
	}
	return e.Machine.Apply(index, command)
}
