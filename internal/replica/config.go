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

// Default values of the fields of Config.
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
	// Name is the name of this member and of the subject of its certificate.
	Name string
	// Group names the agreement group; empty means "control".
	Group string
	// Members are the founders of the group on its first start, and the processes whose messages
	// are accepted. Once a log exists, the voting members are those agreed in the log.
	Members []message.Member
	// JoinOnly is set unless this is the first start of a founder. A member whose data folder is new then
	// founds no group. The folder records the first start, so that a founder that restarts before the
	// group is founded may still found it.
	JoinOnly bool
	// AddressOf returns the address of a process by its name. It is for groups whose Members do not
	// list every process that may become a member: messages of processes that are not known as
	// members are then accepted too, and the caller of Serve must admit only control VMs. If it is
	// nil, only the messages of known members are accepted.
	AddressOf func(name string) string
	// MinVoters is the number of voters that the group keeps when it removes members that leave or do
	// not answer; zero means that it removes none.
	MinVoters int
	// DataFolder holds the log and the snapshots.
	DataFolder string
	// Dialer opens streams to the other members.
	Dialer peer.Dialer
	// Machine is the state machine that the agreed commands are applied to. No other code may
	// change it.
	Machine control.Machine
	// Logger receives changes of leadership and faults; nil means none.
	Logger *slog.Logger
	// TickEvery is the unit of the election timing; zero means 25ms. A leader that crashes is
	// replaced after 12 to 24 ticks.
	TickEvery time.Duration
	// SnapshotEntries is the number of applied entries after which a snapshot is made; zero means
	// 20,000.
	SnapshotEntries uint64
	// SnapshotBytes is the number of bytes of applied commands after which a snapshot is made; zero
	// means 64 MiB.
	SnapshotBytes int64
	// TailEntries is the number of entries before a snapshot that are kept, for members that lag
	// slightly; zero means 4,096.
	TailEntries uint64
	// MaxUnapplied bounds the proposals that are appended and not yet applied; zero means 8,192.
	MaxUnapplied uint64
	// MinFreeBytes is the free disk space below which proposals are refused; zero means 64 MiB.
	MinFreeBytes uint64
	// StopWithin bounds a graceful stop; zero means 2s.
	StopWithin time.Duration
	// Seed makes the election timing differ between members; zero derives a seed from the name.
	Seed uint64
	// FileSystem replaces the VM's own file system if it is not nil.
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
