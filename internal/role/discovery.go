package role

import "github.com/oriolebend/oriolebend/internal/disk"

const (
	// controlsNote is the name of the note that holds the known control VMs.
	controlsNote = "controls"
	// maxFormerControls bounds the control VMs that are watched on when no other one lists them.
	maxFormerControls = 16
)

// savedControls is the content of the note with the known control VMs.
type savedControls struct {
	Addresses []string `cbor:"addresses"`
}

// loadControls returns the control VMs that were known before a restart, and prepares saving them.
//
// Members know each other from the log, but relays only from their sessions. After a restart of all VMs
// relays whose seeds are relays, and members whose seeds are members, would not find each other.
func (c *ControlProcess) loadControls() []string {
	c.controls = disk.NewNoteWriter(disk.NoteConfig[savedControls]{
		Folder: c.process.Settings.Control.DataFolder, Name: controlsNote, Logger: c.process.Logger,
		Value: func() savedControls { return savedControls{Addresses: c.observer.Addresses()} },
	})
	var saved savedControls
	c.controls.Load(&saved)
	return saved.Addresses
}
