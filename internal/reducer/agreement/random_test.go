package agreement

import (
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/oriolebend/oriolebend/internal/fixedseed"
	"pgregory.net/rapid"
)

// Each run of the tests checks shards times randomChecks random interleavings.
const (
	shards       = 4
	randomChecks = "500"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		if err := f.Value.Set(randomChecks); err != nil {
			panic(err)
		}
	}
	os.Exit(fixedseed.Run(m))
}

func smallConfig() Config {
	return Config{
		Group: "g", AppendBytes: 150, ChunkBytes: 5, WindowEntries: 4, TailEntries: 3,
		MaxUnapplied: 16,
	}
}

// TestRandomInterleavings guards against accepted commands that are lost and members that differ.
// It tries random orders of lost, duplicated and reordered messages, crashes that lose or keep
// unsynced writes, lost data folders, pauses, snapshots and membership changes.
func TestRandomInterleavings(t *testing.T) {
	for shard := range shards {
		t.Run(strconv.Itoa(shard), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) { interleave(rt, shard) })
		})
	}
}

// interleave runs one random interleaving. The shard is mixed into the seed, because all shards
// draw the same values from rapid.
func interleave(t *rapid.T, shard int) {
	names := []string{"a", "b", "c", "d", "e"}
	seed := rapid.SliceOfN(rapid.Byte(), chachaSeedBytes, chachaSeedBytes).Draw(t, "seed")
	seed[0] ^= byte(shard)
	d := dice{rand.New(rand.NewChaCha8([chachaSeedBytes]byte(seed)))}
	s := newSim(names, []int{1, 3, 3, 3, 5}[d.IntN(5)], smallConfig(), func(s *sim) { s.exchangeStarts, s.outlives = shard%2 == 1, shard >= shards/2 })
	s.run(40)
	weights := drawWeights(d)
	for range rapid.IntRange(50, 400).Draw(t, "steps") {
		s.step(d, weights)
		if s.failure != "" {
			t.Fatalf("tick %d: %s", s.now, s.failure)
		}
	}
	s.recoverAll(t)
}

// recoverAll heals all links, starts all members, and checks that the group works again and holds
// every entry that was confirmed.
func (s *sim) recoverAll(t *rapid.T) {
	s.cut = map[[2]string]bool{}
	for _, v := range s.vms {
		if !v.alive && v.state != nil {
			s.start(v)
		}
	}
	s.run(150)
	leader := s.leader()
	if s.failure != "" || leader == nil {
		t.Fatalf("after healing: has leader %t, %s%s", leader != nil, s.failure, s.status())
	}
	s.propose(leader, 1)
	s.confirm(leader)
	s.run(20)
	if s.failure != "" || leader.index < s.acked || leader.index != leader.state.Last() {
		t.Fatalf("after healing: applied %d of %d, confirmed %d: %s",
			leader.index, leader.state.Last(), s.acked, s.failure)
	}
}

// dice draws the interleaving. The seed comes from rapid; the draws do not, because rapid prefers
// small numbers, which would make most actions rare.
type dice struct{ *rand.Rand }

const chachaSeedBytes = 32

// oneIn returns true once in n draws on average.
func (d dice) oneIn(n int) bool { return d.IntN(n) == 0 }

// action is one kind of step. Each run draws its own weights of the actions.
type action int

const (
	actAdvance action = iota
	actDeliver
	actSync
	actPropose
	actConfirm
	actSnapshot
	actRestart
	actTransfer
	actChange
	actCut
	actRun
	actions
)

func drawWeights(d dice) []action {
	usual := [actions]int{25, 30, 15, 8, 4, 3, 4, 1, 3, 3, 2}
	var drawn []action
	for a, weight := range usual {
		for range weight * []int{0, 1, 1, 3}[d.IntN(4)] {
			drawn = append(drawn, action(a))
		}
	}
	return append(drawn, actAdvance, actDeliver, actSync, actPropose)
}

func (s *sim) step(d dice, weights []action) {
	v := s.vms[d.IntN(len(s.vms))]
	if v.state == nil {
		s.start(v)
		return
	}
	switch weights[d.IntN(len(weights))] {
	case actAdvance:
		s.advanceTime(d)
	case actDeliver:
		s.deliverSome(d)
	case actSync:
		s.sync(v, 1+d.IntN(4))
	case actPropose:
		s.propose(v, 1+d.IntN(3))
	case actConfirm:
		s.confirm(v)
	case actSnapshot:
		s.makeSnapshot(v)
	case actRestart:
		s.restart(d, v)
	case actTransfer:
		s.feed(v, TransferRequested{s.clock(v)})
	case actChange:
		s.changeMembers(d, v)
	case actCut:
		s.toggleCut(d, v)
	case actRun:
		s.run(1 + d.IntN(15))
	}
}

// advanceTime advances the clock; members that receive no tick are paused.
func (s *sim) advanceTime(d dice) {
	s.now += []uint64{1, 1, 1, 3, 14}[d.IntN(5)]
	for _, v := range s.vms {
		if !d.oneIn(5) {
			s.feed(v, Ticked{s.clock(v)})
		}
	}
}

func (s *sim) deliverSome(d dice) {
	for range 1 + d.IntN(8) {
		if len(s.inFlight) == 0 {
			return
		}
		i := d.IntN(len(s.inFlight))
		switch d.IntN(20) {
		case 0:
			s.inFlight = append(s.inFlight, s.inFlight[i])
			s.deliver(i)
		case 1:
			s.inFlight = slices.Delete(s.inFlight, i, i+1)
		case 2, 3, 4:
			s.deliver(i)
		default:
			s.deliver(0)
		}
	}
}

func (s *sim) restart(d dice, v *vm) {
	if !v.alive {
		s.start(v)
		return
	}
	if d.oneIn(3) && s.mayWipe(v) {
		s.wipe(v)
		return
	}
	s.crash(v, d.IntN(4))
}

// mayWipe allows one lost data folder at a time, and only in groups that tolerate one: the second
// only after the first member has recovered.
func (s *sim) mayWipe(lost *vm) bool {
	if len(s.config.Founders) < MinVoters {
		return false
	}
	for _, v := range s.vms {
		if v != lost && s.isMember(v.name) && !v.healthy() {
			return false
		}
	}
	return true
}

// isMember reports whether any VM has the name among its members.
func (s *sim) isMember(name string) bool {
	for _, v := range s.vms {
		if v.state == nil {
			continue
		}
		if _, ok := v.state.Member(name); ok {
			return true
		}
	}
	return false
}

func (s *sim) changeMembers(d dice, v *vm) {
	other := s.vms[d.IntN(len(s.vms))]
	if other.state == nil {
		s.start(other)
	}
	action := []ChangeAction{ChangeAdd, ChangeRemove}[d.IntN(2)]
	s.change(v, action, other.name)
}

func (s *sim) toggleCut(d dice, v *vm) {
	other := s.vms[d.IntN(len(s.vms))]
	pair := [2]string{v.name, other.name}
	s.cut[pair] = !s.cut[pair]
}
