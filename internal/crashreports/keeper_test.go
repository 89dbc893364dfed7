package crashreports

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/quarantine"
)

// keeper returns one on a folder, which has read what is there.
func keeper(folder string) *DiskStore {
	k := &DiskStore{Folder: folder, Logger: slog.New(slog.DiscardHandler)}
	k.Store = quarantine.New(quarantine.Config{SendReports: func([]message.CrashReport) { k.RequestSave() }})
	k.Load()
	return k
}

func reports() []message.CrashReport {
	var list []message.CrashReport
	for i := range quarantine.Limit {
		list = append(list, message.CrashReport{Fingerprint: 1, Instance: fmt.Sprint(i), Age: time.Minute})
	}
	return list
}

// eventually waits until the note is there, or not for more than a second.
func eventually(t *testing.T, path string) {
	t.Helper()
	for range 100 {
		if _, err := os.Stat(path); err == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("nothing was kept")
}

// What is known is read after a restart, with its age; a folder that can't be written keeps
// nothing up; a note that is damaged is passed over.
func TestKeeper(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	path := filepath.Join(folder, noteName)
	ctx, cancel := context.WithCancel(t.Context())
	first := keeper(folder)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		first.Run(ctx)
	}()
	first.Store.ApplyReports(reports(), true)
	eventually(t, path)
	cancel()
	<-stopped
	kept := keeper(folder).Store.Reports()
	is.Equal(len(kept), quarantine.Limit)
	is.True(kept[0].Age >= time.Minute)
	is.True(kept[0].Age < 2*time.Minute)
	is.NoErr(os.WriteFile(path, []byte("damaged"), 0o600))
	is.Equal(len(keeper(folder).Store.Reports()), 0)
}

// Symptom: a control VM stops telling forwarders of requests that crash servers. Sequence:
// its disk is full when there is something to keep. Cause: a write that is waited for.
func TestKeeperOnABadDisk(t *testing.T) {
	is := is.New(t)
	k := keeper(filepath.Join(t.TempDir(), "missing"))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go k.Run(ctx)
	for range 3 {
		k.Store.ApplyReports(reports(), true)
	}
	is.Equal(len(k.Store.Reports()), quarantine.Limit)
}
