package routing

import (
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Replace asks for a routing to come into force.
type Replace struct {
	Routing oriolebend.Routing `cbor:"routing"`
	// Document is the routing as the operator wrote it, to be read back byte
	// for byte.
	Document []byte `cbor:"document"`
}

// Replaced tells what a Replace led to.
type Replaced struct {
	// Version is in force after the command.
	Version uint64 `cbor:"version"`
	// Changed is false if a version as high was in force already; the command
	// then changed nothing.
	Changed bool `cbor:"changed"`
}

// InForce is the routing in force and its encoding for other processes.
type InForce struct {
	Version  uint64
	Document []byte
	// Encoded is the CBOR of the oriolebend.Routing.
	Encoded []byte
}

// Store is the part of the replicated state that holds the routing: the
// highest version that was ever accepted. It implements control.Machine and
// may be used by several goroutines.
type Store struct {
	mutex   sync.Mutex
	current InForce
	changed chan struct{}
}

// NewStore returns a store without a routing.
func NewStore() *Store { return &Store{changed: make(chan struct{})} }

// stored is the snapshot of a Store.
type stored struct {
	Version  uint64          `cbor:"version"`
	Document []byte          `cbor:"document"`
	Routing  cbor.RawMessage `cbor:"routing"`
}

// Apply carries out one encoded Replace. Only a higher version changes
// anything: an older change that arrives again, or the loser of two changes
// with one number, must neither be obeyed nor read back.
func (s *Store) Apply(_ uint64, command []byte) []byte {
	var replace Replace
	if len(command) == 0 || cbor.Unmarshal(command, &replace) != nil {
		return nil // what can't be read changes nothing, on every control VM alike
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	changed := replace.Routing.Version > s.current.Version
	if changed {
		encoded, err := cbor.Marshal(replace.Routing)
		if err != nil {
			return nil // plain fields that were just decoded always encode
		}
		s.set(InForce{Version: replace.Routing.Version, Document: replace.Document, Encoded: encoded})
	}
	result, err := cbor.Marshal(Replaced{Version: s.current.Version, Changed: changed})
	if err != nil {
		return nil // two plain fields always encode
	}
	return result
}

// set puts a routing in place and wakes who waits. The mutex is held.
func (s *Store) set(current InForce) {
	s.current = current
	close(s.changed)
	s.changed = make(chan struct{})
}

// Snapshot implements control.Machine.
func (s *Store) Snapshot() ([]byte, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.current.Version == 0 {
		return cbor.Marshal(stored{})
	}
	return cbor.Marshal(stored{Version: s.current.Version, Document: s.current.Document, Routing: s.current.Encoded})
}

// Restore implements control.Machine.
func (s *Store) Restore(snapshot []byte) error {
	var from stored
	if err := cbor.Unmarshal(snapshot, &from); err != nil {
		return fmt.Errorf("read the routing of a snapshot: %w", err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.set(InForce{Version: from.Version, Document: from.Document, Encoded: from.Routing})
	return nil
}

// Current returns the routing in force, of version 0 if there is none, and a
// channel that is closed with the next change.
func (s *Store) Current() (InForce, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.current, s.changed
}
