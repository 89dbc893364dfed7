package replica

import (
	"maps"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Status is what a member knows of its group, for operators and metrics.
type Status struct {
	Name    string
	Role    agreement.Role
	Term    uint64
	Leader  string
	Members []message.Member
	// Last, Synced, Committed and Applied are log indexes.
	Last, Synced, Committed, Applied uint64
	// Snapshot is the index of the newest snapshot.
	Snapshot uint64
	// Recovering is true while the member grants no vote, because it started
	// with an empty folder in a group that has a log.
	Recovering bool
	// DiskFull is true while no room is left for writes.
	DiskFull bool
	// Peers tells, on the leader, how far each member is.
	Peers []PeerStatus
	// Refusals counts refused proposals, changes and confirmations.
	Refusals map[oriolebend.Reason]uint64
}

// PeerStatus is how far one member is, as its leader sees it.
type PeerStatus struct {
	Name  string
	Voter bool
	// Match is the last index that the member has synced.
	Match uint64
	// Active is true if the member answered within the lease.
	Active bool
}

// leaderView is what Leader answers from.
type leaderView struct {
	name, address string
	// until ends the lease, on the leader itself only.
	until time.Time
}

// Leader implements control.Log. A member that leads names itself only while
// its lease runs.
func (r *Replica) Leader() (name, address string) {
	view := r.leader.Load()
	if !view.until.IsZero() && !time.Now().Before(view.until) {
		return "", ""
	}
	return view.name, view.address
}

// Status returns the member's view as of the last tick.
func (r *Replica) Status() Status { return *r.status.Load() }

// publish makes the state readable for other goroutines.
func (r *Replica) publish() {
	s := r.state
	r.publishLeader()
	old := r.status.Load()
	status := &Status{
		Name: s.Config.Name, Role: s.Role, Term: s.Hard.Term, Leader: s.Leader, Members: s.Members,
		Last: s.Last(), Synced: s.Synced, Committed: s.Commit, Applied: s.Applied,
		Snapshot: s.Snapshot.Index, Recovering: s.Hard.RecoverTo > 0, DiskFull: r.disk.full(),
	}
	if old != nil && len(old.Refusals) == len(r.refusals) && maps.Equal(old.Refusals, r.refusals) {
		status.Refusals = old.Refusals
	} else {
		status.Refusals = maps.Clone(r.refusals)
	}
	if s.Role == agreement.Leader {
		for _, m := range s.Members {
			status.Peers = append(status.Peers, PeerStatus{
				Name: m.Name, Voter: m.Voter, Match: s.Match(m.Name), Active: s.Active(m.Name),
			})
		}
	}
	r.status.Store(status)
}

func (r *Replica) publishLeader() {
	s := r.state
	leader, _ := s.Member(s.Leader)
	view := leaderView{name: leader.Name, address: leader.Address}
	if s.Role == agreement.Leader && len(s.Members) > 1 {
		view.until = r.start.Add(time.Duration(s.LeaseEnd()) * r.config.TickEvery)
	}
	old := r.leader.Load()
	if old == nil || *old != view {
		r.leader.Store(&view)
	}
}
