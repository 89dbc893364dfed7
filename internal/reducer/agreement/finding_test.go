package agreement

import (
	"fmt"
	"slices"

	"github.com/oriolebend/oriolebend/internal/reducer/discovery"
)

// exchangeTicks is the interval at which control VMs send each other the control VMs that they know, and
// request to join.
const exchangeTicks = 20

// controlVM is a control VM as the others find it: a member, or a relay, which has no log.
type controlVM struct {
	name string
	// member is nil for a relay.
	member *vm
	alive  bool
	seeds  []string
	// controls are in memory, saved is on the disk of a member.
	controls discovery.Controls
	saved    []string
	// observers are the control VMs that have a session with this one.
	observers []string
}

// start starts the process with the seeds that its settings name.
func (c *controlVM) start() {
	c.alive = true
	c.controls = discovery.Controls{MaxFormer: len(losses) * maxLosses}
	c.controls.SetSeeds(c.seeds)
	c.controls.Restore(c.saved)
}

// lists returns the control VMs that the control VM sends to those that watch it.
func (c *controlVM) lists() []string {
	return append(slices.Clone(c.observers), c.members()...)
}

// members lists the members that the control VM knows.
func (c *controlVM) members() []string {
	if c.member == nil || !c.alive {
		return nil
	}
	var names []string
	for _, m := range c.member.state.Members {
		names = append(names, m.Name)
	}
	return names
}

// exchange opens the sessions between the control VMs that know each other, and sends their lists.
func (r *replacements) exchange() {
	for _, c := range r.controls {
		c.observers = nil
	}
	for _, c := range r.controls {
		for _, address := range c.knownAddresses() {
			if to := r.control(address); c.alive && to != nil && to.alive {
				to.observers = append(to.observers, c.name)
			}
		}
	}
	for _, c := range r.controls {
		for _, address := range c.knownAddresses() {
			to := r.control(address)
			switch {
			case !c.alive:
			case to == nil || !to.alive:
				c.controls.Ended(address)
			default:
				c.controls.List(address, to.lists())
			}
		}
		if c.alive {
			c.controls.SetObservers(c.observers)
		}
		if c.alive && c.member != nil {
			c.saved = c.controls.Addresses()
		}
	}
}

// knownAddresses lists the control VMs that the control VM contacts.
func (c *controlVM) knownAddresses() []string {
	known := append(c.controls.Addresses(), c.members()...)
	slices.Sort(known)
	return slices.Compact(known)
}

// control returns the control VM of a name, nil if there is none.
func (r *replacements) control(name string) *controlVM {
	at := slices.IndexFunc(r.controls, func(c *controlVM) bool { return c.name == name })
	if at < 0 {
		return nil
	}
	return r.controls[at]
}

// findGroup sends the requests to join of the members that the leader does not know.
func (r *replacements) findGroup(leader *vm) {
	for _, v := range r.core {
		if _, known := leader.state.Member(v.name); known || !v.alive || v.state.leaving {
			continue
		}
		if r.reaches(r.control(v.name), leader) {
			r.change(leader, ChangeAdd, v.name)
		}
	}
}

// reaches reports whether a control VM knows the leader, or a member that knows it.
func (r *replacements) reaches(c *controlVM, leader *vm) bool {
	return slices.ContainsFunc(c.knownAddresses(), func(address string) bool {
		to := r.control(address)
		return to != nil && to.alive && to.member != nil && (to.member == leader || to.member.state.Leader == leader.name)
	})
}

// changeSeeds changes what the settings name as seeds: control VMs that run or that are gone. Some of
// the running processes apply the change.
func (r *replacements) changeSeeds() {
	names := r.relayNames()
	if r.dice.oneIn(2) {
		names = r.names()
	}
	r.seeds = nil
	for range 1 + r.dice.IntN(3) {
		r.seeds = append(r.seeds, names[r.dice.IntN(len(names))])
	}
	for _, c := range r.controls {
		if c.alive && r.dice.oneIn(2) {
			c.seeds = r.seeds
			c.controls.SetSeeds(r.seeds)
		}
	}
}

// requireSeed has the settings name a control VM that runs, other than the one that is about to be lost.
// A process that is told of none can find none.
func (r *replacements) requireSeed(lost string) {
	running := func(name string) bool { return name != lost && r.control(name).alive }
	if !slices.ContainsFunc(r.seeds, running) {
		names := slices.DeleteFunc(r.names(), func(name string) bool { return !running(name) })
		r.seeds = []string{names[r.dice.IntN(len(names))]}
	}
	r.trace = append(r.trace, fmt.Sprint("seeds ", r.seeds))
}

func (r *replacements) names() []string {
	var names []string
	for _, c := range r.controls {
		names = append(names, c.name)
	}
	return names
}

func (r *replacements) relayNames() []string {
	var names []string
	for _, c := range r.controls {
		if c.member == nil {
			names = append(names, c.name)
		}
	}
	return names
}

// restartRelays kills some relays and starts them again later, with the seeds of the settings.
func (r *replacements) restartRelays() {
	stopped := slices.DeleteFunc(r.relayNames(), func(string) bool { return r.dice.oneIn(3) })
	for _, name := range stopped {
		r.control(name).alive = false
	}
	r.advance(r.dice.IntN(2 * catchUpTicks))
	for _, name := range stopped {
		relay := r.control(name)
		relay.seeds = r.seeds
		relay.start()
	}
	r.advance(r.dice.IntN(catchUpTicks))
}

// restartAll kills all processes and starts them again, with the seeds of the settings.
func (r *replacements) restartAll() {
	for _, v := range r.core {
		r.crash(v, r.dice.IntN(3))
	}
	for _, c := range r.controls {
		c.alive = false
	}
	r.run(r.dice.IntN(catchUpTicks / 4))
	for _, v := range r.core {
		r.begin(v)
	}
	for _, name := range r.relayNames() {
		relay := r.control(name)
		relay.seeds = r.seeds
		relay.start()
	}
	r.advance(catchUpTicks)
}
