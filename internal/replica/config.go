package replica

import (
	"cmp"
	"hash/fnv"
	"log/slog"
	"time"

	"github.com/oriolebend/oriolebend/internal/disk"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer/control"
)

// Defaults of Config.
const (
	DefaultGroup           = "control"
	DefaultTickEvery       = 25 * time.Millisecond
	DefaultSnapshotEntries = 20_000
	DefaultSnapshotBytes   = 64 << 20
	DefaultMinFreeBytes    = 64 << 20
	DefaultStopWithin      = 2 * time.Second
)

// Config configures a Replica. Name, Members, DataFolder and Machine are
// required; Dialer is required if there is more than one member.
type Config struct {
	// Name is this member's name; it is also the name in its certificate.
	Name string
	// Group names the agreement group; empty means "control".
	Group string
	// Members founds the group on its first start, and names the processes
	// whose messages are listened to. Once a log exists, the members that vote
	// are the ones agreed in it.
	Members []message.Member
	// AddressOf finds the address of a process by its name, where Members do not
	// list every process that may become a member. Who is not known as a member
	// is then listened to as well; the caller of Serve must let in none but
	// control VMs. Nil listens to known members only.
	AddressOf func(name string) string
	// DataFolder holds the log and the snapshots.
	DataFolder string
	// Dialer opens streams to the other members.
	Dialer peer.Dialer
	// Machine is fed the agreed commands. No other code may change it.
	Machine control.Machine
	// Logger takes changes of leadership and faults; nil means none.
	Logger *slog.Logger
	// TickEvery is the unit of election timing; zero means 25ms. A leader that
	// dies is replaced after 12 to 24 ticks.
	TickEvery time.Duration
	// SnapshotEntries is how many applied entries lead to a snapshot; zero
	// means 20,000.
	SnapshotEntries uint64
	// SnapshotBytes is how many bytes of log lead to a snapshot; zero means
	// 64 MiB.
	SnapshotBytes int64
	// TailEntries is how many entries stay before a snapshot, for members that
	// lag a little; zero means 4,096.
	TailEntries uint64
	// MaxUnapplied bounds the proposals that are appended and not yet
	// applied; zero means 8,192.
	MaxUnapplied uint64
	// MinFreeBytes is how much room the disk must have for proposals to be
	// taken; zero means 64 MiB.
	MinFreeBytes uint64
	// StopWithin bounds a graceful stop; zero means 2s.
	StopWithin time.Duration
	// Seed makes election timing differ between members; zero takes one from
	// the name.
	Seed uint64
	// FileSystem is the VM's own if nil.
	FileSystem disk.FileSystem
}

func (c Config) withDefaults() Config {
	c.Group = cmp.Or(c.Group, DefaultGroup)
	c.TickEvery = cmp.Or(c.TickEvery, DefaultTickEvery)
	c.SnapshotEntries = cmp.Or(c.SnapshotEntries, DefaultSnapshotEntries)
	c.SnapshotBytes = cmp.Or(c.SnapshotBytes, DefaultSnapshotBytes)
	c.MinFreeBytes = cmp.Or(c.MinFreeBytes, DefaultMinFreeBytes)
	c.StopWithin = cmp.Or(c.StopWithin, DefaultStopWithin)
	c.Seed = cmp.Or(c.Seed, seedOf(c.Name))
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return c
}

func seedOf(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// founders returns the configured members as voters.
func (c Config) founders() []message.Member {
	founders := make([]message.Member, 0, len(c.Members))
	for _, m := range c.Members {
		m.Voter = true
		founders = append(founders, m)
	}
	return founders
}
