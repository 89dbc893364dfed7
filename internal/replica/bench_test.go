package replica

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oriolebend/oriolebend/internal/disk"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
)

// commandBytes is the size of a typical command, such as a claim.
const commandBytes = 300

// countingDisk counts the syncs of files.
type countingDisk struct {
	disk.OS
	syncs atomic.Int64
}

func (d *countingDisk) Append(path string) (disk.File, error) {
	f, err := d.OS.Append(path)
	return countingFile{f, d}, err
}

type countingFile struct {
	disk.File
	disk *countingDisk
}

func (f countingFile) Sync() error {
	f.disk.syncs.Add(1)
	return f.File.Sync()
}

func benchGroup(b *testing.B, members int) *group {
	names := []string{"a", "b", "c"}[:members]
	g := newGroup(b, Config{}, names...)
	b.Cleanup(g.haltAll)
	return g
}

// BenchmarkProposals measures proposals per second with real syncs, for several numbers of callers
// that each wait for their answer.
func BenchmarkProposals(b *testing.B) {
	for _, members := range []int{1, 3} {
		for _, callers := range []int{1, 16, 64, 256} {
			b.Run(fmt.Sprintf("members=%d/callers=%d", members, callers), func(b *testing.B) {
				counting := &countingDisk{}
				g := newGroup(b, Config{}, []string{"a", "b", "c"}[:members]...)
				for name := range g.running {
					if err := g.halt(name); err != nil {
						b.Fatal(err)
					}
				}
				g.disk, g.discardCommands = counting, true
				for _, m := range g.config.Members {
					g.start(m.Name)
				}
				b.Cleanup(g.haltAll)
				leader := g.leader()
				counting.syncs.Store(0)
				command := make([]byte, commandBytes)
				var next atomic.Int64
				var wait sync.WaitGroup
				b.ResetTimer()
				for range callers {
					wait.Go(func() {
						for next.Add(1) <= int64(b.N) {
							if _, err := leader.Propose(b.Context(), command); err != nil {
								b.Error(err)
								return
							}
						}
					})
				}
				wait.Wait()
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
				b.ReportMetric(float64(counting.syncs.Load())/float64(members)/float64(b.N), "syncs/proposal")
			})
		}
	}
}

// BenchmarkRecovery measures the time from a start to the first confirmed read, with several
// numbers of entries and no snapshot.
func BenchmarkRecovery(b *testing.B) {
	for _, entries := range []uint64{100, 1_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			g := newGroup(b, Config{SnapshotEntries: 1 << 40, SnapshotBytes: 1 << 40}, "a")
			g.discardCommands = true
			g.leader()
			g.haltAll()
			fillFolder(b, g.folder+"/a", entries)
			b.ResetTimer()
			for range b.N {
				a := g.start("a")
				for a.Confirm(b.Context()) != nil {
					time.Sleep(time.Millisecond)
				}
				b.StopTimer()
				if err := g.halt("a"); err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
			}
		})
	}
}

// fillFolder appends entries to a stopped member's log.
func fillFolder(b *testing.B, folder string, count uint64) {
	store, loaded, err := disk.Open(disk.Config{Folder: folder, Group: DefaultGroup, Name: "a"})
	if err != nil {
		b.Fatal(err)
	}
	defer store.Close()
	next := loaded.Entries[len(loaded.Entries)-1].Index + 1
	var list []message.LogEntry
	for i := next; i < next+count; i++ {
		list = append(list, message.LogEntry{
			Index: i, Term: loaded.Hard.Term, Type: message.EntryCommand, Command: make([]byte, commandBytes),
		})
	}
	if err := store.Save([]agreement.Persist{{Entries: list}}); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkWithoutLeader measures the time from the loss of a leader until another one confirms
// that it leads: after a silent cut of its links, and after a graceful stop.
func BenchmarkWithoutLeader(b *testing.B) {
	for _, graceful := range []bool{false, true} {
		b.Run(fmt.Sprintf("graceful=%t", graceful), func(b *testing.B) {
			g := benchGroup(b, 3)
			g.leader()
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				lost := g.leader()
				name := lost.config.Name
				b.StartTimer()
				if graceful {
					lost.stop()
				} else {
					g.isolate(name)
				}
				awaitOther(b, g, lost)
				b.StopTimer()
				g.network.Heal()
				if graceful {
					if err := g.halt(name); err != nil {
						b.Fatal(err)
					}
					g.start(name)
				}
				g.converge()
				b.StartTimer()
			}
			perOp := b.Elapsed() / time.Duration(b.N)
			b.ReportMetric(float64(perOp)/float64(time.Millisecond), "ms-without")
			b.ReportMetric(float64(perOp)/float64(DefaultTickEvery), "ticks-without")
		})
	}
}

func awaitOther(b *testing.B, g *group, lost *runningMember) {
	for {
		for _, m := range g.others(lost) {
			ctx, cancel := context.WithTimeout(b.Context(), 50*time.Millisecond)
			err := m.Confirm(ctx)
			cancel()
			if err == nil {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
}
