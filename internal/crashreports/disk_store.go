package crashreports

import (
	"context"
	"log/slog"
	"time"

	"github.com/oriolebend/oriolebend/internal/disk"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/quarantine"
)

// noteName is the name of the file in the data folder that holds the reports.
const noteName = "crashes"

// DiskStore saves the reports of requests under which several servers crashed in the data
// folder of a control VM.
//
// Otherwise the reports are only in memory. After a power loss of all VMs, the next three attempts
// of such a request would each crash a server again, and more than three if all callers retry at
// that moment. The reports are not part of the agreed log: each control VM keeps them by itself,
// also without a quorum.
type DiskStore struct {
	Folder string
	Store  *quarantine.Store
	Logger *slog.Logger

	note *disk.NoteWriter[savedReports]
}

// savedReports is the content of the file.
type savedReports struct {
	// At is when the reports were saved, in milliseconds since 1970 by the clock of the VM; the
	// ages of the reports are relative to At.
	At      int64                 `cbor:"at"`
	Reports []message.CrashReport `cbor:"reports"`
}

// Load applies the saved reports; it must be called before RequestSave and Run.
func (s *DiskStore) Load() {
	s.note = disk.NewNoteWriter(disk.NoteConfig[savedReports]{
		Folder: s.Folder, Name: noteName, Logger: s.Logger,
		Value: func() savedReports { return savedReports{At: time.Now().UnixMilli(), Reports: s.Store.Reports()} },
	})
	var saved savedReports
	if !s.note.Load(&saved) {
		return
	}
	since := max(0, time.Since(time.UnixMilli(saved.At)))
	for i := range saved.Reports {
		saved.Reports[i] = saved.Reports[i].Older(since)
	}
	s.Store.ApplyReports(saved.Reports, false)
	s.Logger.Info("crash reports read", "reports", len(saved.Reports), "ageMs", since.Milliseconds())
}

// RequestSave has Run save the current reports. It does not block.
func (s *DiskStore) RequestSave() { s.note.RequestSave() }

// Run saves the reports after each RequestSave until ctx ends.
func (s *DiskStore) Run(ctx context.Context) { s.note.Run(ctx) }
