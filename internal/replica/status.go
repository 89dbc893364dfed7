package replica

import "github.com/oriolebend/oriolebend/internal/message"

// Status is what a member knows of its group, for operators and metrics.
type Status struct {
	Name    string
	Role    string
	Term    uint64
	Leader  string
	Members []message.Member
	// Last, Synced, Committed and Applied are log indexes.
	Last, Synced, Committed, Applied uint64
	// Snapshot is the index of the newest snapshot.
	Snapshot uint64
	// Peers tells, on the leader, how far each member is.
	Peers []PeerStatus
}

// PeerStatus is how far one member is, as its leader sees it.
type PeerStatus struct {
	Name string
	// Match is the last index that the member has synced.
	Match uint64
	// Active is true if the member answered within the lease.
	Active bool
}

// Status returns the member's present view.
func (r *Replica) Status() Status {
	name, _ := r.Leader()
	r.mu.Lock()
	defer r.mu.Unlock()
	role := "follower"
	if name == r.config.Name {
		role = "leader"
	}
	return Status{
		Name: r.config.Name, Role: role, Leader: name, Members: r.config.Members,
		Last: r.index, Synced: r.index, Committed: r.index, Applied: r.index,
	}
}
