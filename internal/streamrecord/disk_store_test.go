package streamrecord

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/oriolebend/oriolebend/internal/disk"
	"github.com/oriolebend/oriolebend/internal/message"
)

// files is the file system of the VM, on a disk that may be full.
type files struct {
	disk.OS
	full atomic.Bool
}

func (f *files) Create(path string) (disk.File, error) {
	if f.full.Load() {
		return nil, syscall.ENOSPC
	}
	return f.OS.Create(path)
}

// Guards against a full disk that loses the records for good: the file of before stays, and is replaced
// once there is space.
func TestDiskFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &DiskStore{Folder: t.TempDir(), Server: &Server{}, Logger: slog.New(slog.DiscardHandler), Files: &files{}}
		d.Load()
		go d.Run(t.Context())
		add := func(stream uint64) {
			d.Server.answer(time.Now(), message.StreamRecordRequest{Records: []message.StreamRecord{{Stream: stream, ResumableFor: time.Minute}}})
			time.Sleep(time.Second)
		}
		add(1)
		d.Files.(*files).full.Store(true)
		add(2)
		is.Equal(loadDiskStore(d.Folder).Server.Len(), 1)
		d.Files.(*files).full.Store(false)
		time.Sleep(saveRetryDelay)
		is.Equal(loadDiskStore(d.Folder).Server.Len(), 2)
	})
}

// loadDiskStore returns a server that has loaded the records of a folder.
func loadDiskStore(folder string) *DiskStore {
	d := &DiskStore{Folder: folder, Server: &Server{}, Logger: slog.New(slog.DiscardHandler)}
	d.Load()
	return d
}

// Records are loaded after a restart, and kept for as long as their streams could be resumed when they
// were saved. A damaged file is ignored.
func TestDiskStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		folder := t.TempDir()
		origin := message.StreamOrigin{Service: "s", SoftwareVersion: "v1"}
		first := loadDiskStore(folder)
		go first.Run(t.Context())
		first.Server.answer(time.Now(), message.StreamRecordRequest{Records: []message.StreamRecord{
			{Stream: 1, Content: 7, Origin: origin, ResumableFor: 10 * time.Second},
			{Stream: 2, Content: 8, Origin: origin, ResumableFor: 40 * time.Second},
			{Stream: 9, Content: 9, Origin: origin, ResumableFor: 40 * time.Second},
		}})
		time.Sleep(20 * time.Second)
		find := func(d *DiskStore, key uint64) *message.StreamOrigin {
			return d.Server.answer(time.Now(), message.StreamRecordRequest{Key: key}).Origin
		}
		second := loadDiskStore(folder)
		is.Equal(find(second, 2), &origin)
		is.Equal(second.Server.Len(), 2) // contents are not saved
		time.Sleep(11 * time.Second)
		is.Equal(find(second, 1), nil)
		is.Equal(find(second, 2), &origin)
		time.Sleep(30 * time.Second)
		is.Equal(find(second, 2), nil)
		other := savedRecords{Version: noteVersion + 1, At: time.Now().UnixMilli(), Origins: []message.StreamOrigin{origin}}
		other.Entries = []savedEntry{{Stream: 3, LeftMs: time.Minute.Milliseconds()}}
		is.NoErr(disk.WriteNote(disk.OS{}, folder, noteName, other))
		is.Equal(loadDiskStore(folder).Server.Len(), 0)
		is.NoErr(os.WriteFile(filepath.Join(folder, noteName), []byte("damaged"), 0o600))
		is.Equal(loadDiskStore(folder).Server.Len(), 0)
	})
}

// Guards against streams that can't be resumed after a restart at which the clock of the VM was set
// forward.
func TestClockIsSetForwardAtARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		folder := t.TempDir()
		origin := message.StreamOrigin{Service: "s", SoftwareVersion: "v1"}
		const step = 30 * time.Second
		saved := savedRecords{Version: noteVersion, At: time.Now().Add(-step).UnixMilli(), Origins: []message.StreamOrigin{origin}}
		saved.Entries = []savedEntry{{Stream: 1, LeftMs: (12 * time.Second).Milliseconds()}}
		is.NoErr(disk.WriteNote(disk.OS{}, folder, noteName, saved))
		found := loadDiskStore(folder).Server.answer(time.Now(), message.StreamRecordRequest{Key: 1}).Origin
		is.Equal(found, &origin)
	})
}

// Guards against records that a control VM answers differently after its restart: it may forget some,
// and must not know other origins.
func TestSavedRecordsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2131, 3, 1, 0, 0, 0, 0, time.UTC)
		var before, after Table
		for range rapid.IntRange(0, 30).Draw(t, "records") {
			before.Add(now, message.StreamRecord{
				Stream: rapid.Uint64Range(1, 9).Draw(t, "stream"), Content: rapid.Uint64Range(0, 12).Draw(t, "content"),
				Origin:       message.StreamOrigin{Service: "s", SoftwareVersion: fmt.Sprint(rapid.IntRange(1, 2).Draw(t, "version"))},
				ResumableFor: time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second,
			})
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
		}
		age := time.Duration(rapid.IntRange(0, 15).Draw(t, "age")) * time.Second
		after.restore(now.Add(age), before.saved(now))
		for left := time.Duration(0); left < time.Minute; left += time.Second {
			for key := range uint64(13) {
				was, conflicted := before.Find(now.Add(left), key)
				is, conflicts := after.Find(now.Add(age+left), key)
				if is != nil && (was == nil || *was != *is) || conflicts && !conflicted {
					t.Fatalf("key %d: %v, %t before, %v, %t after", key, was, conflicted, is, conflicts)
				}
				e := before.entries[key]
				if (was != nil || conflicted) && !e.ofContent && is == nil && !conflicts {
					t.Fatalf("stream %d forgotten: %v", key, e)
				}
			}
		}
	})
}
