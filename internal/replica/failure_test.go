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
	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// proposeMany proposes numbered commands to the current leader, several at a time, and returns
// those that were accepted.
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

// checkApplied checks that every accepted command was applied exactly once. It returns after a
// further tick, so that Status is up to date.
func (g *group) checkApplied(accepted []string) {
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

func (g *group) isolate(name string) {
	for other := range g.running {
		g.network.Cut(name, other)
		g.network.Cut(other, name)
	}
}

// Guards against commands that fail during a planned restart of the leader: the leader is asked to
// stop, and does not transfer its leadership before the others elect a new one.
func TestStopTransfersLeadership(t *testing.T) {
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
		g.checkApplied(accepted)
	})
}

// Guards against a partitioned leader that reports a command as accepted, or reads from a state
// that others have changed: all links of the leader drop messages silently; it receives requests,
// the others elect a new leader, and the links heal. It must notice that no quorum answers.
func TestCutOffLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, Config{}, "a", "b", "c")
		defer g.haltAll()
		accepted := g.proposeMany("x", 5)
		old := g.leader()
		g.isolate(old.config.Name)
		_, err := old.Propose(t.Context(), []byte("lost"))
		is.Equal(problem(t, err).Ran, oriolebend.RanUnknown)
		is.Equal(problem(t, old.Confirm(t.Context())).Ran, oriolebend.RanNo)
		name, _ := old.Leader()
		is.Equal(name, "") // it does not report itself as leader
		is.True(!old.Leaderless().IsZero() && !old.Leaderless().After(time.Now()))
		for _, other := range g.others(old) {
			now, _ := other.Leader()
			is.True(now == "" || now == old.config.Name) // and no other member has a new leader yet
		}
		accepted = append(accepted, g.proposeMany("y", 5)...)
		is.Equal(len(accepted), 10)
		g.network.Heal()
		g.checkApplied(accepted)
		is.True(old.Leaderless().IsZero())
		is.True(!strings.Contains(string(old.machine.encoded()), "lost"))
	})
}

// Guards against leases that begin too late or too early: a member that receives no message from a
// leader knows since when, also while it still names the leader.
func TestSilentLeaderIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, Config{TickEvery: time.Second}, "a", "b", "c")
		defer g.haltAll()
		name, _ := g.leader().Leader()
		began := time.Now()
		g.isolate(name)
		for _, m := range g.running {
			is.True(m.Leaderless().IsZero())
		}
		time.Sleep(agreement.DefaultElectionTicks * time.Second)
		for _, m := range g.running {
			named, _ := m.Leader()
			lost := m.Leaderless().Sub(began)
			switch {
			case m == g.running[name]:
				is.True(lost > 0 && lost <= agreement.DefaultLeaseTicks*time.Second)
			case named == "" || named == name: // otherwise the others have elected a leader already
				is.True(lost > -2*agreement.DefaultHeartbeatTicks*time.Second && lost <= 0)
			}
		}
	})
}

// Guards against commands that are lost, applied twice or applied in a different order on some VM:
// every link loses one message in ten and delays the others, while the leadership moves and members
// restart. A resend that skips or repeats entries would cause this.
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
		g.checkApplied(accepted)
	})
}

// Guards against a VM that never catches up after hundreds of changes: a follower is stopped; the
// others accept hundreds of commands and drop the log before their snapshots; the follower starts
// again and requests entries that no member has any more.
func TestCatchUpAfterHundredsOfCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, Config{SnapshotEntries: 50, TailEntries: 10}, "a", "b", "c")
		defer g.haltAll()
		stopped := g.others(g.leader())[0].config.Name
		is.NoErr(g.halt(stopped))
		var accepted []string
		for round := 0; g.leader().Status().Snapshot < 300; round++ {
			accepted = append(accepted, g.proposeMany(fmt.Sprintf("x%d-", round), 50)...)
			time.Sleep(2 * DefaultTickEvery)
		}
		g.start(stopped)
		g.checkApplied(accepted)
		is.True(g.running[stopped].Status().Snapshot >= 300)
		is.NoErr(g.halt(stopped))
		g.start(stopped) // and again, from its own snapshot
		g.checkApplied(accepted)
	})
}

// Guards against commands that are lost after two losses in a row: a VM loses its data folder and
// is repaired; right after, a second VM loses its folder while the third is unavailable. A repaired
// VM must not count towards a quorum before it has the log.
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
		g.checkApplied(accepted)
		second := g.leader().config.Name
		lose(second)
		g.checkApplied(accepted)
		for _, m := range g.running {
			is.True(!m.Status().Recovering)
		}
	})
}

// Guards against a group without a quorum after one loss during a replacement: c is lost
// permanently, d replaces it, then the leader stops. A new VM must not vote before it has the log.
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
		for !isVoter(g.leader().Status().Members, "d") {
			time.Sleep(DefaultTickEvery)
		}
		is.NoErr(g.leader().RemoveMember(t.Context(), lost))
		err := g.leader().RemoveMember(t.Context(), "d")
		is.Equal(problem(t, err).Reason, oriolebend.ReasonInvalidResource)
		is.NoErr(g.halt(g.leader().config.Name))
		accepted = append(accepted, g.proposeMany("y", 5)...)
		is.Equal(len(accepted), 65)
		g.checkApplied(accepted)
	})
}

// Guards against a group that stays without a leader after the loss of one folder and a later stop
// of another member: d joins a group that was founded without it, and leads; a founder loses its
// folder; another member stops. The founder with the empty folder knew only the founders, ignored
// the messages of d, and so never got the log back.
func TestWipedMemberAcceptsALeaderThatJoinedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, Config{AddressOf: func(name string) string { return name + ":1" }}, "a", "b", "c")
		defer g.haltAll()
		accepted := g.proposeMany("x", 5)
		d := message.Member{Name: "d", Address: "d:1"}
		g.start("d")
		is.NoErr(g.leader().AddMember(t.Context(), d))
		for !isVoter(g.leader().Status().Members, "d") {
			time.Sleep(DefaultTickEvery)
		}
		g.awaitLeadership("d", "a", "b", "c")
		is.NoErr(g.halt("a"))
		is.NoErr(os.RemoveAll(filepath.Join(g.folder, "a")))
		g.start("a")
		g.checkApplied(accepted) // a has the log again
		is.NoErr(g.halt("b"))
		accepted = append(accepted, g.proposeMany("y", 2)...)
		is.Equal(len(accepted), 7)
	})
}

// awaitLeadership waits until the named member leads. The links between the others are cut until
// then, so that none of them can reach a quorum.
func (g *group) awaitLeadership(name string, others ...string) {
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

func isVoter(members []message.Member, name string) bool {
	for _, m := range members {
		if m.Name == name {
			return m.Voter
		}
	}
	return false
}

// faultyDisk is the VM's file system with injected faults.
type faultyDisk struct {
	disk.OS
	full, syncFails atomic.Bool
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
	if f.disk.syncFails.Load() {
		return syscall.EIO
	}
	return f.File.Sync()
}

// Guards against commands that are reported as accepted although no disk holds them, and against a
// VM that stays unusable once its disk has space again: the disk of the only member fills up and is
// cleared. A failed write that is forgotten would cause this.
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
		is.NoErr(<-result) // it was neither acknowledged before nor dropped
		g.checkApplied([]string{"waits"})
	})
}

// Guards against a VM that continues with a disk that drops writes: one sync fails. A sync must not
// be repeated, because the kernel may report the second one as successful.
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
		faulty.syncFails.Store(true)
		accepted := g.proposeMany("x", 3)
		is.Equal(len(accepted), 3)
		var typed *disk.Error
		is.True(errors.As(<-c.err, &typed))
		is.Equal(typed.Kind, disk.KindSync)
		delete(g.running, "c")
		g.checkApplied(accepted)
	})
}

// Guards against a process of another role that unseats the leader: the stream of an entry VM
// carries a vote in the name of a member, another one in its own name. Messages whose
// sender is not checked would cause this.
func TestMessagesOfNonMembersAreIgnored(t *testing.T) {
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

func TestDeadlineReportsWhetherTheCommandMayBeAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t, Config{}, "a", "b", "c")
		defer g.haltAll()
		leader := g.leader()
		g.isolate(leader.config.Name)
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
		g.checkApplied(accepted)
	})
}

// Guards against a group that can't be brought back after its majority lost their disks, and
// against old VMs that undo a restore: two of three members are lost permanently; the last one is
// restored as a group of its own and gets two new members, while one of the lost members returns
// with its old folder. The restored group must not keep the old members or accept their messages.
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
			for !isVoter(g.leader().Status().Members, name) {
				time.Sleep(DefaultTickEvery)
			}
		}
		g.checkApplied(accepted)
		is.Equal(len(accepted), 55)
		term := g.leader().Status().Term
		old := g.start("b")
		time.Sleep(time.Minute)
		is.Equal(g.leader().Status().Term, term)
		is.Equal(old.Status().Leader, "")
		is.NoErr(g.halt("b"))
	})
}
