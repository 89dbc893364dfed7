package replica

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/disk"
	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
)

// saver writes changes in the order in which they were added. All that is
// added during one sync shares the next one.
type saver struct {
	store *disk.Store
	saved chan saved
	work  chan struct{}

	mu      sync.Mutex
	changes []agreement.Persist
	through uint64
}

// saved is the outcome of one write; all changes up to sequence are durable
// unless err is set.
type saved struct {
	sequence uint64
	err      error
}

func newSaver(store *disk.Store) *saver {
	return &saver{store: store, saved: make(chan saved), work: make(chan struct{}, 1)}
}

func (s *saver) add(p agreement.Persist) {
	s.mu.Lock()
	s.changes = append(s.changes, p)
	s.mu.Unlock()
	s.wake()
}

// compact lets the log drop entries up to through, after the changes that
// were added before.
func (s *saver) compact(through uint64) {
	s.mu.Lock()
	s.through = max(s.through, through)
	s.mu.Unlock()
	s.wake()
}

func (s *saver) wake() {
	select {
	case s.work <- struct{}{}:
	default:
	}
}

func (s *saver) take() ([]agreement.Persist, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes, through := s.changes, s.through
	s.changes, s.through = nil, 0
	return changes, through
}

func (s *saver) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.work:
		}
		changes, through := s.take()
		if len(changes) > 0 && !s.save(ctx, changes) {
			return
		}
		if through > 0 && !s.dropOld(ctx, through) {
			return
		}
	}
}

// save writes the changes, again and again while the disk is full. It is false
// if nothing more may be written.
func (s *saver) save(ctx context.Context, changes []agreement.Persist) bool {
	for {
		err := s.store.Save(changes)
		if !s.tell(ctx, saved{sequence: changes[len(changes)-1].Sequence, err: err}) {
			return false
		}
		var typed *disk.Error
		if err == nil {
			return true
		}
		if !errors.As(err, &typed) || typed.Fatal() {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(diskRetry):
		}
	}
}

func (s *saver) dropOld(ctx context.Context, through uint64) bool {
	if err := s.store.Compact(through); err != nil {
		s.tell(ctx, saved{err: err})
		return false
	}
	return true
}

func (s *saver) tell(ctx context.Context, o saved) bool {
	select {
	case s.saved <- o:
		return true
	case <-ctx.Done():
		return false
	}
}
