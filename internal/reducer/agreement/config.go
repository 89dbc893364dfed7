package agreement

import (
	"cmp"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Defaults of Config.
const (
	DefaultHeartbeatTicks    = 2
	DefaultElectionTicks     = 12
	DefaultPreVoteTicks      = 2
	DefaultLeaseTicks        = 9
	DefaultMaxUnapplied      = 8192
	DefaultMaxUnappliedBytes = 64 << 20
	DefaultMaxCommandBytes   = 8 << 20
	DefaultAppendBytes       = 256 << 10
	DefaultChunkBytes        = 256 << 10
	DefaultWindowEntries     = 4096
	DefaultTailEntries       = 4096
	DefaultTailBytes         = 16 << 20
)

// Bounds of a group's size.
const (
	// MinVoters is what a removal must leave in a group that has as many.
	MinVoters = 3
	// MaxMembers bounds the VMs of a group, catching-up ones included: six that
	// stay, and room for those that replace two of them before the old ones are
	// removed.
	MaxMembers = 8
)

// Config configures a member's reducer. Name is required.
type Config struct {
	// Name is this member.
	Name string
	// Group names the group; messages of other groups are ignored.
	Group string
	// Founders are the members of a group that has no log yet.
	Founders []message.Member
	// Seed makes the election timing of members differ.
	Seed uint64
	// Start tells this start of the member from its others; zero has it wait for leases that
	// it may have granted before, whatever the others say.
	Start uint64
	// HeartbeatTicks is the time between two heartbeats of a leader.
	HeartbeatTicks uint64
	// ElectionTicks is how long a member waits for its leader: it grants no
	// vote before, and stands for election after this and as much again at
	// random.
	ElectionTicks uint64
	// PreVoteTicks is how long a member that would stand for election waits before it
	// asks again whether it would win; as much again at random.
	PreVoteTicks uint64
	// LeaseTicks is how long a leader goes on leading after the last round
	// that a quorum answered. It must be less than ElectionTicks; the
	// difference covers clocks of unequal rate.
	LeaseTicks uint64
	// MaxUnapplied and MaxUnappliedBytes bound what is appended and not yet
	// applied; further proposals are refused.
	MaxUnapplied      uint64
	MaxUnappliedBytes int
	// MaxCommandBytes bounds one command.
	MaxCommandBytes int
	// AppendBytes and ChunkBytes bound the payload of one message.
	AppendBytes int
	ChunkBytes  int
	// WindowEntries bounds the entries under way to one member.
	WindowEntries uint64
	// TailEntries is how many entries stay before a snapshot, for members
	// that lag a little.
	TailEntries uint64
	// TailBytes bounds the size of those entries.
	TailBytes int
}

func (c Config) withDefaults() Config {
	c.HeartbeatTicks = cmp.Or(c.HeartbeatTicks, DefaultHeartbeatTicks)
	c.ElectionTicks = cmp.Or(c.ElectionTicks, DefaultElectionTicks)
	c.PreVoteTicks = cmp.Or(c.PreVoteTicks, DefaultPreVoteTicks)
	c.LeaseTicks = cmp.Or(c.LeaseTicks, DefaultLeaseTicks)
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
