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

// Figures of the comparison: a server that names wayLimit, and forwarders that would together
// send it wayDemand, for wayLength.
const (
	wayLimit  = 1.1
	wayDemand = 17.0
	wayLength = 2 * time.Minute
	wayWindow = 4 * time.Second
	// toldAfter is how long what a forwarder has sent takes to be known to the others.
	toldAfter = 500 * time.Millisecond
)

// way is a way to keep to a server's limit.
type way interface {
	permits(at time.Time, forwarder int) bool
}

// shares gives each forwarder its part.
type shares []limit.Bucket

func newShares(forwarders int) shares {
	list := make(shares, forwarders)
	for i := range list {
		list[i] = limit.Bucket{PerSecond: wayLimit / float64(forwarders), Burst: 1}
		list[i].Level(scriptStart)
	}
	return list
}

func (s shares) permits(at time.Time, forwarder int) bool { return s[forwarder].Take(at, 1, 0) }

// sums has each forwarder count all, what others have sent some time later.
type sums struct {
	buckets []limit.Bucket
	told    []toldSending
	heard   []int
}

type toldSending struct {
	at        time.Time
	forwarder int
}

func newSums(forwarders int) *sums {
	s := &sums{heard: make([]int, forwarders)}
	for range forwarders {
		b := limit.Bucket{PerSecond: wayLimit, Burst: 1}
		b.Level(scriptStart)
		s.buckets = append(s.buckets, b)
	}
	return s
}

func (s *sums) permits(at time.Time, forwarder int) bool {
	b := &s.buckets[forwarder]
	for s.heard[forwarder] < len(s.told) {
		sent := s.told[s.heard[forwarder]]
		if at.Sub(sent.at) < toldAfter {
			break
		}
		s.heard[forwarder]++
		if sent.forwarder != forwarder {
			b.Level(at)
			b.Return(-1)
		}
	}
	if !b.Take(at, 1, 0) {
		return false
	}
	s.told = append(s.told, toldSending{at, forwarder})
	return true
}

// leading is the leader's count as it is built, with forwarders that don't ask before they
// are to.
type leading struct {
	state *State
	next  []time.Time
	asked int
}

func newLeading(forwarders int) *leading {
	l := &leading{state: New(), next: make([]time.Time, forwarders)}
	Reduce(l.state, LeadershipObserved{At: scriptStart, Lead: true, Term: 1})
	return l
}

func (l *leading) permits(at time.Time, forwarder int) bool {
	if at.Before(l.next[forwarder]) {
		return false
	}
	l.asked++
	a := Reduce(l.state, Requested{At: at, Server: message.ServerStart{Instance: "a"}, PerSecond: wayLimit, ReportedAt: at})[0]
	if !a.Granted {
		l.next[forwarder] = at.Add(a.RetryAfter)
	}
	return a.Granted
}

// played is what a way did: the share of the limit that was refused though somebody asked for
// it, and the most that the server got within the window, by what the window allows.
type played struct{ unused, most float64 }

func play(w way, forwarders int) played {
	random := rand.New(rand.NewPCG(3, uint64(forwarders)))
	const step = time.Millisecond
	var sent []time.Time
	for at := scriptStart; at.Sub(scriptStart) < wayLength; at = at.Add(step) {
		if random.Float64() < wayDemand*step.Seconds() && w.permits(at, random.IntN(forwarders)) {
			sent = append(sent, at)
		}
	}
	p := played{unused: 1 - float64(len(sent))/(wayLimit*wayLength.Seconds())}
	for i, first := range sent {
		count := 0
		for _, at := range sent[i:] {
			if at.Sub(first) < wayWindow {
				count++
			}
		}
		p.most = max(p.most, float64(count)/(1.5*wayLimit*wayWindow.Seconds()+5))
	}
	return p
}

// Three ways to keep to a server's limit over 9, 33 and 300 forwarders, on the same requests: a
// part of it at each forwarder stays unused for as long as it takes to save up one request, and
// then each sends one; sums that are told on half a second late have each forwarder make up for
// what several sent at once, and leave the more unused the more there are; the leader's count
// uses all, and is asked some times a second.
func TestWaysToKeepToALimit(t *testing.T) {
	for _, forwarders := range []int{9, 33, 300} {
		t.Run(fmt.Sprint(forwarders), func(t *testing.T) {
			is := is.New(t)
			built := newLeading(forwarders)
			split, told, counted := play(newShares(forwarders), forwarders), play(newSums(forwarders), forwarders), play(built, forwarders)
			t.Logf("unused of the limit, and most by what is allowed: shares %.2f %.2f, sums %.2f %.2f, leader %.2f %.2f with %.1f questions a second",
				split.unused, split.most, told.unused, told.most, counted.unused, counted.most, float64(built.asked)/wayLength.Seconds())
			is.True(counted.unused < 0.1)
			is.True(counted.most <= 1)
			is.True(counted.unused < split.unused && counted.unused < told.unused)
		})
	}
}
