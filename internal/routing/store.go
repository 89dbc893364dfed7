package routing

import (
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// Replaced is the result of a Replace.
type Replaced struct {
	// Version is the version in force after the command.
	Version uint64 `cbor:"version"`
	// Changed is false if the same or a higher version was already in force; the
	// command then changed nothing.
	Changed bool `cbor:"changed"`
}

// InForce is the routing in force, with its encoding for other processes.
type InForce struct {
	Version  uint64
	Document []byte
	// Encoded is the CBOR of the oriolebend.Routing.
	Encoded []byte
}

// Store is the part of the replicated state that holds the routing: the highest version
// that was ever accepted. It implements control.Machine and is safe for concurrent use.
type Store struct {
	mutex   sync.Mutex
	current InForce
	changed chan struct{}
}

// NewStore returns a store without a routing.
func NewStore() *Store { return &Store{changed: make(chan struct{})} }

// stored is the encoded form of a snapshot of a Store.
type stored struct {
	Version  uint64          `cbor:"version"`
	Document []byte          `cbor:"document"`
	Routing  cbor.RawMessage `cbor:"routing"`
}

// Apply executes one encoded Replace and returns an encoded Replaced. Only a higher
// version changes the routing: an older change that arrives again, or the second of two
// changes with the same version, must be neither applied nor read back.
func (s *Store) Apply(_ uint64, command []byte) []byte {
	replace, err := decodeReplace(command)
	if err != nil {
		return nil // a command that can't be decoded changes nothing on any control VM
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	changed := replace.Routing.Version > s.current.Version
	if changed {
		encoded, err := cbor.Marshal(replace.Routing)
		if err != nil {
			return nil // never happens: plain fields that were just decoded can be encoded
		}
		s.set(InForce{Version: replace.Routing.Version, Document: replace.Document, Encoded: encoded})
	}
	result, err := cbor.Marshal(Replaced{Version: s.current.Version, Changed: changed})
	if err != nil {
		return nil // never happens: two plain fields can be encoded
	}
	return result
}

// set brings a routing into force and signals the change. The mutex is held.
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
		return fmt.Errorf("decode routing snapshot: %w", err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.set(InForce{Version: from.Version, Document: from.Document, Encoded: from.Routing})
	return nil
}

// Current returns the routing in force, with version 0 if there is none, and a channel
// that is closed at the next change.
func (s *Store) Current() (InForce, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.current, s.changed
}
