// Package discovery keeps the control VMs that a process knows. A process is told only some control VMs,
// its seeds, and learns of the others from the lists that control VMs send.
package discovery

import (
	"maps"
	"slices"
)

// Standing is how an address is known.
type Standing string

const (
	// Seed is the standing of an address that the settings name.
	Seed Standing = "seed"
	// Listed is the standing of an address that a control VM lists, or that watches this process.
	Listed Standing = "listed"
	// Former is the standing of an address that was known before.
	Former Standing = "former"
	// Unknown is the standing of any other address.
	Unknown Standing = "unknown"
)

// Controls are the control VMs that a process knows, by their addresses. Its zero value knows none.
type Controls struct {
	// MaxFormer bounds the former addresses; the oldest are dropped first. Zero keeps none.
	//
	// Relays that restart with seeds that are all relays find no member. Unless the members contact
	// them, a successor with the same seeds can't join, and the group has no quorum after the next loss.
	MaxFormer int

	seeds     []string
	observers []string
	lists     map[string]list
	former    []string // the newest is the last
}

// list is what one control VM lists. It counts while its session is open; if none is, all lists count.
type list struct {
	addresses []string
	open      bool
}

// SetSeeds replaces the seeds.
func (c *Controls) SetSeeds(seeds []string) {
	before := c.current()
	c.seeds = slices.Clone(seeds)
	c.forget(before)
}

// SetObservers replaces the control VMs that watch this process. A process whose seeds are gone knows no
// others.
func (c *Controls) SetObservers(addresses []string) {
	before := c.current()
	c.observers = slices.Clone(addresses)
	c.forget(before)
}

// Restore adds former addresses, as Addresses returned them to an earlier process.
func (c *Controls) Restore(addresses []string) { c.forget(addresses) }

// List replaces the list of one control VM, with which a session is open.
func (c *Controls) List(from string, addresses []string) {
	if l := c.lists[from]; l.open && slices.Equal(l.addresses, addresses) {
		return
	}
	c.change(from, list{addresses: slices.Clone(addresses), open: true})
}

// Ended records that the session with a control VM has ended.
func (c *Controls) Ended(from string) {
	if l, found := c.lists[from]; found {
		c.change(from, list{addresses: l.addresses})
	}
}

// change sets one list, and drops the lists that no longer count.
func (c *Controls) change(from string, l list) {
	before := c.current()
	if c.lists == nil {
		c.lists = map[string]list{}
	}
	c.lists[from] = l
	open := func(l list) bool { return l.open }
	if slices.ContainsFunc(slices.Collect(maps.Values(c.lists)), open) {
		maps.DeleteFunc(c.lists, func(_ string, l list) bool { return !l.open })
	}
	c.forget(before)
}

// forget makes those of the given addresses former that are neither seeds nor listed.
func (c *Controls) forget(addresses []string) {
	current := c.current()
	for _, address := range addresses {
		if !slices.Contains(c.former, address) {
			c.former = append(c.former, address)
		}
	}
	c.former = slices.DeleteFunc(c.former, func(a string) bool { return slices.Contains(current, a) })
	c.former = slices.Delete(c.former, 0, max(0, len(c.former)-c.MaxFormer))
}

// Standing returns how an address is known.
func (c *Controls) Standing(address string) Standing {
	switch {
	case slices.Contains(c.seeds, address):
		return Seed
	case slices.Contains(c.listed(), address):
		return Listed
	case slices.Contains(c.former, address):
		return Former
	}
	return Unknown
}

// Addresses lists all known addresses, sorted.
func (c *Controls) Addresses() []string { return sorted(c.current(), c.former) }

// Count returns the number of control VMs: the listed ones, or the seeds before the first list.
func (c *Controls) Count() int {
	if listed := c.listed(); len(listed) > 0 {
		return len(listed)
	}
	return len(c.seeds)
}

// current lists the seeds and the listed addresses.
func (c *Controls) current() []string { return sorted(c.seeds, c.listed()) }

func (c *Controls) listed() []string {
	all := slices.Clone(c.observers)
	for _, l := range c.lists {
		all = append(all, l.addresses...)
	}
	return sorted(all)
}

// sorted returns all addresses in order, each once.
func sorted(addresses ...[]string) []string {
	all := slices.Concat(addresses...)
	slices.Sort(all)
	return slices.Compact(all)
}
