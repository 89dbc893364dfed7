package quota

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// serveAll serves the sessions of forwarders and of other control VMs, as an endpoint does.
func serveAll(s *Server) peer.Handler {
	return func(ctx context.Context, stream peer.Stream) {
		first, err := stream.Receive()
		if err != nil {
			return
		}
		replayed := &replayedStream{Stream: stream, first: first}
		if first.Kind() == message.KindQuotaLease {
			s.ServeLeases(ctx, replayed)
			return
		}
		s.Serve(ctx, replayed)
	}
}

// replayedStream is a stream whose first message was received already.
type replayedStream struct {
	peer.Stream
	first message.Message
}

func (s *replayedStream) Receive() (message.Message, error) {
	if m := s.first; m != nil {
		s.first = nil
		return m, nil
	}
	return s.Stream.Receive()
}

// leaseGroup is a group of six control VMs with quota leases.
type leaseGroup struct {
	*group
	lost atomic.Pointer[time.Time]
}

// thousands is a quota with a burst of a second.
var thousands = oriolebend.Quota{PerSecond: 1000, Burst: 1000}

// testLeases runs a test in which c0 has led for ten seconds and all control VMs lose it now.
func testLeases(t *testing.T, q oriolebend.Quota, test func(*testing.T, *is.I, *leaseGroup)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := &leaseGroup{}
		l.lost.Store(new(time.Now()))
		l.group = newGroup(ctx, t, 6, q, func(g *group, s *Server) {
			s.Leases = &Leases{
				Dialer: g.network.Dialer(s.Self), Members: g.voters,
				Lost: func() time.Time {
					if loadAddress(&g.leader) != "" {
						return time.Time{}
					}
					return *l.lost.Load()
				},
			}
		})
		l.setLeader("c0:1")
		time.Sleep(10 * time.Second)
		l.loseLeader()
		test(t, is.New(t), l)
		cancel()
		time.Sleep(time.Second) // requests for leases to members that are cut off end
		synctest.Wait()
	})
}

func (g *group) voters() []message.Member {
	var list []message.Member
	for _, address := range g.addresses {
		list = append(list, message.Member{Name: address, Address: address, Voter: true})
	}
	return list
}

func (l *leaseGroup) loseLeader() {
	l.setLeader("")
	l.lost.Store(new(time.Now()))
}

// partition cuts the links between c0 to c2 and c3 to c5, and those of the forwarder to unreached.
func (l *leaseGroup) partition(unreached ...int) {
	for a := range 6 {
		for b := range 6 {
			if a/3 != b/3 {
				l.network.Cut(l.addresses[a], l.addresses[b])
			}
		}
	}
	for _, i := range unreached {
		l.network.Cut(client, l.addresses[i])
		l.network.Cut(l.addresses[i], client)
	}
}

// serve requests units for a while, and returns how many were granted and how many requests were not
// counted.
func (l *leaseGroup) serve(t *testing.T, c *Client, perSecond float64, duration time.Duration) (granted float64, uncounted int) {
	t.Helper()
	const interval = 20 * time.Millisecond
	cost := perSecond * interval.Seconds()
	for next := time.Now(); duration > 0; duration -= interval {
		next = next.Add(interval)
		time.Sleep(time.Until(next))
		switch _, reason, _ := take(t, c, cost); reason {
		case "":
			granted += cost
		case oriolebend.ReasonControlAway:
			uncounted++
		}
	}
	return granted, uncounted
}

// Guards against refusing an organisation below its quota while control VMs are partitioned three
// and three. A forwarder that reaches one side is served half of the quota, one that reaches both
// sides all of it and no more.
func TestPartitionThreeAndThree(t *testing.T) {
	for name, test := range map[string]struct {
		unreached []int
		demand    float64
		least     float64
		most      float64
	}{
		"one side":           {unreached: []int{3, 4, 5}, demand: 450, least: 0.999, most: 1},
		"both sides":         {demand: 900, least: 0.999, most: 1},
		"beyond the limit":   {demand: 3000, least: 0.30, most: 0.36},
		"one side, too much": {unreached: []int{0, 1, 2}, demand: 3000, least: 0.15, most: 0.18},
	} {
		t.Run(name, func(t *testing.T) {
			testLeases(t, thousands, func(t *testing.T, is *is.I, l *leaseGroup) {
				l.partition(test.unreached...)
				time.Sleep(1500 * time.Millisecond)
				c := l.client()
				defer c.Close()
				l.serve(t, c, test.demand, 2*time.Second) // the reserves are used up, and holders are found
				granted, uncounted := l.serve(t, c, test.demand, 4*time.Second)
				is.Equal(uncounted, 0)
				share := granted / (4 * test.demand)
				if share < test.least || share > test.most {
					t.Errorf("a share of %.3f was granted, it must be from %.3f to %.3f", share, test.least, test.most)
				}
			})
		})
	}
}

// Guards against a refusal after a change of the leader, in which no lease was granted: the new leader
// grants the whole quota as soon as the other control VMs have answered that.
func TestNewLeaderSettlesAtOnce(t *testing.T) {
	testLeases(t, thousands, func(t *testing.T, is *is.I, l *leaseGroup) {
		time.Sleep(200 * time.Millisecond)
		l.setLeader("c1:1")
		time.Sleep(leaderCheckInterval)
		synctest.Wait()
		s := l.servers["c1:1"]
		s.mutex.Lock()
		defer s.mutex.Unlock()
		is.Equal(s.Leases.state.Share(time.Now()), 1.0)
	})
}

// Guards against a holder that still grants under its leases when a leader does. Without a partition
// one control VM holds all leases, or two half of them each.
func TestHolderStopsWithALeader(t *testing.T) {
	testLeases(t, thousands, func(t *testing.T, is *is.I, l *leaseGroup) {
		time.Sleep(1500 * time.Millisecond)
		c := l.client()
		defer c.Close()
		_, reason, _ := take(t, c, 1)
		is.Equal(reason, oriolebend.Reason(""))
		is.Equal(l.held(), 1.0)
		l.setLeader("c3:1")
		time.Sleep(leaderCheckInterval)
		synctest.Wait()
		is.Equal(l.held(), 0.0)
		keeper, _, _ := take(t, c, 1)
		is.Equal(keeper, "c3:1")
	})
}

// held returns the sum of the shares that are held under leases.
func (l *leaseGroup) held() float64 {
	sum := 0.0
	for _, s := range l.servers {
		sum += s.LeaseStatus().Share
	}
	return sum
}
