package agreement

import (
	"cmp"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Default values of the fields of Config.
const (
	DefaultHeartbeatTicks     = 2
	DefaultElectionTicks      = 12
	DefaultPreVoteTicks       = 2
	DefaultLeaseTicks         = 9
	DefaultGraceTicks         = 12
	DefaultRemoveTicks        = 320
	DefaultRemoveSurplusTicks = 60
	DefaultMaxUnapplied       = 8192
	DefaultMaxUnappliedBytes  = 64 << 20
	DefaultMaxCommandBytes    = 8 << 20
	DefaultAppendBytes        = 256 << 10
	DefaultChunkBytes         = 256 << 10
	DefaultWindowEntries      = 4096
	DefaultTailEntries        = 4096
	DefaultTailBytes          = 16 << 20
)

// Limits of the size of a group.
const (
	// MinVoters is the number of voters that a removal must leave in a group that has at least as
	// many.
	MinVoters = 3
	// MaxMembers is the maximum number of members of a group, non-voting ones included: six
	// permanent ones, and two replacements that join before the members that they replace are
	// removed.
	MaxMembers = 8
)

// Config configures a member's reducer. Name is required.
type Config struct {
	// Name is the name of this member.
	Name string
	// Group identifies the group; messages of other groups are ignored.
	Group string
	// Founders are the initial members of a group that has no log yet.
	Founders []message.Member
	// JoinOnly is set if the member may have lost its data folder. While its log is empty it then does
	// not stand for election, as it would found a second group if no other founder has a log; it still
	// votes.
	JoinOnly bool
	// Seed seeds the random part of the election timing, so that it differs between members.
	Seed uint64
	// Start identifies this incarnation of the member. If it is zero, the member waits for leases
	// that it may have granted before its start, whatever the other members report.
	Start uint64
	// HeartbeatTicks is the interval between two heartbeats of a leader.
	HeartbeatTicks uint64
	// ElectionTicks is the election timeout; it and the times that depend on it are longer in a term of
	// which messages arrive late (State.TimeoutScale). A member grants no vote until this long after the
	// last message from its leader, and stands for election after this and a random time of up to
	// as much again.
	ElectionTicks uint64
	// PreVoteTicks is the delay before a pre-candidate requests pre-votes again; a random time of
	// up to as much again is added.
	PreVoteTicks uint64
	// GraceTicks is how long a leader whose lease has expired waits for the answers of a quorum before
	// it steps down.
	GraceTicks uint64
	// LeaseTicks is how long a leader keeps leading after the last round that a quorum answered.
	// It must be less than ElectionTicks; the difference covers clocks that run at different
	// rates.
	LeaseTicks uint64
	// MaxUnapplied and MaxUnappliedBytes bound the entries that are appended and not yet applied;
	// further proposals are refused.
	MaxUnapplied      uint64
	MaxUnappliedBytes int
	// MaxCommandBytes bounds the size of one command.
	MaxCommandBytes int
	// AppendBytes and ChunkBytes bound the payload of one message.
	AppendBytes int
	ChunkBytes  int
	// WindowEntries bounds the entries in flight to one member.
	WindowEntries uint64
	// MinVoters is the number of voters that the group keeps when it removes members that leave or do
	// not answer. Zero means that it removes none.
	MinVoters int
	// RemoveTicks is how long a member may be unreachable before it is removed. The time is several
	// times as long as a restart and longer than a partition of a few seconds. A member that returns
	// later joins again.
	RemoveTicks uint64
	// RemoveSurplusTicks applies in place of RemoveTicks if the group can bear more losses without
	// the member.
	RemoveSurplusTicks uint64
	// TailEntries is the number of entries before a snapshot that are kept, for members that lag
	// slightly.
	TailEntries uint64
	// TailBytes bounds the total size of the entries kept before a snapshot.
	TailBytes int
}

func (c Config) withDefaults() Config {
	c.HeartbeatTicks = cmp.Or(c.HeartbeatTicks, DefaultHeartbeatTicks)
	c.ElectionTicks = cmp.Or(c.ElectionTicks, DefaultElectionTicks)
	c.PreVoteTicks = cmp.Or(c.PreVoteTicks, DefaultPreVoteTicks)
	c.LeaseTicks = cmp.Or(c.LeaseTicks, DefaultLeaseTicks)
	c.GraceTicks = cmp.Or(c.GraceTicks, DefaultGraceTicks)
	c.RemoveTicks = cmp.Or(c.RemoveTicks, DefaultRemoveTicks)
	c.RemoveSurplusTicks = cmp.Or(c.RemoveSurplusTicks, DefaultRemoveSurplusTicks)
	c.MaxUnapplied = cmp.Or(c.MaxUnapplied, DefaultMaxUnapplied)
	c.MaxUnappliedBytes = cmp.Or(c.MaxUnappliedBytes, DefaultMaxUnappliedBytes)
	c.MaxCommandBytes = cmp.Or(c.MaxCommandBytes, DefaultMaxCommandBytes)
	c.AppendBytes = cmp.Or(c.AppendBytes, DefaultAppendBytes)
	c.ChunkBytes = cmp.Or(c.ChunkBytes, DefaultChunkBytes)
	c.WindowEntries = cmp.Or(c.WindowEntries, DefaultWindowEntries)
	c.TailEntries = cmp.Or(c.TailEntries, DefaultTailEntries)
	c.TailBytes = cmp.Or(c.TailBytes, DefaultTailBytes)
	return c
}
