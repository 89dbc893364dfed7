// Package control is the replicated state machine of the control VMs: the
// request records and the declared state, fed by one agreed log of commands.
package control

import "context"

// Machine is a deterministic state machine behind an agreed log. Every
// control VM applies the same commands in the same order.
type Machine interface {
	// Apply carries out one command and returns its encoded result. It reads
	// no clock: time comes inside the command.
	Apply(index uint64, command []byte) []byte
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// Log is an agreed log, as its users see it.
type Log interface {
	// Propose appends a command and returns the machine's result once the
	// command is durable on a quorum and applied here. A *oriolebend.Problem
	// with Ran "no" means that the command was certainly not accepted, with
	// Ran "unknown" that it may still be.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Confirm returns once this VM has confirmed that it leads and has applied
	// all that was accepted before the call; reads after it are current.
	Confirm(ctx context.Context) error
	// Leader names the leader and its peer address, empty if none is known.
	Leader() (name, address string)
}
