package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/reducer/limit"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// counter is a method of counting a quota over several forwarders.
type counter interface {
	take(at time.Time, forwarder, organisation int, cost float64) bool
}

// Parameters of the comparison.
const (
	organisations = 16
	quotaRate     = 47000.0
	quotaWindow   = 8 * time.Second
	quotaSlack    = 190000.0
	// propagationDelay is how long a grant of one forwarder takes to reach the others.
	propagationDelay = 500 * time.Millisecond
	// hotFactor is how many times its quota the hot organisation requests, usualShare the
	// share of their quota that the others request.
	hotFactor  = 4.2
	usualShare = 1 / 1.8
)

func filledBucket(share float64) *limit.Bucket {
	b := &limit.Bucket{PerSecond: quotaRate * share, Burst: quotaRate * share}
	b.Level(scriptStart.Add(-time.Minute))
	b.Level(scriptStart)
	return b
}

// partitioned reports whether a forwarder is partitioned from all control VMs but one and from
// the other forwarders. Every second forwarder is, for some seconds of the overload.
func partitioned(at time.Time, forwarder int) bool {
	since := at.Sub(scriptStart)
	return forwarder%2 == 1 && since >= 25*time.Second && since < 31*time.Second
}

// splitCounter gives each forwarder a fixed part of each quota.
type splitCounter struct{ buckets [][]*limit.Bucket }

func newSplitCounter(forwarders int) *splitCounter {
	s := &splitCounter{}
	for range forwarders {
		var list []*limit.Bucket
		for range organisations {
			list = append(list, filledBucket(1/float64(forwarders)))
		}
		s.buckets = append(s.buckets, list)
	}
	return s
}

func (s *splitCounter) take(at time.Time, forwarder, organisation int, cost float64) bool {
	return s.buckets[forwarder][organisation].Take(at, cost, 0)
}

// gossipCounter has each forwarder count every grant, those of other forwarders after a delay.
type gossipCounter struct {
	buckets [][]*limit.Bucket
	// sent are the grants of all forwarders, received how many of them a forwarder has applied.
	sent     []sentGrant
	received []int
}

type sentGrant struct {
	grant
	forwarder, organisation int
}

func newGossipCounter(forwarders int) *gossipCounter {
	s := &gossipCounter{received: make([]int, forwarders)}
	for range forwarders {
		var list []*limit.Bucket
		for range organisations {
			list = append(list, filledBucket(1))
		}
		s.buckets = append(s.buckets, list)
	}
	return s
}

func (s *gossipCounter) take(at time.Time, forwarder, organisation int, cost float64) bool {
	for s.received[forwarder] < len(s.sent) && !partitioned(at, forwarder) {
		g := s.sent[s.received[forwarder]]
		if at.Sub(g.at) < propagationDelay || partitioned(at, g.forwarder) {
			break
		}
		s.received[forwarder]++
		if g.forwarder != forwarder {
			s.buckets[forwarder][g.organisation].Level(at)
			s.buckets[forwarder][g.organisation].Return(-g.cost)
		}
	}
	if !s.buckets[forwarder][organisation].Take(at, cost, 0) {
		return false
	}
	s.sent = append(s.sent, sentGrant{grant{at, cost}, forwarder, organisation})
	return true
}

// leaderCounter is the implemented method: the leader's bucket, with the reserve of another
// control VM.
type leaderCounter struct{ leader, other *State }

func newLeaderCounter() *leaderCounter {
	config := Config{Window: quotaWindow, Slack: quotaSlack}
	l := &leaderCounter{leader: New(config), other: New(config)}
	start := scriptStart.Add(-time.Minute)
	Reduce(l.leader, LeadershipObserved{At: start, Lead: true, Leader: "self", Members: 6})
	Reduce(l.other, LeadershipObserved{At: start, Leader: "self", Members: 6})
	var list []oriolebend.Organisation
	for i := range organisations {
		list = append(list, oriolebend.Organisation{Name: fmt.Sprint(i), Quota: oriolebend.Quota{PerSecond: quotaRate, Burst: quotaRate}})
	}
	Reduce(l.leader, Declared{At: start, Organisations: list})
	Reduce(l.other, Declared{At: start, Organisations: list})
	return l
}

func (l *leaderCounter) take(at time.Time, forwarder, organisation int, cost float64) bool {
	queried := l.leader
	if partitioned(at, forwarder) {
		queried = l.other
	}
	return Reduce(queried, Requested{At: at, Organisation: fmt.Sprint(organisation), Cost: cost, Call: uint64(at.UnixNano())})[0].Granted
}

// outcome is the result of a counter over one minute, for a third of which one organisation is
// hot.
type outcome struct {
	// refused is the share of the requests within the quotas that was refused. overBound is the
	// largest amount that one organisation was granted within a window, divided by the bound.
	refused, overBound float64
}

// simulate runs the same requests through a counter. Each organisation's callers reach three
// forwarders.
func simulate(c counter, forwarders int) outcome {
	random := rand.New(rand.NewPCG(7, uint64(forwarders)))
	reach := make([][3]int, organisations)
	exact := make([]*limit.Bucket, organisations)
	grants := make([]fleet, organisations)
	for o := range organisations {
		reach[o] = [3]int{random.IntN(forwarders), random.IntN(forwarders), random.IntN(forwarders)}
		exact[o] = filledBucket(1)
	}
	reach[0] = [3]int{1, 3, 4}  // two of them are partitioned
	within, refused := 0.0, 0.0 // of callers outside of the partition
	const step = 5 * time.Millisecond
	for at := scriptStart; at.Before(scriptStart.Add(time.Minute)); at = at.Add(step) {
		for o := range organisations {
			demand := usualShare
			if o == 0 && at.Sub(scriptStart) >= 20*time.Second && at.Sub(scriptStart) < 40*time.Second {
				demand = hotFactor
			}
			const cost = 5400.0
			if random.Float64() >= demand*quotaRate*step.Seconds()/cost {
				continue
			}
			allowed := exact[o].Take(at, cost, 0)
			granted := c.take(at, reach[o][random.IntN(3)], o, cost)
			if granted {
				grants[o].granted = append(grants[o].granted, grant{at, cost})
			}
			if !allowed || partitioned(at, 1) {
				continue
			}
			within += cost
			if !granted && o > 0 {
				refused += cost
			}
		}
	}
	result := outcome{refused: refused / within}
	bound := quotaRate*quotaWindow.Seconds()*1.1 + quotaRate*1.1 + quotaSlack
	for o := range grants {
		result.overBound = max(result.overBound, grants[o].worst(quotaWindow)/bound)
	}
	return result
}

// TestCountingMethods compares three methods of counting quotas over 33 and 300 forwarders on the
// same requests. With a fixed part of the quota at each forwarder, most requests within the quotas
// are refused. With grants that each forwarder sends to the others half a second late, some of them
// are refused, and the bound is exceeded while half of the forwarders are partitioned. With the
// leader's bucket, neither happens.
func TestCountingMethods(t *testing.T) {
	for _, forwarders := range []int{33, 300} {
		t.Run(fmt.Sprint(forwarders), func(t *testing.T) {
			is := is.New(t)
			split, gossip, leader := simulate(newSplitCounter(forwarders), forwarders), simulate(newGossipCounter(forwarders), forwarders), simulate(newLeaderCounter(), forwarders)
			t.Logf("refused within the quotas, and largest grant by the bound: split %.3f %.2f, gossip %.3f %.2f, leader %.3f %.2f",
				split.refused, split.overBound, gossip.refused, gossip.overBound, leader.refused, leader.overBound)
			is.True(split.refused > 0.5)
			is.True(leader.refused < 0.002)
			is.True(leader.overBound <= 1)
			is.True(gossip.overBound > 1)
			is.True(gossip.refused > leader.refused)
		})
	}
}
