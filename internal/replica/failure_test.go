package replica

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/disk"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer/peertest"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// proposeMany proposes numbered commands at whoever leads, several at a time,
// and returns those that were accepted.
func (g *group) proposeMany(prefix string, count int) []string {
	g.t.Helper()
	const proposers = 8
	var mu sync.Mutex
	var accepted []string
	var wait sync.WaitGroup
	for p := range proposers {
		wait.Go(func() {
			for i := p; i < count; i += proposers {
				command := fmt.Sprintf("%s%d", prefix, i)
				ctx, cancel := context.WithTimeout(g.t.Context(), 5*time.Second)
				_, err := g.leader().Propose(ctx, []byte(command))
				cancel()
				if err == nil {
					mu.Lock()
					accepted = append(accepted, command)
					mu.Unlock()
				}
			}
		})
	}
	wait.Wait()
	return accepted
}

// holds checks that every accepted command was applied, once. It returns after
// a further tick, so that Status tells of it.
func (g *group) holds(accepted []string) {
	g.t.Helper()
	g.converge()
	time.Sleep(2 * DefaultTickEvery)
	count := map[string]int{}
	for _, c := range g.leader().machine.Commands {
		count[c]++
	}
	for _, c := range accepted {
		if count[c] != 1 {
			g.t.Errorf("%s was applied %d times", c, count[c])
		}
	}
}

func (g *group) cutOff(name string) {
	for other := range g.running {
		g.network.Cut(name, other)
		g.network.Cut(other, name)
	}
}

// Symptom: a planned restart of the leader cuts commands off. Sequence: the
// leader is asked to stop while others elect. Cause: a stop without handing
// leadership over.
func TestStopHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, Config{}, "a", "b", "c")
		defer g.haltAll()
		accepted := g.proposeMany("x", 20)
		is.Equal(len(accepted), 20)
		leader := g.leader()
		began := time.Now()
		is.NoErr(g.halt(leader.config.Name))
		next := g.leader()
		is.True(next != leader)
		is.True(time.Since(began) < 8*DefaultTickEvery) // less than any election timeout
		_, err := leader.Propose(t.Context(), []byte("late"))
		is.Equal(problem(t, err).Reason, oriolebend.ReasonStopping)
		g.start(leader.config.Name)
		g.holds(accepted)
	})
}

// Symptom: a cut-off leader tells callers that a command was accepted, or reads
// from a state that others have changed. Sequence: all links of the leader are
// cut silently; it is asked; the others elect; the links heal. Cause: a leader
// that does not notice that no quorum answers.
func TestCutOffLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, Config{}, "a", "b", "c")
		defer g.haltAll()
		accepted := g.proposeMany("x", 5)
		old := g.leader()
		g.cutOff(old.config.Name)
		_, err := old.Propose(t.Context(), []byte("lost"))
		is.Equal(problem(t, err).Ran, oriolebend.RanUnknown)
		is.Equal(problem(t, old.Confirm(t.Context())).Ran, oriolebend.RanNo)
		name, _ := old.Leader()
		is.Equal(name, "") // it does not answer as leader
		for _, other := range g.others(old) {
			now, _ := other.Leader()
			is.True(now == "" || now == old.config.Name) // and nobody else does yet
		}
		accepted = append(accepted, g.proposeMany("y", 5)...)
		is.Equal(len(accepted), 10)
		g.network.Heal()
		g.holds(accepted)
		is.True(!strings.Contains(string(old.machine.encoded()), "lost"))
	})
}

// Symptom: commands are lost, doubled or in another order on some VM.
// Sequence: every link loses one message in ten and delays the others, while
// leadership moves and members restart. Cause: a resend that skips or repeats.
func TestLossyLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, Config{SnapshotEntries: 40, TailEntries: 8}, "a", "b", "c")
		defer g.haltAll()
		g.leader()
		g.network.Degrade(0.1, 3*time.Millisecond)
		accepted := g.proposeMany("x", 60)
		name := g.leader().config.Name
		if err := g.halt(name); err != nil {
			t.Fatal(err)
		}
		accepted = append(accepted, g.proposeMany("y", 60)...)
		g.start(name)
		accepted = append(accepted, g.proposeMany("z", 60)...)
		g.network.Degrade(0, 0)
		g.holds(accepted)
	})
}

// Symptom: a VM that was away for hundreds of changes never catches up.
// Sequence: a follower is stopped; the others accept hundreds of commands and
// drop the log before their snapshots; it starts again. Cause: it asks for
// entries that nobody holds.
func TestBackAfterHundreds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, Config{SnapshotEntries: 50, TailEntries: 10}, "a", "b", "c")
		defer g.haltAll()
		away := g.others(g.leader())[0].config.Name
		is.NoErr(g.halt(away))
		var accepted []string
		for round := 0; g.leader().Status().Snapshot < 300; round++ {
			accepted = append(accepted, g.proposeMany(fmt.Sprintf("x%d-", round), 50)...)
			time.Sleep(2 * DefaultTickEvery)
		}
		g.start(away)
		g.holds(accepted)
		is.True(g.running[away].Status().Snapshot >= 300)
		is.NoErr(g.halt(away))
		g.start(away) // and again, from its own snapshot
		g.holds(accepted)
	})
}

// Symptom: commands are lost after two losses in a row. Sequence: a VM loses
// its folder and is repaired; right after, a second one loses its folder while
// the third is away. Cause: a repaired VM that counts before it has the log.
func TestSecondLossAfterRepair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, Config{}, "a", "b", "c")
		defer g.haltAll()
		accepted := g.proposeMany("x", 30)
		lose := func(name string) {
			is.NoErr(g.halt(name))
			is.NoErr(os.RemoveAll(filepath.Join(g.folder, name)))
			g.start(name)
		}
		first := g.leader().config.Name
		lose(first)
		g.holds(accepted)
		second := g.leader().config.Name
		lose(second)
		g.holds(accepted)
		for _, m := range g.running {
			is.True(!m.Status().Recovering)
		}
	})
}

// Symptom: the group has no quorum after one loss during a replacement.
// Sequence: c is lost for good, d replaces it, then the leader stops. Cause:
// a new VM that votes before it has the log.
func TestReplaceMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, Config{SnapshotEntries: 20, TailEntries: 5}, "a", "b", "c")
		defer g.haltAll()
		accepted := g.proposeMany("x", 60)
		lost := g.others(g.leader())[0].config.Name
		is.NoErr(g.halt(lost))
		d := message.Member{Name: "d", Address: "d:1"}
		g.config.Members = append(g.config.Members, d)
		g.start("d")
		is.NoErr(g.leader().AddMember(t.Context(), d))
		for !voter(g.leader().Status().Members, "d") {
			time.Sleep(DefaultTickEvery)
		}
		is.NoErr(g.leader().RemoveMember(t.Context(), lost))
		err := g.leader().RemoveMember(t.Context(), "d")
		is.Equal(problem(t, err).Reason, oriolebend.ReasonInvalidResource)
		is.NoErr(g.halt(g.leader().config.Name))
		accepted = append(accepted, g.proposeMany("y", 5)...)
		is.Equal(len(accepted), 65)
		g.holds(accepted)
	})
}

// Symptom: after the loss of one folder and a later stop of one more member the
// group has no leader for good. Sequence: d joins a group whose members were
// founded without it, and leads; a founder loses its folder; another stops.
// Cause: the empty founder knew the founders only, did not listen to d, and so
// never got the log back.
func TestWipedMemberHearsALeaderThatJoinedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, Config{AddressOf: func(name string) string { return name + ":1" }}, "a", "b", "c")
		defer g.haltAll()
		accepted := g.proposeMany("x", 5)
		d := message.Member{Name: "d", Address: "d:1"}
		g.start("d")
		is.NoErr(g.leader().AddMember(t.Context(), d))
		for !voter(g.leader().Status().Members, "d") {
			time.Sleep(DefaultTickEvery)
		}
		g.leadOnly("d", "a", "b", "c")
		is.NoErr(g.halt("a"))
		is.NoErr(os.RemoveAll(filepath.Join(g.folder, "a")))
		g.start("a")
		g.holds(accepted) // a has the log again
		is.NoErr(g.halt("b"))
		accepted = append(accepted, g.proposeMany("y", 2)...)
		is.Equal(len(accepted), 7)
	})
}

// leadOnly has one member lead: the others are cut off from each other until it
// does, so that nobody else can reach a quorum.
func (g *group) leadOnly(name string, others ...string) {
	g.t.Helper()
	for _, from := range others {
		for _, to := range others {
			if from != to {
				g.network.Cut(from, to)
			}
		}
	}
	for range 100 {
		if g.leader().config.Name == name {
			g.network.Heal()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	g.t.Fatalf("%s does not lead", name)
}

func voter(members []message.Member, name string) bool {
	for _, m := range members {
		if m.Name == name {
			return m.Voter
		}
	}
	return false
}

// faultyDisk is the VM's file system with faults.
type faultyDisk struct {
	disk.OS
	full, broken atomic.Bool
}

func (d *faultyDisk) Append(path string) (disk.File, error) {
	f, err := d.OS.Append(path)
	return faultyFile{f, d}, err
}

type faultyFile struct {
	disk.File
	disk *faultyDisk
}

func (f faultyFile) Write(data []byte) (int, error) {
	if f.disk.full.Load() {
		n, _ := f.File.Write(data[:len(data)/2])
		return n, syscall.ENOSPC
	}
	return f.File.Write(data)
}

func (f faultyFile) Sync() error {
	if f.disk.broken.Load() {
		return syscall.EIO
	}
	return f.File.Sync()
}

// Symptom: commands are told as accepted that no disk holds, or the VM does not
// come back once there is room. Sequence: the disk of the only member fills up
// and is cleared. Cause: a failed write that is forgotten.
func TestFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		faulty := &faultyDisk{}
		g := newGroup(t, Config{}, "a")
		defer g.haltAll()
		g.leader()
		is.NoErr(g.halt("a"))
		g.disk = faulty
		a := g.start("a")
		g.leader()
		faulty.full.Store(true)
		result := make(chan error, 1)
		go func() {
			_, err := a.Propose(t.Context(), []byte("waits"))
			result <- err
		}()
		for !a.Status().DiskFull {
			time.Sleep(DefaultTickEvery)
		}
		_, err := a.Propose(t.Context(), []byte("refused"))
		is.Equal(problem(t, err).Reason, oriolebend.ReasonDiskFull)
		is.Equal(problem(t, err).Ran, oriolebend.RanNo)
		faulty.full.Store(false)
		is.NoErr(<-result) // it was never promised and never forgotten
		g.holds([]string{"waits"})
	})
}

// Symptom: a VM goes on with a disk that drops writes. Sequence: one sync
// fails. Cause: a sync that is tried again, which the kernel may report as good.
func TestFailedSyncStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		faulty := &faultyDisk{}
		g := newGroup(t, Config{}, "a", "b", "c")
		defer g.haltAll()
		g.leader()
		is.NoErr(g.halt("c"))
		g.disk = faulty
		c := g.start("c")
		g.converge()
		faulty.broken.Store(true)
		accepted := g.proposeMany("x", 3)
		is.Equal(len(accepted), 3)
		var typed *disk.Error
		is.True(errors.As(<-c.err, &typed))
		is.Equal(typed.Kind, disk.KindSync)
		delete(g.running, "c")
		g.holds(accepted)
	})
}

// Symptom: a process of another role unseats the leader. Sequence: a stream of
// an entry VM carries a vote in the name of a member, another one in its own.
// Cause: messages that are taken for their word.
func TestStrangersAreNotHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, Config{}, "a")
		defer g.haltAll()
		a := g.leader()
		for _, from := range []string{"a", "entry-1"} {
			near, far := peertest.Pair("entry-1", "a")
			part := message.Agreement{Group: "control/1", Term: 99, From: from}
			go a.Serve(t.Context(), far)
			is.NoErr(near.Send(message.Vote{Agreement: part, Transfer: true}))
			synctest.Wait()
			is.Equal(isDone(near.Done()), from == "a") // a false name ends the stream
			is.NoErr(near.Close())
		}
		g.leader()
		is.True(a.Status().Term < 99)
	})
}

func isDone(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

func TestDeadlineTellsWhetherItMayRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, Config{}, "a", "b", "c")
		defer g.haltAll()
		leader := g.leader()
		g.cutOff(leader.config.Name)
		ctx, cancel := context.WithTimeout(t.Context(), 2*DefaultTickEvery)
		defer cancel()
		_, err := leader.Propose(ctx, []byte("x"))
		is.Equal(problem(t, err).Reason, oriolebend.ReasonDeadline)
		is.Equal(problem(t, err).Ran, oriolebend.RanUnknown)
		g.network.Heal()
	})
}

func TestBackupOfARunningMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, Config{SnapshotEntries: 20, TailEntries: 5}, "a")
		accepted := g.proposeMany("x", 50)
		backup := t.TempDir()
		is.NoErr(g.leader().Backup(backup))
		g.proposeMany("later", 5)
		g.haltAll()
		is.NoErr(os.RemoveAll(filepath.Join(g.folder, "a")))
		is.NoErr(disk.Restore(backup, filepath.Join(g.folder, "a"), disk.RestoreConfig{}))
		g.start("a")
		defer g.haltAll()
		g.holds(accepted)
	})
}

// Symptom: a group whose majority lost its disks can't be brought back, or old
// VMs undo what was restored. Sequence: two of three are gone for good; the last
// one is restored as a group of its own and gets two new members, while one of
// the lost comes back with its old folder. Cause: a restore that keeps the old
// members, or a group that still listens to them.
func TestRestoreAfterTwoLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, Config{SnapshotEntries: 20, TailEntries: 5}, "a", "b", "c")
		defer g.haltAll()
		accepted := g.proposeMany("x", 50)
		g.converge()
		g.haltAll()
		backup := t.TempDir()
		is.NoErr(disk.Backup(filepath.Join(g.folder, "a"), backup))
		is.NoErr(os.RemoveAll(filepath.Join(g.folder, "a")))
		is.NoErr(disk.Restore(backup, filepath.Join(g.folder, "a"), disk.RestoreConfig{
			Members: []message.Member{{Name: "a", Address: "a:1", Voter: true}},
		}))
		g.start("a")
		accepted = append(accepted, g.proposeMany("y", 5)...)
		for _, name := range []string{"d", "e"} {
			m := message.Member{Name: name, Address: name + ":1"}
			g.config.Members = append(g.config.Members, m)
			g.start(name)
			is.NoErr(g.leader().AddMember(t.Context(), m))
			for !voter(g.leader().Status().Members, name) {
				time.Sleep(DefaultTickEvery)
			}
		}
		g.holds(accepted)
		is.Equal(len(accepted), 55)
		term := g.leader().Status().Term
		old := g.start("b")
		time.Sleep(time.Minute)
		is.Equal(g.leader().Status().Term, term)
		is.Equal(old.Status().Leader, "")
		is.NoErr(g.halt("b"))
	})
}
