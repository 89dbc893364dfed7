package role

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
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
	// join: elections take half a second as a rule.
	joinDelay = time.Second
	// joinTimeout bounds one request to join, to add a member or to remove one.
	joinTimeout = 2 * time.Second
	// maxJoinRedirects bounds how often a request to join is redirected to the
	// leader.
	maxJoinRedirects = 3
)

// Joiner keeps a control VM that knows only some control VMs a member of their group. It requests to
// join. On the leader it also admits other VMs; the leader itself removes those that leave.
//
// Otherwise a VM that is replaced by an empty one at another address would count
// as a missing member permanently, and the next loss would leave no quorum.
type Joiner struct {
	Self    message.Member
	Seeds   []string
	Replica *replica.Replica
	Dialer  peer.Dialer
	// Known lists further control VMs that this VM has found; nil means none.
	Known  func() []string
	Logger *slog.Logger

	mutex      sync.Mutex // guards Seeds once Run has begun, and pending
	pending    map[string]bool
	lastMember time.Time
}

// Run requests to join until this VM is a member, and again if it no longer is, until ctx ends.
func (j *Joiner) Run(ctx context.Context) {
	j.lastMember = time.Now()
	for ; ctx.Err() == nil; wait(ctx, membershipCheckInterval) {
		status := j.Replica.Status()
		leads := status.Role == agreement.Leader
		if leads || (status.Leader != "" && isVoter(status.Members, j.Self.Name)) {
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

// requestJoin sends a request to join to every control VM that may lead or know the leader, unless an
// earlier one there is still pending. A control VM that is down does not delay the next round.
func (j *Joiner) requestJoin(ctx context.Context, status replica.Status) {
	for _, address := range j.targets(status) {
		if !j.begin(address) {
			continue
		}
		go func() {
			defer j.end(address)
			j.requestJoinAt(ctx, address)
		}()
	}
}

// begin reports whether a request to join may be sent to an address, and records it as pending.
func (j *Joiner) begin(address string) bool {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if j.pending[address] {
		return false
	}
	if j.pending == nil {
		j.pending = map[string]bool{}
	}
	j.pending[address] = true
	return true
}

func (j *Joiner) end(address string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	delete(j.pending, address)
}

// targets lists the control VMs that are known: the seeds, which may all be relays or down, the members
// in the log, and those that other control VMs have listed.
func (j *Joiner) targets(status replica.Status) []string {
	j.mutex.Lock()
	targets := slices.Clone(j.Seeds)
	j.mutex.Unlock()
	for _, m := range status.Members {
		targets = append(targets, m.Address)
	}
	if j.Known != nil {
		targets = append(targets, j.Known()...)
	}
	slices.Sort(targets)
	targets = slices.Compact(targets)
	return slices.DeleteFunc(targets, func(a string) bool { return a == j.Self.Address || a == "" })
}

// requestJoinAt sends a request to join to a control VM, and follows its redirects to the leader.
func (j *Joiner) requestJoinAt(ctx context.Context, address string) {
	asked := address
	for range maxJoinRedirects {
		answer, err := j.sendJoin(ctx, address)
		if err != nil {
			j.Logger.Info("join not answered", "asked", address, "error", err)
			return
		}
		if answer.Leader == "" || answer.Leader == address {
			j.Logger.Info("asked to join", "first", asked, "asked", address, "refused", answer.Reason)
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
	j.Logger.Info("control VM joins", "member", m.Name, "address", m.Address, "failureDomain", m.FailureDomain)
	return message.Joined{}
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
