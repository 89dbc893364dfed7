package replica

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/disk"
	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
)

// saver makes changes durable in the order in which they were added. All changes added during one
// sync share the next one.
type saver struct {
	store *disk.Store
	saved chan saveResult
	work  chan struct{}

	mu      sync.Mutex
	changes []agreement.Persist
	through uint64
}

// saveResult is the outcome of one write; all changes up to sequence are durable unless err is set.
type saveResult struct {
	sequence uint64
	err      error
}

func newSaver(store *disk.Store) *saver {
	return &saver{store: store, saved: make(chan saveResult), work: make(chan struct{}, 1)}
}

func (s *saver) add(p agreement.Persist) {
	s.mu.Lock()
	s.changes = append(s.changes, p)
	s.mu.Unlock()
	s.wake()
}

// scheduleCompaction has the entries up to through dropped from the log, after the changes that
// were added before have been written.
func (s *saver) scheduleCompaction(through uint64) {
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

func (s *saver) takeQueued() ([]agreement.Persist, uint64) {
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
		changes, through := s.takeQueued()
		if len(changes) > 0 && !s.save(ctx, changes) {
			return
		}
		if through > 0 && !s.compactLog(ctx, through) {
			return
		}
	}
}

// save writes the changes, and repeats the write while the disk is full. It reports false if
// nothing more may be written.
func (s *saver) save(ctx context.Context, changes []agreement.Persist) bool {
	for {
		err := s.store.Save(changes)
		if !s.report(ctx, saveResult{sequence: changes[len(changes)-1].Sequence, err: err}) {
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
		case <-time.After(diskRetryInterval):
		}
	}
}

func (s *saver) compactLog(ctx context.Context, through uint64) bool {
	if err := s.store.Compact(through); err != nil {
		s.report(ctx, saveResult{err: err})
		return false
	}
	return true
}

func (s *saver) report(ctx context.Context, o saveResult) bool {
	select {
	case s.saved <- o:
		return true
	case <-ctx.Done():
		return false
	}
}
