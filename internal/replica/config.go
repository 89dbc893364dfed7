package replica

import (
	"log/slog"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer/control"
)

// Config configures a Replica. Name, Members, DataFolder and Machine are
// required; Dialer is required if there is more than one member.
type Config struct {
	// Name is this member's name; it is also the name in its certificate.
	Name string
	// Group names the agreement group; empty means "control".
	Group string
	// Members founds the group on its first start. Once a log exists, the
	// members are the ones agreed in it and this list is not looked at.
	Members []message.Member
	// DataFolder holds the log and the snapshots.
	DataFolder string
	// Dialer opens streams to the other members.
	Dialer peer.Dialer
	// Machine is fed the agreed commands. No other code may change it.
	Machine control.Machine
	// Logger takes changes of leadership and faults; nil means none.
	Logger *slog.Logger
	// TickEvery is the unit of election timing; zero means 25ms.
	TickEvery time.Duration
	// SnapshotEntries is how many applied entries lead to a snapshot; zero
	// means 20,000.
	SnapshotEntries uint64
	// SnapshotBytes is how many bytes of log lead to a snapshot; zero means
	// 64 MiB.
	SnapshotBytes int64
	// MaxUnapplied bounds the proposals that are appended and not yet
	// applied; zero means 8,192.
	MaxUnapplied int
	// Seed makes election timing differ between members; zero takes one from
	// the name.
	Seed uint64
}
