package replica

import (
	"context"
	"fmt"
	"sync"

	"github.com/oriolebend/oriolebend/internal/disk"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
)

// applier feeds the machine, in the order of the log, answers the proposers
// and has snapshots made.
type applier struct {
	config  Config
	store   *disk.Store
	applied chan applied
	work    chan struct{}
	made    chan agreement.SnapshotMeta

	mu   sync.Mutex
	jobs []job
	err  error

	// meta tells of the last entry applied, and the members then.
	meta agreement.SnapshotMeta
	// entries and bytes were applied since the last snapshot, whose state had
	// lastBytes.
	entries   uint64
	bytes     int64
	lastBytes int64
	making    bool
}

// job is one entry to apply or a snapshot to restore.
type job struct {
	entry   message.LogEntry
	done    chan outcome
	restore *agreement.Snapshot
}

// applied tells how far the machine is, or of a new durable snapshot.
type applied struct {
	index    uint64
	snapshot *agreement.SnapshotMeta
}

func newApplier(config Config, store *disk.Store, loaded disk.Loaded) *applier {
	a := &applier{
		config:  config,
		store:   store,
		applied: make(chan applied),
		work:    make(chan struct{}, 1),
		made:    make(chan agreement.SnapshotMeta, 1),
		meta:    loaded.Snapshot,
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

func (a *applier) take() []job {
	a.mu.Lock()
	defer a.mu.Unlock()
	jobs := a.jobs
	a.jobs = nil
	return jobs
}

// failure returns why the machine can't go on, or nil.
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
		var news applied
		select {
		case <-ctx.Done():
			return
		case meta := <-a.made:
			a.making = false
			news.snapshot = &meta
		case <-a.work:
			for _, j := range a.take() {
				a.do(j)
			}
			news.index = a.meta.Index
		}
		a.snapshotIfDue(&group)
		select {
		case a.applied <- news:
		case <-ctx.Done():
			return
		}
	}
}

func (a *applier) do(j job) {
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

// due tells whether a snapshot is worth its cost: enough was applied, and not
// little beside the size of the state.
func (a *applier) due() bool {
	grown := a.entries >= a.config.SnapshotEntries || a.bytes >= a.config.SnapshotBytes
	return grown && !a.making && a.bytes >= a.lastBytes/2
}

// snapshotIfDue encodes the state here and writes it beside further work.
func (a *applier) snapshotIfDue(group *sync.WaitGroup) {
	if !a.due() {
		return
	}
	data, err := a.config.Machine.Snapshot()
	if err != nil {
		a.config.Logger.Error("no snapshot", "error", err)
		a.entries, a.bytes = 0, 0
		return
	}
	snapshot := agreement.Snapshot{Meta: a.meta, Data: data}
	a.entries, a.bytes, a.lastBytes, a.making = 0, 0, int64(len(data)), true
	group.Go(func() { a.save(snapshot) })
}

// save writes a snapshot. If that fails the log simply stays longer; a disk
// that can't be written to shows at the next write of the log.
func (a *applier) save(s agreement.Snapshot) {
	if err := a.store.SaveSnapshot(s); err != nil {
		a.config.Logger.Error("no snapshot", "index", s.Meta.Index, "error", err)
		a.made <- agreement.SnapshotMeta{}
		return
	}
	a.made <- s.Meta
}
