package crashreports

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/disk"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/quarantine"
)

// loadDiskStore returns a store for a folder that has loaded the saved reports.
func loadDiskStore(folder string) *DiskStore {
	s := &DiskStore{Folder: folder, Logger: slog.New(slog.DiscardHandler)}
	s.Store = quarantine.New(quarantine.Config{SendReports: func([]message.CrashReport) { s.RequestSave() }})
	s.Load()
	return s
}

func reports() []message.CrashReport {
	var list []message.CrashReport
	for i := range quarantine.Limit {
		list = append(list, message.CrashReport{Fingerprint: 1, Instance: fmt.Sprint(i), Age: time.Minute})
	}
	return list
}

// Reports are loaded after a restart, with their age. A damaged file is ignored.
func TestDiskStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		folder := t.TempDir()
		path := filepath.Join(folder, noteName)
		ctx, cancel := context.WithCancel(t.Context())
		first := loadDiskStore(folder)
		go first.Run(ctx)
		first.Store.ApplyReports(reports(), true)
		synctest.Wait()
		_, err := os.Stat(path)
		is.NoErr(err) // written at once
		cancel()
		time.Sleep(time.Second)
		loaded := loadDiskStore(folder).Store.Reports()
		is.Equal(len(loaded), quarantine.Limit)
		is.Equal(loaded[0].Age, time.Minute+time.Second)
		is.NoErr(os.WriteFile(path, []byte("damaged"), 0o600))
		is.Equal(len(loadDiskStore(folder).Store.Reports()), 0)
	})
}

// Guards against a control VM that stops sending crash reports because its disk is full: adding
// reports must not wait for the disk.
func TestDiskStoreWithoutDisk(t *testing.T) {
	is := is.New(t)
	s := loadDiskStore(filepath.Join(t.TempDir(), "missing"))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.Run(ctx)
	for range 3 {
		s.Store.ApplyReports(reports(), true)
	}
	is.Equal(len(s.Store.Reports()), quarantine.Limit)
}

// Guards against a part that crashes servers and is sent to them again after a power loss: a server
// answered it before it turned deadly, and the answer must not become younger than the crashes.
func TestSavedAnswerKeepsItsAge(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	var list []message.CrashReport
	for i := range quarantine.Limit {
		list = append(list, message.CrashReport{
			Fingerprint: 1, Part: true, Requests: []uint64{uint64(i + 2)}, Instance: fmt.Sprint(i),
			Age: time.Duration(i) * time.Second, AnsweredAge: time.Hour,
		})
	}
	is.NoErr(disk.WriteNote(disk.OS{}, folder, noteName, savedReports{
		At: time.Now().Add(-2 * time.Hour).UnixMilli(), Reports: list,
	}))
	loaded := loadDiskStore(folder).Store.Reports()
	is.Equal(len(loaded), quarantine.Limit)
	for _, report := range loaded {
		is.True(!report.Refuted)
		is.True(report.AnsweredAge >= 3*time.Hour)
	}
}
