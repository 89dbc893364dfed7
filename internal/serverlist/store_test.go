package serverlist

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/disk"
	"github.com/oriolebend/oriolebend/internal/message"
)

// faultyFiles is the file system of the VM. It counts writes, and fails them while full is set.
type faultyFiles struct {
	disk.OS
	full   atomic.Bool
	writes atomic.Int64
}

func (f *faultyFiles) Create(path string) (disk.File, error) {
	f.writes.Add(1)
	if f.full.Load() {
		return nil, syscall.ENOSPC
	}
	return f.OS.Create(path)
}

// fixture is a control VM's store, the servers that it knows, and its log.
type fixture struct {
	*Store
	files   *faultyFiles
	servers atomic.Pointer[[]message.BackendServer]
	log     strings.Builder
}

func load(folder string) (*fixture, List) {
	f := &fixture{files: &faultyFiles{}}
	f.Store = &Store{
		Folder: folder, Node: "a", Files: f.files, Logger: slog.New(slog.NewTextHandler(&f.log, nil)),
		Servers: func() (List, bool) {
			known := f.servers.Load()
			if known == nil {
				return List{}, false
			}
			return List{Servers: *known, Others: map[string]struct{}{"b": {}}}, true
		},
	}
	return f, f.Load()
}

func (f *fixture) set(servers ...message.BackendServer) {
	servers = slices.Clone(servers)
	f.servers.Store(&servers)
	f.RequestSave()
}

func (f *fixture) run(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	return func() { cancel(); <-done }
}

func server(instance string) message.BackendServer {
	return message.BackendServer{
		Instance: instance, Service: "s", Address: instance + ":1", Phase: message.PhaseReady, Incarnation: 7, Sequence: 40, SlowFor: 3 * time.Second,
	}
}

func instances(l List) string {
	var names []string
	for _, s := range l.Servers {
		names = append(names, s.Instance)
	}
	return strings.Join(names, " ")
}

// Guards against restored servers that accept no new work, and against a list that is restored again
// and again: servers that were not confirmed keep the age of the file that named them.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		folder := t.TempDir()
		first, none := load(folder)
		is.Equal(len(none.Servers), 0)
		stop := first.run(t)
		draining, gone, silent, changing := server("d"), server("g"), server("s"), server("c")
		draining.Phase, gone.Phase, silent.Silent, changing.Changing = message.PhaseDraining, message.PhaseGone, true, true
		first.set(server("a"), server("b"), draining, gone, silent, changing)
		synctest.Wait()
		stop()
		time.Sleep(2 * time.Second)
		second, restored := load(folder)
		is.Equal(instances(restored), "a b")
		want := server("a")
		want.SlowFor = time.Second
		is.Equal(restored.Servers[0], want)
		is.Equal(restored.Others, map[string]struct{}{"b": {}})
		a, b, other := restored.Servers[0], restored.Servers[1], server("other")
		b.Unconfirmed, other.Unconfirmed = true, true
		stop = second.run(t)
		second.set(a, b, other) // another control VM restored other
		synctest.Wait()
		stop()
		time.Sleep(58 * time.Second)
		_, restored = load(folder)
		is.Equal(instances(restored), "a b")
		time.Sleep(time.Second)
		_, restored = load(folder)
		is.Equal(instances(restored), "a") // b was last known 61 s ago
	})
}

// Guards against a list that does harm: a file that is torn, of another control VM or format, too old
// or from the future counts as none.
func TestUnusableFiles(t *testing.T) {
	is := is.New(t)
	now := time.Now().UnixMilli()
	good := content{Format: format, Version: version, Node: "a", At: now, Servers: []listedServer{{Server: server("a")}}}
	for name, change := range map[string]func(c *content){
		"usable": func(*content) {}, "of another control VM": func(c *content) { c.Node = "b" },
		"of another format": func(c *content) { c.Format = "x" }, "of a later version": func(c *content) { c.Version++ },
		"old": func(c *content) { c.At -= 61_000 }, "from the future": func(c *content) { c.At += 60_000 },
	} {
		folder, c := t.TempDir(), good
		change(&c)
		is.NoErr(disk.WriteNote(disk.OS{}, folder, fileName, c))
		_, restored := load(folder)
		t.Log(name)
		is.Equal(len(restored.Servers) > 0, name == "usable")
		path := filepath.Join(folder, fileName)
		data, err := os.ReadFile(path)
		is.NoErr(err)
		for _, size := range []int{0, 1, len(data) / 2, len(data) - 1} {
			is.NoErr(os.WriteFile(path, data[:size], 0o600))
			_, restored = load(folder)
			is.Equal(len(restored.Servers), 0) // torn
		}
	}
}

// Guards against a disk that is busy with the list: a burst of changes is written every 500 ms, sequence
// numbers are not written at all, and a list without changes every 20 s, so that it stays usable.
func TestWritesAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, _ := load(t.TempDir())
		defer f.run(t)()
		var known []message.BackendServer
		for i := range 100 {
			known = append(known, server(fmt.Sprintf("i-%03d", i)))
			f.set(known...)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		is.Equal(f.files.writes.Load(), int64(3)) // after 0, 500 and 1,000 ms
		for sequence := range uint64(50) {
			known[0].Sequence = 100 + sequence
			f.set(known...)
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(f.files.writes.Load(), int64(3))
		time.Sleep(2 * time.Minute)
		writes := f.files.writes.Load()
		is.True(writes >= 3+4 && writes <= 3+7)
		_, restored := load(f.Folder)
		is.Equal(len(restored.Servers), 100)
	})
}

// Guards against a full disk that stops more than the list: the failure is logged once, the previous
// file stays, and the list is written once there is space.
func TestDiskFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, _ := load(t.TempDir())
		defer f.run(t)()
		f.set(server("a"))
		synctest.Wait()
		f.files.full.Store(true)
		f.set(server("a"), server("b"))
		time.Sleep(10 * time.Second)
		is.True(f.Failures() > 10)
		_, restored := load(f.Folder)
		is.Equal(instances(restored), "a")
		f.files.full.Store(false)
		time.Sleep(time.Second)
		_, restored = load(f.Folder)
		is.Equal(instances(restored), "a b")
		synctest.Wait()
		is.Equal(strings.Count(f.log.String(), "not written"), 1)
		is.Equal(strings.Count(f.log.String(), "written again"), 1)
	})
}

// Guards against a list that a restart shortens: it is not written before the servers are known.
func TestNothingIsWrittenBeforeServersAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, _ := load(t.TempDir())
		defer f.run(t)()
		f.RequestSave()
		time.Sleep(time.Second)
		is.Equal(f.files.writes.Load(), int64(0))
		f.set() // without servers and without a file, there is nothing to write
		time.Sleep(time.Minute)
		is.Equal(f.files.writes.Load(), int64(0))
		f.set(server("a"))
		time.Sleep(time.Second)
		is.Equal(f.files.writes.Load(), int64(1))
		f.set()
		time.Sleep(time.Second)
		is.Equal(f.files.writes.Load(), int64(2))
		_, restored := load(f.Folder)
		is.Equal(len(restored.Servers), 0)
	})
}
