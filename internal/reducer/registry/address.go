package registry

import (
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
	var holder *instance
	for _, name := range v.byAddress[address] {
		if i := v.instances[name]; holder == nil || i.supersedes(holder) {
			holder = i
		}
	}
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

// supersedes reports whether an instance has taken over the address of another one. An instance
// that continues to announce itself takes precedence over a silent one: a delayed announcement of
// an instance that has ended can arrive after those of its successor.
func (i *instance) supersedes(other *instance) bool {
	a, b := i.merged, other.merged
	switch {
	case a.Silent != b.Silent:
		return b.Silent
	case a.Incarnation != 0 && b.Incarnation != 0 && a.Incarnation != b.Incarnation:
		return a.Incarnation > b.Incarnation
	case a.Unconfirmed != b.Unconfirmed:
		return b.Unconfirmed
	case i.complete && other.complete && a.Sequence != b.Sequence:
		// Neither was observed to start. The instance with fewer announcements is younger.
		return a.Sequence < b.Sequence
	case i.appeared != other.appeared:
		return i.appeared > other.appeared
	case a.Sequence != b.Sequence:
		return a.Sequence < b.Sequence
	}
	return a.Instance > b.Instance
}

func byName(a, b message.BackendServer) int {
	return strings.Compare(a.Instance, b.Instance)
}
