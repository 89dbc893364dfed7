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

// Each run of the tests tries shards times randomChecks random interleavings.
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

// Symptom: an accepted command is gone, or two VMs differ. Sequence: any
// order of lost, doubled and overtaking messages, crashes that lose or keep
// unsynced writes, lost folders, pauses, snapshots and changes of members.
// Cause: whichever rule of the agreement an interleaving breaks.
func TestRandomInterleavings(t *testing.T) {
	for shard := range shards {
		t.Run(strconv.Itoa(shard), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) { interleave(rt, shard) })
		})
	}
}

// interleave tries one interleaving. The shard is mixed into the seed, since
// all shards draw the same from rapid.
func interleave(t *rapid.T, shard int) {
	names := []string{"a", "b", "c", "d", "e"}
	seed := rapid.SliceOfN(rapid.Byte(), chachaSeedBytes, chachaSeedBytes).Draw(t, "seed")
	seed[0] ^= byte(shard)
	d := dice{rand.New(rand.NewChaCha8([chachaSeedBytes]byte(seed)))}
	s := newSim(names, []int{1, 3, 3, 3, 5}[d.IntN(5)], smallConfig(), func(s *sim) { s.tellStarts = shard%2 == 1 })
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

// recoverAll heals everything and checks that the group works again and holds
// all that was told.
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
		t.Fatalf("after healing: led %t, %s%s", leader != nil, s.failure, s.status())
	}
	s.propose(leader, 1)
	s.confirm(leader)
	s.run(20)
	if s.failure != "" || leader.index < s.acked || leader.index != leader.state.Last() {
		t.Fatalf("after healing: applied %d of %d, told %d: %s",
			leader.index, leader.state.Last(), s.acked, s.failure)
	}
}

// dice draws the interleaving. The seed comes from rapid; the draws do not,
// since rapid prefers small numbers, which would make most actions rare.
type dice struct{ *rand.Rand }

const chachaSeedBytes = 32

// one is true once in n times.
func (d dice) one(n int) bool { return d.IntN(n) == 0 }

// action is one kind of step; weights give each run a taste of its own.
type action int

const (
	actPass action = iota
	actWire
	actSync
	actPropose
	actConfirm
	actSnapshot
	actRestart
	actTransfer
	actChange
	actCut
	actQuiet
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
	return append(drawn, actPass, actWire, actSync, actPropose)
}

func (s *sim) step(d dice, weights []action) {
	v := s.vms[d.IntN(len(s.vms))]
	if v.state == nil {
		s.start(v)
		return
	}
	switch weights[d.IntN(len(weights))] {
	case actPass:
		s.pass(d)
	case actWire:
		s.wire(d)
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
		s.feed(v, TransferAsked{s.now})
	case actChange:
		s.changeSome(d, v)
	case actCut:
		s.toggleCut(d, v)
	case actQuiet:
		s.run(1 + d.IntN(15))
	}
}

// pass lets time go on; members that see no tick are paused.
func (s *sim) pass(d dice) {
	s.now += []uint64{1, 1, 1, 3, 14}[d.IntN(5)]
	for _, v := range s.vms {
		if !d.one(5) {
			s.feed(v, Ticked{s.now})
		}
	}
}

func (s *sim) wire(d dice) {
	for range 1 + d.IntN(8) {
		if len(s.wires) == 0 {
			return
		}
		i := d.IntN(len(s.wires))
		switch d.IntN(20) {
		case 0:
			s.wires = append(s.wires, s.wires[i])
			s.deliver(i)
		case 1:
			s.wires = slices.Delete(s.wires, i, i+1)
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
	if d.one(3) && s.mayWipe(v) {
		s.wipe(v)
		return
	}
	s.crash(v, d.IntN(4))
}

// mayWipe allows one lost folder at a time: the second only after the first
// has healed, in groups that bear one.
func (s *sim) mayWipe(lost *vm) bool {
	if len(s.config.Founders) < MinVoters {
		return false
	}
	for _, v := range s.vms {
		if v != lost && s.known(v.name) && !v.healthy() {
			return false
		}
	}
	return true
}

// known tells whether any VM takes the name for a member.
func (s *sim) known(name string) bool {
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

func (s *sim) changeSome(d dice, v *vm) {
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
