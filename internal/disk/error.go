package disk

import "fmt"

// Kind says what is wrong with a data folder.
type Kind string

const (
	// KindDamaged is a file whose synced content can't be read back.
	KindDamaged Kind = "damaged"
	// KindOldFormat is a folder of an earlier version of the program.
	KindOldFormat Kind = "oldFormat"
	// KindUnknownFormat is a folder of a later version, or of something else.
	KindUnknownFormat Kind = "unknownFormat"
	// KindForeign is a folder of another member or group.
	KindForeign Kind = "foreign"
	// KindLocked is a folder that another process uses.
	KindLocked Kind = "locked"
	// KindFull is a write for which the disk had no room; nothing of it
	// remains and it may be tried again.
	KindFull Kind = "full"
	// KindSync is a failed sync. What was written may or may not be durable,
	// so the process must stop.
	KindSync Kind = "sync"
	// KindIO is any other failure of the file system; the process must stop.
	KindIO Kind = "io"
	// KindOccupied is a folder that a backup or restore would overwrite.
	KindOccupied Kind = "occupied"
	// KindClosed is a store that was closed.
	KindClosed Kind = "closed"
)

// Error is every failure of this package.
type Error struct {
	Kind Kind
	// File and Offset tell where, as far as that is known.
	File   string
	Offset int64
	Detail string
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("data folder: %s", e.Kind)
	if e.File != "" {
		text += fmt.Sprintf(": %s at byte %d", e.File, e.Offset)
	}
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the error beneath.
func (e *Error) Unwrap() error { return e.Cause }

// Fatal tells whether the process must stop.
func (e *Error) Fatal() bool { return e.Kind != KindFull }
