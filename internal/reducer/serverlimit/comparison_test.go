package serverlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/limit"
)

// Parameters of the comparison: a server that reports serverLimit, and forwarders that together
// would send it demand requests a second, for simulated.
const (
	serverLimit = 1.1
	demand      = 17.0
	simulated   = 2 * time.Minute
	window      = 4 * time.Second
	// propagationDelay is how long the report of a send takes to reach the other forwarders.
	propagationDelay = 500 * time.Millisecond
)

// limiter is a method of enforcing a server's limit.
type limiter interface {
	permits(at time.Time, forwarder int) bool
}

// splitLimiter gives each forwarder a fixed part of the limit.
type splitLimiter []limit.Bucket

func newSplitLimiter(forwarders int) splitLimiter {
	list := make(splitLimiter, forwarders)
	for i := range list {
		list[i] = limit.Bucket{PerSecond: serverLimit / float64(forwarders), Burst: 1}
		list[i].Level(scriptStart)
	}
	return list
}

func (s splitLimiter) permits(at time.Time, forwarder int) bool { return s[forwarder].Take(at, 1, 0) }

// gossipLimiter has each forwarder count every send, those of other forwarders after a delay.
type gossipLimiter struct {
	buckets  []limit.Bucket
	sent     []send
	received []int
}

type send struct {
	at        time.Time
	forwarder int
}

func newGossipLimiter(forwarders int) *gossipLimiter {
	s := &gossipLimiter{received: make([]int, forwarders)}
	for range forwarders {
		b := limit.Bucket{PerSecond: serverLimit, Burst: 1}
		b.Level(scriptStart)
		s.buckets = append(s.buckets, b)
	}
	return s
}

func (s *gossipLimiter) permits(at time.Time, forwarder int) bool {
	b := &s.buckets[forwarder]
	for s.received[forwarder] < len(s.sent) {
		next := s.sent[s.received[forwarder]]
		if at.Sub(next.at) < propagationDelay {
			break
		}
		s.received[forwarder]++
		if next.forwarder != forwarder {
			b.Level(at)
			b.Return(-1)
		}
	}
	if !b.Take(at, 1, 0) {
		return false
	}
	s.sent = append(s.sent, send{at, forwarder})
	return true
}

// leaderLimiter is the implemented method: the leader counts, and forwarders wait for their retry
// time before they request again.
type leaderLimiter struct {
	state    *State
	next     []time.Time
	requests int
}

func newLeaderLimiter(forwarders int) *leaderLimiter {
	l := &leaderLimiter{state: New(), next: make([]time.Time, forwarders)}
	Reduce(l.state, LeadershipObserved{At: scriptStart, Lead: true, Term: 1})
	return l
}

func (l *leaderLimiter) permits(at time.Time, forwarder int) bool {
	if at.Before(l.next[forwarder]) {
		return false
	}
	l.requests++
	a := Reduce(l.state, Requested{At: at, Server: message.ServerStart{Instance: "a"}, PerSecond: serverLimit, ReportedAt: at})[0]
	if !a.Granted {
		l.next[forwarder] = at.Add(a.RetryAfter)
	}
	return a.Granted
}

// outcome is the result of a limiter: the share of the limit that was not used despite the demand,
// and the largest number of requests within the window, divided by the number that the window
// allows.
type outcome struct{ unused, peak float64 }

func simulate(l limiter, forwarders int) outcome {
	random := rand.New(rand.NewPCG(3, uint64(forwarders)))
	const step = time.Millisecond
	var sent []time.Time
	for at := scriptStart; at.Sub(scriptStart) < simulated; at = at.Add(step) {
		if random.Float64() < demand*step.Seconds() && l.permits(at, random.IntN(forwarders)) {
			sent = append(sent, at)
		}
	}
	result := outcome{unused: 1 - float64(len(sent))/(serverLimit*simulated.Seconds())}
	for i, first := range sent {
		count := 0
		for _, at := range sent[i:] {
			if at.Sub(first) < window {
				count++
			}
		}
		result.peak = max(result.peak, float64(count)/(1.5*serverLimit*window.Seconds()+5))
	}
	return result
}

// TestLimitingMethods compares three methods of enforcing a server's limit over 9, 33 and 300
// forwarders on the same requests. A fixed part at each forwarder stays unused until it suffices
// for one request, and then each forwarder sends one. With sends that each forwarder reports to the
// others half a second late, each forwarder makes up for requests that several sent at once; the
// more forwarders, the more of the limit is unused. With the leader's count, all of the limit is
// used, for some requests to the leader a second.
func TestLimitingMethods(t *testing.T) {
	for _, forwarders := range []int{9, 33, 300} {
		t.Run(fmt.Sprint(forwarders), func(t *testing.T) {
			is := is.New(t)
			counter := newLeaderLimiter(forwarders)
			split, gossip, leader := simulate(newSplitLimiter(forwarders), forwarders), simulate(newGossipLimiter(forwarders), forwarders), simulate(counter, forwarders)
			t.Logf("unused part of the limit, and peak by the bound: split %.2f %.2f, gossip %.2f %.2f, leader %.2f %.2f with %.1f requests to the leader a second",
				split.unused, split.peak, gossip.unused, gossip.peak, leader.unused, leader.peak, float64(counter.requests)/simulated.Seconds())
			is.True(leader.unused < 0.1)
			is.True(leader.peak <= 1)
			is.True(leader.unused < split.unused && leader.unused < gossip.unused)
		})
	}
}
