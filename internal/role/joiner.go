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
	// membershipCheckInterval is how often a control VM checks whether it is still a
	// member.
	membershipCheckInterval = 500 * time.Millisecond
	// joinDelay is how long a control VM without a leader waits before it requests to
	// join: elections take a second at most.
	joinDelay = 2 * time.Second
	// joinTimeout bounds one request to join, to add a member or to remove one.
	joinTimeout = 2 * time.Second
	// removeAfter is how long a member may be unreachable before the leader
	// removes it from a group that is large enough without it. The time is several
	// times as long as a restart and longer than a partition of a few seconds. A
	// member that returns later requests to join again.
	removeAfter = 8 * time.Second
	// removeReplacedAfter applies in place of removeAfter while a VM that joined a
	// short time ago replaces a lost one. Until the lost VM is removed it counts towards the
	// quorum, and the next loss would leave the group without one. The time is
	// longer than a restart takes.
	removeReplacedAfter = 2500 * time.Millisecond
	// replacementWindow is how long after a join an unreachable member counts as
	// replaced.
	replacementWindow = 30 * time.Second
	// maxJoinRedirects bounds how often a request to join is redirected to the
	// leader.
	maxJoinRedirects = 3
)

// Joiner keeps a control VM that knows only the seeds a member of their group. It
// requests to join. On the leader it also admits other VMs and removes members
// that stay unreachable.
//
// Otherwise a VM that is replaced by an empty one at another address would count
// as a missing member permanently, and the next loss would leave no quorum.
type Joiner struct {
	Self    message.Member
	Seeds   []string
	Replica *replica.Replica
	Dialer  peer.Dialer
	Logger  *slog.Logger

	mutex      sync.Mutex // guards Seeds once Run has begun
	lastMember time.Time
	// unreachableSince is when each member stopped answering this leader.
	unreachableSince map[string]time.Time
	nextTarget       int
	// lastAdmission is when this VM last admitted another one, nil if it never
	// did. It keeps its monotonic clock reading, as the wall clock may jump.
	lastAdmission atomic.Pointer[time.Time]
}

// Run requests to join and removes unreachable members until ctx ends.
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

// SetSeeds replaces the seeds.
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

// requestJoin sends a request to join to the next control VM in turn, and follows
// its redirects to the leader.
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

// Serve is the peer.Handler for control VMs that request to join.
func (j *Joiner) Serve(ctx context.Context, s peer.Stream) {
	m, err := s.Receive()
	join, ok := m.(message.Join)
	if err != nil || !ok || join.Member.Name != s.Peer() {
		return
	}
	answer := j.admit(ctx, join.Member)
	// The joining VM repeats its request if the answer is lost.
	_ = s.Send(answer)
	<-s.Done()
}

// admit adds a control VM to the group, or returns the leader's address if this
// VM doesn't lead.
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

// removeUnreachable removes one member that has been unreachable for too long.
func (j *Joiner) removeUnreachable(ctx context.Context, status replica.Status) {
	voters := 0
	for _, p := range status.Peers {
		if p.Voter {
			voters++
		}
		if p.Active {
			delete(j.unreachableSince, p.Name)
		} else if _, known := j.unreachableSince[p.Name]; !known {
			j.unreachableSince[p.Name] = time.Now()
		}
	}
	limit := removeAfter
	if joined := j.lastAdmission.Load(); joined != nil && time.Since(*joined) < replacementWindow {
		limit = removeReplacedAfter
	}
	for _, p := range status.Peers {
		lost, unreachable := j.unreachableSince[p.Name]
		if !unreachable || time.Since(lost) < limit || (p.Voter && voters <= agreement.MinVoters) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, joinTimeout)
		err := j.Replica.RemoveMember(ctx, p.Name)
		cancel()
		j.Logger.Info("control VM removed", "member", p.Name, "awayMs", time.Since(lost).Milliseconds(), "error", err)
		return
	}
}

// membersFromSeeds returns the members of a group that is founded by seeds. Each
// is named by its IP, the only thing that is known of it.
func membersFromSeeds(seeds []string) []message.Member {
	var members []message.Member
	for _, seed := range seeds {
		members = append(members, message.Member{Name: hostOf(seed), Address: seed, Voter: true})
	}
	return members
}

// hostOf returns the IP of an address, or the address itself if it is not an IP
// and a port.
func hostOf(address string) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return parsed.Addr().String()
}
