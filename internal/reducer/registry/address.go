package registry

import (
	"cmp"
	"slices"
	"strings"

	"github.com/oriolebend/oriolebend/internal/message"
)

// instance is one instance of a View.
type instance struct {
	// merged is the merged state of all sources, published the state last returned by Changes.
	merged, published message.BackendServer
	// appeared is the round of Changes in which the instance became known. complete is set if
	// it was reported in a control VM's complete list.
	appeared uint64
	complete bool
}

// resolveAddress decides which instance has an address, and returns the instances at the address
// whose published state has changed.
//
// One address belongs to one server. A crashed server is up again at its address within seconds as
// another instance, and announces itself to any control VM, mostly not to the one that knew the
// earlier instance. With ten control VMs, in nine cases of ten only a view that merges the reports
// of all of them can detect that the earlier instance has ended. If the earlier instance were used
// until it is silent, for five seconds, each crashed engine would cost a dozen prompts that are
// prefilled and then refused by the wrong instance: 289 prompts on a day on which a fifth of 180 engines
// crashed twice.
func (v *View) resolveAddress(address string) []message.BackendServer {
	var changed []message.BackendServer
	holder := holderOf(v.instancesAt(address))
	for _, name := range v.byAddress[address] {
		i := v.instances[name]
		server := i.merged
		if i != holder && server.Phase == message.PhaseReady {
			server.Phase = message.PhaseDraining
		}
		if server != i.published {
			i.published = server
			changed = append(changed, server)
		}
	}
	return changed
}

func (v *View) instancesAt(address string) []*instance {
	list := make([]*instance, 0, len(v.byAddress[address]))
	for _, name := range v.byAddress[address] {
		list = append(list, v.instances[name])
	}
	return list
}

// holderOf returns the one of several instances that has their address, nil if there are none. An
// instance that continues to announce itself takes precedence over a silent one: a delayed
// announcement of an instance that has ended can arrive after those of its successor.
//
// Each criterion is applied to all instances that remain. Compared in pairs, instances of which only
// some report an incarnation could each supersede the next one in a circle, and the holder would
// depend on the order in which they became known.
func holderOf(instances []*instance) *instance {
	switch len(instances) {
	case 0:
		return nil
	case 1:
		return instances[0]
	}
	rest := preferred(instances, func(i *instance) bool { return !i.merged.Silent })
	if every(rest, func(i *instance) bool { return i.merged.Incarnation != 0 }) {
		rest = highest(rest, func(i *instance) uint64 { return i.merged.Incarnation })
	}
	rest = preferred(rest, func(i *instance) bool { return !i.merged.Unconfirmed })
	if every(rest, func(i *instance) bool { return i.complete }) {
		// None was observed to start. The instance with the fewest announcements is the youngest.
		rest = lowest(rest, func(i *instance) uint64 { return i.merged.Sequence })
	}
	rest = highest(rest, func(i *instance) uint64 { return i.appeared })
	rest = lowest(rest, func(i *instance) uint64 { return i.merged.Sequence })
	return slices.MaxFunc(rest, func(a, b *instance) int { return byName(a.merged, b.merged) })
}

// preferred returns the instances that meet a condition, or all if none does.
func preferred(all []*instance, meets func(*instance) bool) []*instance {
	met := slices.DeleteFunc(slices.Clone(all), func(i *instance) bool { return !meets(i) })
	if len(met) == 0 {
		return all
	}
	return met
}

func every(all []*instance, meets func(*instance) bool) bool {
	return !slices.ContainsFunc(all, func(i *instance) bool { return !meets(i) })
}

// highest returns the instances with the highest number.
func highest(all []*instance, number func(*instance) uint64) []*instance {
	most := number(slices.MaxFunc(all, func(a, b *instance) int { return cmp.Compare(number(a), number(b)) }))
	return preferred(all, func(i *instance) bool { return number(i) == most })
}

// lowest returns the instances with the lowest number.
func lowest(all []*instance, number func(*instance) uint64) []*instance {
	least := number(slices.MinFunc(all, func(a, b *instance) int { return cmp.Compare(number(a), number(b)) }))
	return preferred(all, func(i *instance) bool { return number(i) == least })
}

func byName(a, b message.BackendServer) int {
	return strings.Compare(a.Instance, b.Instance)
}
