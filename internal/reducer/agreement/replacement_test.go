package agreement

import (
	"flag"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/oriolebend/oriolebend/internal/message"
)

// searchRuns is the number of random orders of losses that TestQuorumSurvivesReplacements plays for
// each size of the group.
var searchRuns = flag.Int("replacements", 80, "orders of replacements to play")

// Times of the search in ticks of 25 ms.
const (
	// catchUpTicks is how long after its start a member counts as lost; a member that it replaces counts
	// as lost until then, too.
	catchUpTicks = 160
	// recoveryTicks bounds the time without a leader after a loss.
	recoveryTicks = 480
	// stopTicks is how long a process that stops waits for its removal.
	stopTicks = 40
	// maxLosses bounds the losses of one run.
	maxLosses = 5
)

// TestQuorumSurvivesReplacements guards against a group without a quorum for good, after members that
// were replaced, restarted or lost their data folders one at a time.
func TestQuorumSurvivesReplacements(t *testing.T) {
	for founders := 3; founders <= 6; founders++ {
		t.Run(strconv.Itoa(founders), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(*searchRuns) {
				replaceMembers(t, founders, seed)
			}
		})
	}
}

// loss is the way in which a member is lost.
type loss string

const (
	// lossPlanned is a replacement whose successor starts before the process stops.
	lossPlanned loss = "planned"
	// lossReplaced is a crash for good; the successor starts later.
	lossReplaced  loss = "replaced"
	lossRestarted loss = "restarted"
	lossKilled    loss = "killed"
	// lossDisk is a crash after which the data folder is empty.
	lossDisk loss = "disk"
)

var losses = []loss{lossPlanned, lossReplaced, lossRestarted, lossKilled, lossDisk}

// relays is the number of relays in the search.
const relays = 2

// replacements is one run of the search: a group in which one member at a time is lost, and whose
// members find each other through seeds, some of them by way of relays.
type replacements struct {
	*sim
	t    *testing.T
	seed uint64
	dice dice
	// core are the members that run, spare the names that no member has had.
	core  []*vm
	spare []string
	trace []string
	// controls are all control VMs, those that are gone too. seeds are those that settings name now.
	controls []*controlVM
	seeds    []string
}

func replaceMembers(t *testing.T, size int, seed uint64) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}
	config := smallConfig()
	config.MinVoters = MinVoters
	if size > 4 {
		config.MinVoters = 5
	}
	founders := min(size, MinVoters)
	s := newSim(names, founders, config, withStarts)
	r := &replacements{sim: s, t: t, seed: seed, dice: dice{rand.New(rand.NewPCG(seed, 0))}, spare: names[founders:]}
	r.core = slices.Clone(s.vms[:founders])
	r.seeds = names[:founders]
	for _, v := range r.core {
		r.addControl(v.name, v)
	}
	for i := range relays {
		r.addControl("relay"+strconv.Itoa(i), nil)
	}
	for len(r.core) < size {
		r.join()
	}
	r.advance(catchUpTicks)
	for range 1 + r.dice.IntN(maxLosses) {
		r.changeRest()
		r.lose()
	}
	r.check()
}

// changeRest changes what does not count as a loss: the seeds, the relays, or all processes at once.
func (r *replacements) changeRest() {
	if r.dice.oneIn(2) {
		r.trace = append(r.trace, "seeds")
		r.changeSeeds()
	}
	if r.dice.oneIn(2) {
		r.trace = append(r.trace, "relays")
		r.restartRelays()
	}
	if r.dice.oneIn(4) {
		r.trace = append(r.trace, "all")
		r.restartAll()
	}
}

// addControl starts the process of a control VM; member is nil for a relay.
func (r *replacements) addControl(name string, member *vm) {
	c := &controlVM{name: name, member: member, seeds: r.seeds}
	c.start()
	r.controls = append(r.controls, c)
}

// join starts a new member.
func (r *replacements) join() {
	v := r.vm(r.spare[0])
	r.spare = r.spare[1:]
	r.core = append(r.core, v)
	r.startWithSeeds(v)
	r.addControl(v.name, v)
}

// begin starts the process of a member again.
func (r *replacements) begin(v *vm) {
	r.startWithSeeds(v)
	c := r.control(v.name)
	c.seeds = r.seeds
	c.start()
}

// startWithSeeds starts a member after the first start of the group. While its log is empty, it takes the
// seeds for the members.
func (r *replacements) startWithSeeds(v *vm) {
	r.config.Founders, r.config.JoinOnly = nil, true
	for _, name := range r.seeds {
		r.config.Founders = append(r.config.Founders, message.Member{Name: name, Address: name, Voter: true})
	}
	r.start(v)
}

// lose plays one loss of a member, until it no longer counts.
func (r *replacements) lose() {
	at := r.dice.IntN(len(r.core))
	v := r.core[at]
	kind := losses[r.dice.IntN(len(losses))]
	r.trace = append(r.trace, v.name+" "+string(kind))
	switch kind {
	case lossPlanned:
		r.requireSeed(v.name)
		r.join()
		started := r.now
		r.advance(r.dice.IntN(2 * catchUpTicks))
		r.stop(v)
		r.core = slices.Delete(r.core, at, at+1)
		r.advance(max(0, int(started+catchUpTicks)-int(r.now)))
	case lossReplaced:
		r.kill(v)
		r.core = slices.Delete(r.core, at, at+1)
		r.advance(r.dice.IntN(catchUpTicks))
		r.requireSeed("")
		r.join()
		r.advance(catchUpTicks)
	case lossRestarted:
		r.stop(v)
		r.advance(r.dice.IntN(catchUpTicks))
		r.begin(v)
		r.advance(catchUpTicks)
	case lossKilled:
		r.kill(v)
		r.advance(r.dice.IntN(catchUpTicks))
		r.begin(v)
		r.advance(catchUpTicks)
	case lossDisk:
		r.kill(v)
		r.wipe(v)
		r.control(v.name).saved = nil
		r.advance(r.dice.IntN(catchUpTicks))
		r.begin(v)
		r.advance(catchUpTicks)
	}
}

// stop ends a process as SIGTERM does.
func (r *replacements) stop(v *vm) {
	r.feed(v, StopRequested{r.clock(v)})
	for range stopTicks {
		r.advance(1)
		if v.state.Role != Leader && v.state.Leader != "" && !v.state.AwaitsRemoval() {
			break
		}
	}
	r.crash(v, len(v.pending))
	r.control(v.name).alive = false
}

// kill ends a process as SIGKILL does.
func (r *replacements) kill(v *vm) {
	r.crash(v, r.dice.IntN(3))
	r.control(v.name).alive = false
}

// advance lets time pass; members that the leader does not know join meanwhile.
func (r *replacements) advance(ticks int) {
	for range ticks {
		r.run(1)
		if r.now%exchangeTicks != 0 {
			continue
		}
		r.exchange()
		if leader := r.leader(); leader != nil {
			r.findGroup(leader)
			r.propose(leader, r.dice.IntN(2))
		}
	}
}

// check requires that the group has a leader that can agree, within the time to recover, and that its
// voters are those that run.
func (r *replacements) check() {
	agreed := func() bool {
		leader := r.leader()
		return leader != nil && leader.state.commitIsCurrent() && r.voterNames(leader) == r.coreNames()
	}
	for range recoveryTicks {
		if agreed() {
			break
		}
		r.advance(1)
	}
	if r.failure != "" || !agreed() {
		r.t.Fatalf("seed %d, after %v: want voters %s: %s\n%s", r.seed, r.trace, r.coreNames(), r.failure, r.status())
	}
}

func (r *replacements) coreNames() string {
	var names []string
	for _, v := range r.core {
		names = append(names, v.name)
	}
	slices.Sort(names)
	return strings.Join(names, "")
}

func (r *replacements) voterNames(leader *vm) string {
	var names []string
	for _, m := range leader.state.Members {
		if m.Voter {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return strings.Join(names, "")
}
