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

// way is a way to count a quota over forwarders.
type way interface {
	take(at time.Time, forwarder, organisation int, cost float64) bool
}

// Figures of the comparison.
const (
	wayOrganisations = 16
	wayRate          = 47000.0
	wayWindow        = 8 * time.Second
	waySlack         = 190000.0
	// toldAfter is how long what a forwarder has given takes to be known to the others.
	toldAfter = 500 * time.Millisecond
	// hotTimes is how many times its quota the hot organisation asks for, usualShare the
	// share of it that the others do.
	hotTimes   = 4.2
	usualShare = 1 / 1.8
)

func wayBucket(share float64) *limit.Bucket {
	b := &limit.Bucket{PerSecond: wayRate * share, Burst: wayRate * share}
	b.Level(scriptStart.Add(-time.Minute))
	b.Level(scriptStart)
	return b
}

// cutOff reports whether a forwarder is cut off from all control VMs but one, and from other
// forwarders: every second one is for some seconds of a hot spell.
func cutOff(at time.Time, forwarder int) bool {
	since := at.Sub(scriptStart)
	return forwarder%2 == 1 && since >= 25*time.Second && since < 31*time.Second
}

// shares gives each forwarder its part of each quota.
type shares struct{ buckets [][]*limit.Bucket }

func newShares(forwarders int) *shares {
	s := &shares{}
	for range forwarders {
		var list []*limit.Bucket
		for range wayOrganisations {
			list = append(list, wayBucket(1/float64(forwarders)))
		}
		s.buckets = append(s.buckets, list)
	}
	return s
}

func (s *shares) take(at time.Time, forwarder, organisation int, cost float64) bool {
	return s.buckets[forwarder][organisation].Take(at, cost, 0)
}

// sums has each forwarder count all, what others have given some time later.
type sums struct {
	buckets [][]*limit.Bucket
	// told are gifts that not all know yet, heard how many of them a forwarder knows.
	told  []toldGift
	heard []int
}

type toldGift struct {
	gift
	forwarder, organisation int
}

func newSums(forwarders int) *sums {
	s := &sums{heard: make([]int, forwarders)}
	for range forwarders {
		var list []*limit.Bucket
		for range wayOrganisations {
			list = append(list, wayBucket(1))
		}
		s.buckets = append(s.buckets, list)
	}
	return s
}

func (s *sums) take(at time.Time, forwarder, organisation int, cost float64) bool {
	for s.heard[forwarder] < len(s.told) && !cutOff(at, forwarder) {
		g := s.told[s.heard[forwarder]]
		if at.Sub(g.at) < toldAfter || cutOff(at, g.forwarder) {
			break
		}
		s.heard[forwarder]++
		if g.forwarder != forwarder {
			s.buckets[forwarder][g.organisation].Level(at)
			s.buckets[forwarder][g.organisation].Return(-g.cost)
		}
	}
	if !s.buckets[forwarder][organisation].Take(at, cost, 0) {
		return false
	}
	s.told = append(s.told, toldGift{gift{at, cost}, forwarder, organisation})
	return true
}

// leading is the leader's bucket with the reserve of another control VM, as it is built.
type leading struct{ leader, other *State }

func newLeading() *leading {
	config := Config{Window: wayWindow, Slack: waySlack}
	l := &leading{leader: New(config), other: New(config)}
	start := scriptStart.Add(-time.Minute)
	Reduce(l.leader, LeadershipObserved{At: start, Lead: true, Leader: "self", Members: 6})
	Reduce(l.other, LeadershipObserved{At: start, Leader: "self", Members: 6})
	var list []oriolebend.Organisation
	for i := range wayOrganisations {
		list = append(list, oriolebend.Organisation{Name: fmt.Sprint(i), Quota: oriolebend.Quota{PerSecond: wayRate, Burst: wayRate}})
	}
	Reduce(l.leader, Declared{At: start, Organisations: list})
	Reduce(l.other, Declared{At: start, Organisations: list})
	return l
}

func (l *leading) take(at time.Time, forwarder, organisation int, cost float64) bool {
	asked := l.leader
	if cutOff(at, forwarder) {
		asked = l.other
	}
	return Reduce(asked, Requested{At: at, Organisation: fmt.Sprint(organisation), Cost: cost, Call: uint64(at.UnixNano())})[0].Granted
}

// compared is what a way did on a minute in which one organisation is hot for a third of it.
type compared struct {
	// lost is the share of what lies within the quotas that was refused, over the most that
	// one organisation was given within a window, by the bound.
	lost, over float64
}

// compare plays the same requests before a way. Each organisation's callers reach three
// forwarders.
func compare(w way, forwarders int) compared {
	random := rand.New(rand.NewPCG(7, uint64(forwarders)))
	reach := make([][3]int, wayOrganisations)
	exact := make([]*limit.Bucket, wayOrganisations)
	given := make([]fleet, wayOrganisations)
	for o := range wayOrganisations {
		reach[o] = [3]int{random.IntN(forwarders), random.IntN(forwarders), random.IntN(forwarders)}
		exact[o] = wayBucket(1)
	}
	reach[0] = [3]int{1, 3, 4} // two of them are cut off
	within, lost := 0.0, 0.0   // of callers that no cut concerns
	const step = 5 * time.Millisecond
	for at := scriptStart; at.Before(scriptStart.Add(time.Minute)); at = at.Add(step) {
		for o := range wayOrganisations {
			demand := usualShare
			if o == 0 && at.Sub(scriptStart) >= 20*time.Second && at.Sub(scriptStart) < 40*time.Second {
				demand = hotTimes
			}
			const cost = 5400.0
			if random.Float64() >= demand*wayRate*step.Seconds()/cost {
				continue
			}
			allowed := exact[o].Take(at, cost, 0)
			granted := w.take(at, reach[o][random.IntN(3)], o, cost)
			if granted {
				given[o].given = append(given[o].given, gift{at, cost})
			}
			if !allowed || cutOff(at, 1) {
				continue
			}
			within += cost
			if !granted && o > 0 {
				lost += cost
			}
		}
	}
	c := compared{lost: lost / within}
	bound := wayRate*wayWindow.Seconds()*1.1 + wayRate*1.1 + waySlack
	for o := range given {
		c.over = max(c.over, given[o].worst(wayWindow)/bound)
	}
	return c
}

// Three ways to count quotas over 33 and 300 forwarders, on the same requests: a part of the
// quota at each forwarder refuses most of what lies within it; sums that are told on half a
// second late refuse some of it, and overrun the bound while half of the forwarders are cut
// off; the leader's bucket does neither.
func TestWaysToCount(t *testing.T) {
	for _, forwarders := range []int{33, 300} {
		t.Run(fmt.Sprint(forwarders), func(t *testing.T) {
			is := is.New(t)
			split, told, built := compare(newShares(forwarders), forwarders), compare(newSums(forwarders), forwarders), compare(newLeading(), forwarders)
			t.Logf("lost within the quotas, and most given by the bound: shares %.3f %.2f, sums %.3f %.2f, leader %.3f %.2f",
				split.lost, split.over, told.lost, told.over, built.lost, built.over)
			is.True(split.lost > 0.5)
			is.True(built.lost < 0.002)
			is.True(built.over <= 1)
			is.True(told.over > 1)
			is.True(told.lost > built.lost)
		})
	}
}
