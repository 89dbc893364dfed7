// Package control is the replicated state machine of the control VMs: the
// request records and the declared state, fed by one agreed log of commands.
package control

import "context"

// Machine is a deterministic state machine fed by an agreed log. Every control
// VM applies the same commands in the same order.
type Machine interface {
	// Apply applies one command and returns its encoded result. It reads no
	// clock: time is part of the command.
	Apply(index uint64, command []byte) []byte
	// Snapshot encodes the complete state.
	Snapshot() ([]byte, error)
	// Restore replaces the complete state.
	Restore(snapshot []byte) error
}

// Log is the interface of an agreed log for its users.
type Log interface {
	// Propose appends a command and returns the machine's result once the
	// command is durable on a quorum and applied here. A *oriolebend.Problem
	// with Ran "no" means that the command was certainly not accepted; with
	// Ran "unknown", the command may still be accepted.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Confirm returns once this VM has confirmed that it leads and has applied
	// every command accepted before the call; reads after it are current.
	Confirm(ctx context.Context) error
	// Leader returns the name and the peer address of the leader, empty if none
	// is known.
	Leader() (name, address string)
}
