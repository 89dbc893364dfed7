package registry

import (
	"strings"

	"github.com/oriolebend/oriolebend/internal/message"
)

// instance is one instance of a View.
type instance struct {
	// joined is what all sources say of it, told what was passed on.
	joined, told message.BackendServer
	// appeared is the round of Changes in which it became known; whole is set if it was
	// told together with all else that a control VM knew.
	appeared uint64
	whole    bool
}

// settle decides which instance has an address, and returns those at it that are to be
// told of differently.
//
// One address is one server. One that crashes is back at its address within seconds as
// another instance, and announces itself to whichever control VM it finds, mostly not to
// the one that knew it before: with ten of them, nine times in ten nobody but a view
// that joins them all can tell that the earlier instance is no more. Used on until it is
// silent, for five seconds, each crashed engine costs a dozen prompts that are read and
// then refused by the wrong instance: 289 of them on a day on which a fifth of 180
// engines crashed twice.
func (v *View) settle(address string) []message.BackendServer {
	var changed []message.BackendServer
	var holder *instance
	for _, name := range v.at[address] {
		if i := v.known[name]; holder == nil || i.after(holder) {
			holder = i
		}
	}
	for _, name := range v.at[address] {
		i := v.known[name]
		server := i.joined
		if i != holder && server.Phase == message.PhaseReady {
			server.Phase = message.PhaseDraining
		}
		if server != i.told {
			i.told = server
			changed = append(changed, server)
		}
	}
	return changed
}

// after reports whether an instance has taken the address of another one. Who goes on
// announcing itself goes before who is silent: a late announcement of an instance that
// has ended can come after those of its successor.
func (i *instance) after(other *instance) bool {
	a, b := i.joined, other.joined
	switch {
	case a.Silent != b.Silent:
		return b.Silent
	case a.Incarnation != 0 && b.Incarnation != 0 && a.Incarnation != b.Incarnation:
		return a.Incarnation > b.Incarnation
	case i.whole && other.whole && a.Sequence != b.Sequence:
		// Neither was seen to come; who has announced itself less often is younger.
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
