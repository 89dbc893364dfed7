package replica

import "github.com/oriolebend/oriolebend/pkg/oriolebend"

// Group returns the group as this VM knows it, for operators.
func (r *Replica) Group() oriolebend.Group {
	s := r.Status()
	g := oriolebend.Group{
		Node: s.Name, Role: string(s.Role), Term: s.Term, Leader: s.Leader,
		Last: s.Last, Committed: s.Committed, Applied: s.Applied, Snapshot: s.Snapshot,
		Recovering: s.Recovering, DiskFull: s.DiskFull,
	}
	peers := map[string]PeerStatus{}
	for _, p := range s.Peers {
		peers[p.Name] = p
	}
	for _, m := range s.Members {
		g.Members = append(g.Members, oriolebend.GroupMember{
			Name: m.Name, Address: m.Address, FailureDomain: m.FailureDomain, Voter: m.Voter,
			Active: peers[m.Name].Active, Match: peers[m.Name].Match,
		})
	}
	return g
}
