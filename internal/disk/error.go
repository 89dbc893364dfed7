package disk

import "fmt"

// Kind is the kind of a failure of a data folder.
type Kind string

const (
	// KindDamaged is a file whose synced content can't be read back.
	KindDamaged Kind = "damaged"
	// KindOldFormat is a folder of an earlier version of the program.
	KindOldFormat Kind = "oldFormat"
	// KindUnknownFormat is a folder of a later version, or not a data folder of this program.
	KindUnknownFormat Kind = "unknownFormat"
	// KindForeign is a folder of another member or group.
	KindForeign Kind = "foreign"
	// KindLocked is a folder that another process uses.
	KindLocked Kind = "locked"
	// KindFull is a write for which the disk had no space; nothing of it remains, and it may be
	// retried.
	KindFull Kind = "full"
	// KindSync is a failed sync. The written data may or may not be durable, so the process must
	// stop.
	KindSync Kind = "sync"
	// KindIO is any other failure of the file system; the process must stop.
	KindIO Kind = "io"
	// KindOccupied is a folder that a backup or restore would overwrite.
	KindOccupied Kind = "occupied"
	// KindClosed is a store that has been closed.
	KindClosed Kind = "closed"
)

// Error is the type of all errors of this package.
type Error struct {
	Kind Kind
	// File and Offset are the place of the failure, as far as it is known.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Fatal reports whether the process must stop.
func (e *Error) Fatal() bool { return e.Kind != KindFull }
