package operator

import (
	"sync"

	"github.com/oriolebend/oriolebend/internal/reducer/control"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
)

// Store guards the replicated state machine of a control VM, so that several
// goroutines can use it: the log applies commands, readers read the declared part
// and wait for its changes. It implements control.Machine.
type Store struct {
	mutex   sync.RWMutex
	state   *control.State
	changed chan struct{}
}

// NewStore returns a store with an empty state.
func NewStore() *Store {
	return &Store{state: control.NewState(), changed: make(chan struct{})}
}

// Apply implements control.Machine.
func (s *Store) Apply(index uint64, command []byte) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.state.Declared.Revision()
	reply := s.state.Apply(index, command)
	if s.state.Declared.Revision() != before {
		s.notifyReaders()
	}
	return reply
}

// Snapshot implements control.Machine.
func (s *Store) Snapshot() ([]byte, error) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.state.Snapshot()
}

// Restore implements control.Machine.
func (s *Store) Restore(snapshot []byte) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	defer s.notifyReaders()
	return s.state.Restore(snapshot)
}

func (s *Store) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Read calls a function with the declared state. The function must neither change
// the state nor use it after it returns. Read returns a channel that is closed at
// the next change.
func (s *Store) Read(read func(*declared.State)) <-chan struct{} {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	read(s.state.Declared)
	return s.changed
}

// View returns a copy of the declared resources and members.
func (s *Store) View() declared.View {
	var view declared.View
	s.Read(func(d *declared.State) { view = d.View().Copy() })
	return view
}
