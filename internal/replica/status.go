package replica

import (
	"maps"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Status is the state of the group as one member knows it, for operators and metrics.
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
	// Recovering is true while the member grants no vote, because it started with an empty data
	// folder in a group that has a log.
	Recovering bool
	// TimeoutScale is the factor by which the timeouts of elections and leases are longer than the
	// configured ones.
	TimeoutScale uint64
	// DiskFull is true while a write waits for free disk space, or less than the minimum is free.
	DiskFull bool
	// Peers reports, on the leader, the progress of each member.
	Peers []PeerStatus
	// Refusals counts refused proposals, changes and confirmations.
	Refusals map[oriolebend.Reason]uint64
}

// PeerStatus is the progress of one member as its leader knows it.
type PeerStatus struct {
	Name  string
	Voter bool
	// Match is the last index that the member has synced.
	Match uint64
	// Active is true if the member answered within the lease.
	Active bool
}

// leaderView is the leader and its address, as Leader returns them.
type leaderView struct {
	name, address string
	// until is the end of the lease, on the leader itself only; zero means none.
	until time.Time
	// leads is set on the leader itself. On other members, lastContact is when the last message of
	// the leader was received.
	leads       bool
	lastContact time.Time
	// lost is when this member ceased to lead or received the last message of a leader. It is used
	// while name is empty.
	lost time.Time
}

// Leaderless returns when this member ceased to lead or last received a message of a leader, and the
// zero time if there is a leader. A leader without messages for the election timeout counts as lost,
// although Leader names it until this member stands for election.
func (r *Replica) Leaderless() time.Time {
	view := r.leader.Load()
	switch now := time.Now(); {
	case view.name == "":
		return view.lost
	case !view.until.IsZero() && !now.Before(view.until):
		return view.until
	case !view.leads && now.Sub(view.lastContact) >= time.Duration(r.state.Config.ElectionTicks)*r.config.TickEvery:
		return view.lastContact
	}
	return time.Time{}
}

// Leader implements control.Log. A leading member returns its own name only until its lease
// expires.
func (r *Replica) Leader() (name, address string) {
	view := r.leader.Load()
	if !view.until.IsZero() && !time.Now().Before(view.until) {
		return "", ""
	}
	return view.name, view.address
}

// Status returns the state of the group as of the last tick.
func (r *Replica) Status() Status { return *r.status.Load() }

// publish makes the current state available to other goroutines.
func (r *Replica) publish() {
	s := r.state
	r.publishLeader()
	old := r.status.Load()
	status := &Status{
		Name: s.Config.Name, Role: s.Role, Term: s.Hard.Term, Leader: s.Leader, Members: s.Members,
		Last: s.Last(), Synced: s.Synced, Committed: s.Commit, Applied: s.Applied,
		Snapshot: s.Snapshot.Index, Recovering: s.Hard.RecoverTo > 0, DiskFull: r.disk.full(),
		TimeoutScale: s.TimeoutScale(),
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
	view.leads = s.Role == agreement.Leader
	if !view.leads && view.name != "" {
		view.lastContact = r.timeOf(s.LastContact())
	}
	if view.leads && len(s.Members) > 1 {
		view.until = r.timeOf(s.LeaseEnd())
	}
	old := r.leader.Load()
	if view.name == "" {
		view.lost = r.lostAt(old)
	}
	if old == nil || *old != view {
		r.leader.Store(&view)
	}
}

// lostAt returns since when there is no leader, if none is known now and old was published last. A member
// that has just started counts as one that has received a message of a leader.
func (r *Replica) lostAt(old *leaderView) time.Time {
	switch {
	case old == nil:
		return r.timeOf(r.state.LastContact())
	case old.name == "":
		return old.lost
	case !old.leads:
		return old.lastContact
	}
	return time.Now()
}

// timeOf returns the time of a tick.
func (r *Replica) timeOf(tick uint64) time.Time {
	return r.start.Add(time.Duration(tick) * r.config.TickEvery)
}
