package dispatch

import (
	"cmp"
	"slices"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Loads returns what was done with the engines of each service since the last
// call, in the order of their names.
func (s *State) Loads() []message.ServiceLoad {
	var loads []message.ServiceLoad
	for name, v := range s.services {
		if v.limits.Engine == nil {
			continue
		}
		load := v.load
		load.HeldTokens = v.heldElsewhere
		load.Service, load.Rate = name, v.highRate.value
		for _, c := range s.servers {
			if c.Service == name {
				load.HeldTokens += c.held
			}
		}
		v.load = message.ServiceLoad{}
		if load.Requests > 0 || load.HeldTokens > 0 {
			loads = append(loads, load)
		}
	}
	slices.SortFunc(loads, func(a, b message.ServiceLoad) int { return cmp.Compare(a.Service, b.Service) })
	return loads
}

func (s *State) readElsewhere(e ReadElsewhere) {
	if v := s.services[e.Need.Service]; v != nil {
		v.read(e.Need, e.Took)
	}
}

func (s *State) heldElsewhere(e HeldElsewhere) {
	v := s.services[e.Need.Service]
	if v == nil {
		return
	}
	memory := e.Need.memory()
	if e.Ended {
		memory = -memory
	}
	v.heldElsewhere = max(0, v.heldElsewhere+memory)
}
