package replica

import (
	"context"
	"fmt"
	"sync"

	"github.com/oriolebend/oriolebend/internal/disk"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
)

// applier applies committed entries to the state machine in the order of the log, answers the
// proposers and makes snapshots.
type applier struct {
	config        Config
	store         *disk.Store
	applied       chan applyResult
	work          chan struct{}
	snapshotSaved chan agreement.SnapshotMeta

	mu   sync.Mutex
	jobs []job
	err  error

	// meta describes the last applied entry and the members at that entry.
	meta agreement.SnapshotMeta
	// entries and bytes count what was applied since the last snapshot; lastBytes is the size of
	// the state in that snapshot.
	entries        uint64
	bytes          int64
	lastBytes      int64
	savingSnapshot bool
}

// job is one entry to apply or a snapshot to restore.
type job struct {
	entry   message.LogEntry
	done    chan outcome
	restore *agreement.Snapshot
}

// applyResult reports the last applied index or a new durable snapshot.
type applyResult struct {
	index    uint64
	snapshot *agreement.SnapshotMeta
}

func newApplier(config Config, store *disk.Store, loaded disk.Loaded) *applier {
	a := &applier{
		config:        config,
		store:         store,
		applied:       make(chan applyResult),
		work:          make(chan struct{}, 1),
		snapshotSaved: make(chan agreement.SnapshotMeta, 1),
		meta:          loaded.Snapshot,
	}
	a.lastBytes = int64(len(loaded.State))
	if a.meta.Index == 0 {
		a.meta.Members = config.founders()
	}
	return a
}

func (a *applier) add(jobs []job) {
	a.mu.Lock()
	a.jobs = append(a.jobs, jobs...)
	a.mu.Unlock()
	select {
	case a.work <- struct{}{}:
	default:
	}
}

func (a *applier) takeQueued() []job {
	a.mu.Lock()
	defer a.mu.Unlock()
	jobs := a.jobs
	a.jobs = nil
	return jobs
}

// failure returns the error after which the state machine can't continue, or nil.
func (a *applier) failure() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.err
}

func (a *applier) fail(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.err = err
}

func (a *applier) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		var result applyResult
		select {
		case <-ctx.Done():
			return
		case meta := <-a.snapshotSaved:
			a.savingSnapshot = false
			result.snapshot = &meta
		case <-a.work:
			for _, j := range a.takeQueued() {
				a.process(j)
			}
			result.index = a.meta.Index
		}
		a.snapshotIfDue(&group)
		select {
		case a.applied <- result:
		case <-ctx.Done():
			return
		}
	}
}

func (a *applier) process(j job) {
	if j.restore != nil {
		a.restore(*j.restore)
		return
	}
	a.meta.Index, a.meta.Term = j.entry.Index, j.entry.Term
	a.entries++
	a.bytes += int64(len(j.entry.Command))
	var result []byte
	switch j.entry.Type {
	case message.EntryCommand:
		result = a.config.Machine.Apply(j.entry.Index, j.entry.Command)
	case message.EntryMembers:
		a.meta.Members = j.entry.Members
	}
	if j.done != nil {
		j.done <- outcome{result: result}
	}
}

func (a *applier) restore(s agreement.Snapshot) {
	if err := a.config.Machine.Restore(s.Data); err != nil {
		a.fail(fmt.Errorf("restore the snapshot at %d: %w", s.Meta.Index, err))
		return
	}
	a.meta = s.Meta
	a.entries, a.bytes, a.lastBytes = 0, 0, int64(len(s.Data))
}

// snapshotDue reports whether enough was applied since the last snapshot, also in proportion to the
// size of the state, to justify the cost of a new one.
func (a *applier) snapshotDue() bool {
	grown := a.entries >= a.config.SnapshotEntries || a.bytes >= a.config.SnapshotBytes
	return grown && !a.savingSnapshot && a.bytes >= a.lastBytes/2
}

// snapshotIfDue encodes the state in this goroutine and writes it in another, while further entries
// are applied.
func (a *applier) snapshotIfDue(group *sync.WaitGroup) {
	if !a.snapshotDue() {
		return
	}
	data, err := a.config.Machine.Snapshot()
	if err != nil {
		a.config.Logger.Error("snapshot not encoded", "error", err)
		a.entries, a.bytes = 0, 0
		return
	}
	snapshot := agreement.Snapshot{Meta: a.meta, Data: data}
	a.entries, a.bytes, a.lastBytes, a.savingSnapshot = 0, 0, int64(len(data)), true
	group.Go(func() { a.save(snapshot) })
}

// save writes a snapshot. If that fails, the log only stays longer; the next write of the log
// reports a disk that can't be written to.
func (a *applier) save(s agreement.Snapshot) {
	if err := a.store.SaveSnapshot(s); err != nil {
		a.config.Logger.Error("snapshot not written", "index", s.Meta.Index, "error", err)
		a.snapshotSaved <- agreement.SnapshotMeta{}
		return
	}
	a.snapshotSaved <- s.Meta
}
