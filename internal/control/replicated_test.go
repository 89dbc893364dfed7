package control

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/peer/peertest"
	"github.com/oriolebend/oriolebend/internal/replica"
)

// memberNames are the names of the control VMs of a replicated group.
var memberNames = []string{"c1", "c2", "c3"}

// replicatedGroup is a group of control VMs that use the project's own log, with data folders that
// are synced and a network in memory.
type replicatedGroup struct {
	t        testing.TB
	network  *peertest.Network
	folder   string
	maxGroup int
	members  map[string]*member
}

type member struct {
	log  *replica.Replica
	stop context.CancelFunc
	done sync.WaitGroup
}

func newReplicatedGroup(t testing.TB, group int) *replicatedGroup {
	r := &replicatedGroup{
		t: t, network: peertest.NewNetwork(1), folder: t.TempDir(),
		maxGroup: group, members: map[string]*member{},
	}
	for _, name := range memberNames {
		r.start(name)
	}
	return r
}

func addressOf(name string) string { return name + ":1" }

func (r *replicatedGroup) start(name string) {
	records := NewRecords()
	config := replica.Config{
		Name: name, DataFolder: filepath.Join(r.folder, name), Machine: records, Dialer: r.network.Dialer(name),
	}
	for _, other := range memberNames {
		config.Members = append(config.Members, message.Member{Name: other, Address: addressOf(other), Voter: true})
	}
	log, err := replica.New(config)
	if err != nil {
		r.t.Fatal(err)
	}
	server := NewServer(ServerConfig{Self: name, Log: log, Records: records, MaxGroup: r.maxGroup})
	ctx, stop := context.WithCancel(context.Background())
	m := &member{log: log, stop: stop}
	m.done.Go(func() { server.Run(ctx) })
	m.done.Go(func() {
		if err := log.Run(ctx); err != nil {
			r.t.Error(err)
		}
	})
	r.network.Listen(ctx, addressOf(name), name, func(ctx context.Context, s peer.Stream) {
		serveFirst(ctx, s, server, log)
	})
	r.members[name] = m
}

// serveFirst passes a stream to the log or to the records server, depending on its first message.
func serveFirst(ctx context.Context, s peer.Stream, server *Server, log *replica.Replica) {
	first, err := s.Receive()
	if err != nil {
		return
	}
	switch first.(type) {
	case message.Claim, message.Settle, message.Renew, message.Query:
		server.Serve(ctx, &resumedStream{Stream: s, first: first})
	default:
		log.Serve(ctx, s, first)
	}
}

// resumedStream is a stream whose first message has already been read.
type resumedStream struct {
	peer.Stream
	first message.Message
}

func (b *resumedStream) Receive() (message.Message, error) {
	if first := b.first; first != nil {
		b.first = nil
		return first, nil
	}
	return b.Stream.Receive()
}

func (r *replicatedGroup) halt(name string) {
	m := r.members[name]
	delete(r.members, name)
	m.stop()
	m.done.Wait()
}

func (r *replicatedGroup) haltAll() {
	for _, name := range memberNames {
		if r.members[name] != nil {
			r.halt(name)
		}
	}
}

func (r *replicatedGroup) leader() string {
	for range 2000 {
		for name, m := range r.members {
			if leader, _ := m.log.Leader(); leader == name {
				return name
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.t.Fatal("no leader")
	return ""
}

func (r *replicatedGroup) client(owner string) *Client {
	config := ClientConfig{Dialer: r.network.Dialer(owner), Owner: owner, OwnerAddress: owner + ":1"}
	for _, name := range memberNames {
		config.Members = append(config.Members, addressOf(name))
	}
	return NewClient(config)
}

// Guards against a paid tip that can be claimed again after a leader change or a restart of the
// control VMs: requests go through one entry while the leader stops, the next leader is partitioned
// and all three members restart one after the other; then another entry claims the same keys. A
// record that was reported as durable and was not, or a command that is applied twice, would cause
// this.
func TestRecordsOutliveLeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newReplicatedGroup(t, 0)
		ctx, cancel := context.WithCancel(t.Context())
		client, other := r.client("e1"), r.client("e2")
		var running sync.WaitGroup
		running.Go(func() { client.Run(ctx) })
		running.Go(func() { other.Run(ctx) })
		const requests = 60
		var wait sync.WaitGroup
		wait.Go(func() { r.changeLeaders() })
		for i := range requests {
			wait.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				claimAndSettle(ctx, t, client, fmt.Sprint("k", i), fmt.Sprint("r", i))
			})
		}
		wait.Wait()
		for i := range requests {
			id := fmt.Sprint("again", i)
			a, err := other.Claim(ctx, tip(fmt.Sprint("k", i), id))
			is.NoErr(err)
			is.Equal(a.Outcome, message.ClaimReplay)
			is.Equal(a.State, message.RecordAnswered)
			is.Equal(a.RequestID, fmt.Sprint("r", i))
		}
		cancel()
		running.Wait()
		r.haltAll()
	})
}

// changeLeaders changes the leader by a stop, by a partition and by restarts of all members, 1 s to
// 3 s apart.
func (r *replicatedGroup) changeLeaders() {
	first := r.leader()
	time.Sleep(1500 * time.Millisecond)
	r.halt(first)
	time.Sleep(1500 * time.Millisecond)
	r.start(first)
	time.Sleep(time.Second)
	cut := r.leader()
	for _, name := range memberNames {
		r.network.Cut(cut, name)
		r.network.Cut(name, cut)
	}
	time.Sleep(3 * time.Second)
	r.network.Heal()
	time.Sleep(3 * time.Second)
	for _, name := range memberNames {
		r.halt(name)
		r.start(name)
		time.Sleep(2 * time.Second)
	}
}

// claimAndSettle claims one tip and settles it as running and then as answered, within one minute.
func claimAndSettle(ctx context.Context, t *testing.T, c *Client, key, id string) {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	claim := tip(key, id)
	a, err := c.Claim(ctx, claim)
	if err != nil || a.Outcome != message.ClaimOwned {
		t.Errorf("%s: claim %+v, %v", id, a, err)
		return
	}
	for _, state := range []message.RecordState{message.RecordRunning, message.RecordAnswered} {
		s, err := c.Settle(ctx, outcome(claim, a, state))
		if err != nil || !s.Accepted {
			t.Errorf("%s: %s %+v, %v", id, state, s, err)
		}
	}
}

// BenchmarkClaimsOnGroup measures claims per second on three control VMs with the project's own
// log: each group is synced on a quorum of three data folders on this disk. The delay applies
// to each link in each direction, links of the entries included.
func BenchmarkClaimsOnGroup(b *testing.B) {
	for _, delay := range []time.Duration{0, 1500 * time.Microsecond} {
		for _, group := range []int{1, 16, 128, 512} {
			b.Run(fmt.Sprintf("delay=%s/group=%d", delay, group), func(b *testing.B) {
				benchGroup(b, delay, group, benchCallers)
			})
		}
		b.Run(fmt.Sprintf("delay=%s/alone", delay), func(b *testing.B) {
			benchGroup(b, delay, 0, 1)
		})
	}
}

func benchGroup(b *testing.B, delay time.Duration, group, callers int) {
	r := newReplicatedGroup(b, group)
	defer r.haltAll()
	r.leader()
	r.network.Degrade(0, delay)
	clients := make([]*Client, benchEntries)
	for i := range clients {
		clients[i] = r.client(fmt.Sprint("e", i))
		defer clients[i].close()
	}
	claimMany(b, clients, callers)
}
