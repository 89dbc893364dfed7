package role

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
	"github.com/oriolebend/oriolebend/internal/replica"
)

const (
	// joinEvery is how often a control VM looks whether it still is a member.
	membershipCheckInterval = 500 * time.Millisecond
	// joinAfter is how long a control VM without a leader waits before it asks
	// to be taken in: elections take a second at most.
	joinDelay = 2 * time.Second
	// joinWithin bounds one question.
	joinTimeout = 2 * time.Second
	// removeAfter is how long a member may be away before the leader removes it
	// from a group that is large enough without it: several times a restart and
	// longer than partitions of a few seconds. A member that returns later asks
	// to join again.
	removeAfter = 8 * time.Second
	// replacedAfter is the same while a VM that joined a short time ago takes the
	// place of one that is gone: until then the group counts one more than it has,
	// and the next loss would leave no quorum. It is longer than a restart takes.
	removeReplacedAfter = 2500 * time.Millisecond
	// replacingFor is how long after a join a member that is away counts as
	// replaced.
	replacementWindow = 30 * time.Second
	// joinHops bounds the way to the leader.
	maxJoinRedirects = 3
)

// Joiner keeps a control VM that knows only some others a member of their
// group: it asks to be taken in, and as the leader it takes others in and
// removes those that are gone for good.
//
// A VM that is replaced by an empty one at another address would otherwise be
// missed by the group for ever, and the next loss would leave no quorum.
type Joiner struct {
	Self    message.Member
	Seeds   []string
	Replica *replica.Replica
	Dialer  peer.Dialer
	Logger  *slog.Logger

	mutex      sync.Mutex // guards Seeds once Run has begun
	lastMember time.Time
	// away is since when members have not answered this leader.
	unreachableSince map[string]time.Time
	nextTarget       int
	// joined is when this VM last took another one in, nil if it never did. It
	// keeps the steady clock: the time of day may jump.
	lastAdmission atomic.Pointer[time.Time]
}

// Run joins and removes until ctx ends.
func (j *Joiner) Run(ctx context.Context) {
	j.lastMember, j.unreachableSince = time.Now(), map[string]time.Time{}
	for wait(ctx, membershipCheckInterval); ctx.Err() == nil; wait(ctx, membershipCheckInterval) {
		status := j.Replica.Status()
		if status.Role == agreement.Leader {
			j.lastMember = time.Now()
			j.removeUnreachable(ctx, status)
			continue
		}
		clear(j.unreachableSince)
		if status.Leader != "" && isVoter(status.Members, j.Self.Name) {
			j.lastMember = time.Now()
			continue
		}
		if !isMember(status.Members, j.Self.Name) || time.Since(j.lastMember) > joinDelay {
			j.requestJoin(ctx, status)
		}
	}
}

// SetSeeds replaces the control VMs that are known from the start.
func (j *Joiner) SetSeeds(seeds []string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.Seeds = seeds
}

func isMember(members []message.Member, name string) bool {
	return slices.ContainsFunc(members, func(m message.Member) bool { return m.Name == name })
}

func isVoter(members []message.Member, name string) bool {
	return slices.ContainsFunc(members, func(m message.Member) bool { return m.Name == name && m.Voter })
}

// ask asks one control VM after the other for the leader, and the leader to
// take this one in.
func (j *Joiner) requestJoin(ctx context.Context, status replica.Status) {
	j.mutex.Lock()
	targets := slices.Clone(j.Seeds)
	j.mutex.Unlock()
	for _, m := range status.Members {
		if !slices.Contains(targets, m.Address) {
			targets = append(targets, m.Address)
		}
	}
	targets = slices.DeleteFunc(targets, func(a string) bool { return a == j.Self.Address })
	if len(targets) == 0 {
		return
	}
	j.nextTarget++
	address := targets[j.nextTarget%len(targets)]
	for range maxJoinRedirects {
		answer, err := j.sendJoin(ctx, address)
		if err != nil {
			j.Logger.Info("join not answered", "asked", address, "error", err)
			return
		}
		if answer.Leader == "" || answer.Leader == address {
			j.Logger.Info("asked to join", "asked", address, "refused", answer.Reason)
			return
		}
		address = answer.Leader
	}
}

func (j *Joiner) sendJoin(ctx context.Context, address string) (message.Joined, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	s, err := j.Dialer.Open(ctx, address)
	if err != nil {
		return message.Joined{}, err
	}
	defer s.Close()
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	if err := s.Send(message.Join{Member: j.Self}); err != nil {
		return message.Joined{}, err
	}
	m, err := s.Receive()
	if err != nil {
		return message.Joined{}, err
	}
	joined, _ := m.(message.Joined)
	return joined, nil
}

// Serve is the peer.Handler for control VMs that ask to join.
func (j *Joiner) Serve(ctx context.Context, s peer.Stream) {
	m, err := s.Receive()
	join, ok := m.(message.Join)
	if err != nil || !ok || join.Member.Name != s.Peer() {
		return
	}
	answer := j.admit(ctx, join.Member)
	// The asker asks again if the answer is lost.
	_ = s.Send(answer)
	<-s.Done()
}

func (j *Joiner) admit(ctx context.Context, m message.Member) message.Joined {
	name, address := j.Replica.Leader()
	if name != j.Self.Name {
		return message.Joined{Leader: address}
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if isMember(j.Replica.Status().Members, m.Name) {
		return message.Joined{}
	}
	if err := j.Replica.AddMember(ctx, m); err != nil {
		return message.Joined{Reason: err.Error()}
	}
	now := time.Now()
	j.lastAdmission.Store(&now)
	j.Logger.Info("control VM joins", "member", m.Name, "address", m.Address, "failureDomain", m.FailureDomain)
	return message.Joined{}
}

// removeAway removes one member that has been away for long.
func (j *Joiner) removeUnreachable(ctx context.Context, status replica.Status) {
	voters := 0
	for _, p := range status.Peers {
		if p.Voter {
			voters++
		}
		if p.Active {
			delete(j.unreachableSince, p.Name)
		} else if _, noted := j.unreachableSince[p.Name]; !noted {
			j.unreachableSince[p.Name] = time.Now()
		}
	}
	allowed := removeAfter
	if joined := j.lastAdmission.Load(); joined != nil && time.Since(*joined) < replacementWindow {
		allowed = removeReplacedAfter
	}
	for _, p := range status.Peers {
		since, away := j.unreachableSince[p.Name]
		if !away || time.Since(since) < allowed || (p.Voter && voters <= agreement.MinVoters) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, joinTimeout)
		err := j.Replica.RemoveMember(ctx, p.Name)
		cancel()
		j.Logger.Info("control VM removed", "member", p.Name, "awayMs", time.Since(since).Milliseconds(), "error", err)
		return
	}
}

// membersFromSeeds are the members that seeds found a group of: each is named by
// its IP, which is all that is known of it.
func membersFromSeeds(seeds []string) []message.Member {
	var members []message.Member
	for _, seed := range seeds {
		members = append(members, message.Member{Name: hostOf(seed), Address: seed, Voter: true})
	}
	return members
}

// hostOf is the IP of an address, empty if that is empty.
func hostOf(address string) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return parsed.Addr().String()
}
