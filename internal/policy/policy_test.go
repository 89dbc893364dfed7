package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

type member struct {
	name, domain string
	load, weight float64
}

func (m *member) Key() string     { return m.name }
func (m *member) Domain() string  { return m.domain }
func (m *member) Load() float64   { return m.load }
func (m *member) Weight() float64 { return m.weight }

func members(n int) []*member {
	var all []*member
	for i := range n {
		all = append(all, &member{
			name:   fmt.Sprintf("server-%d", i),
			domain: string(rune('a' + i%3)),
			weight: 1,
		})
	}
	return all
}

func newRNG() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// TestPickIsDistinct checks that every policy picks as many distinct members as requested
// and available, and keeps the members that were already picked.
func TestPickIsDistinct(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]Name{Reserve, Random, RoundRobin, LeastLoad, Affinity}).Draw(t, "policy")
		all := members(rapid.IntRange(1, 20).Draw(t, "members"))
		for _, m := range all {
			m.load = float64(rapid.IntRange(0, 5).Draw(t, "load"))
			m.weight = float64(rapid.IntRange(1, 10).Draw(t, "weight")) / 10
		}
		want := Criteria{
			Count:  rapid.IntRange(1, 5).Draw(t, "count"),
			Domain: rapid.SampledFrom([]string{"a", "elsewhere"}).Draw(t, "domain"),
			Prefix: rapid.SliceOfN(rapid.Uint64(), 0, 4).Draw(t, "prefix"),
		}
		var before []*member
		if rapid.Bool().Draw(t, "except") {
			before = append(before, all[0])
		}
		pool := NewPool(all)
		for range 3 {
			picked := New[*member](name).Pick(pool, want, newRNG(), append([]*member{}, before...))
			expected := min(len(all), max(want.Count, len(before)))
			seen := map[*member]bool{}
			for _, m := range picked {
				seen[m] = true
			}
			if len(seen) != len(picked) || len(picked) != expected {
				t.Fatalf("policy %s picked %d members, %d of them distinct, want %d", name, len(picked), len(seen), expected)
			}
		}
	})
}

func owners(all []*member, keys int) map[uint64]string {
	pool := NewPool(all)
	found := map[uint64]string{}
	rng := newRNG()
	for range keys {
		hash := rng.Uint64()
		m, _ := pool.ringOwner(hash, nil)
		found[hash] = m.name
	}
	return found
}

// TestOnlyPrefixesOfTheRemovedMemberMove guards against cold caches on all servers after
// one server leaves. This happens if the owner of a prefix depends on the number of servers.
func TestOnlyPrefixesOfTheRemovedMemberMove(t *testing.T) {
	is := is.New(t)
	all := members(16)
	before, after := owners(all, 4000), owners(all[1:], 4000)
	shares := map[string]int{}
	for hash, name := range before {
		shares[name]++
		if name != all[0].name {
			is.Equal(after[hash], name)
		}
	}
	for name, n := range shares {
		is.True(n > 4000/16/2 && n < 4000/16*2) // every share is within a factor of two of the mean
		_ = name
	}
}

// TestAffinitySkipsOverloadedMembers guards against the overload of one server by requests
// that share a prompt. This happens if affinity has no bound on load.
func TestAffinitySkipsOverloadedMembers(t *testing.T) {
	is := is.New(t)
	all := members(8)
	pool := NewPool(all)
	hot, _ := pool.ringOwner(42, nil)
	hot.load = 50
	next, _ := pool.ringOwner(42, nil)
	is.True(next != hot)
	for _, m := range all {
		m.load = 50
	}
	again, found := pool.ringOwner(42, nil)
	is.True(found)
	is.Equal(again, hot) // all are over the bound: the first one is returned
}

// TestSlowMembersGetFewerRequests guards against slow servers that delay every request
// that random choice sends to them. A slow server gets fewer requests, but never none.
func TestSlowMembersGetFewerRequests(t *testing.T) {
	is := is.New(t)
	all := members(4)
	all[0].weight = 0.1
	pool, rng := NewPool(all), newRNG()
	picks := map[*member]int{}
	for range 4000 {
		picks[New[*member](Random).Pick(pool, Criteria{Count: 1}, rng, nil)[0]]++
	}
	is.True(picks[all[0]] > 0)
	is.True(picks[all[0]] < picks[all[1]]/4)
}

func TestReservePicksByDomainAndPrefix(t *testing.T) {
	is := is.New(t)
	all := members(12)
	pool, rng := NewPool(all), newRNG()
	p := New[*member](Reserve)
	for range 100 {
		near := p.Pick(pool, Criteria{Count: 2, Domain: "b"}, rng, nil)
		is.Equal(near[0].domain, "b")
		byPrefix := p.Pick(pool, Criteria{Count: 2, Prefix: []uint64{1, 2, 3}}, rng, nil)
		owner, _ := pool.ringOwner(2, nil)
		is.Equal(byPrefix[0], owner)
	}
	is.True(p.Cost(Estimate{Took: time.Second}) > p.Cost(Estimate{Took: 100 * time.Millisecond, OtherDomain: true}))
	is.True(p.Cost(Estimate{OtherDomain: true}) > p.Cost(Estimate{}))
}

func TestHealth(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var h Health
	is.Equal(h.Weight(now), 1.0)
	for range 20 {
		h.Observe(4*time.Second, time.Second, now)
	}
	is.True(h.Weight(now) < 0.35) // four times slower: about a quarter of the weight
	is.True(h.Correction() > 3)   // predictions of the slow server are corrected
	for range 100 {
		h.RecordFailure(now)
	}
	is.True(h.Weight(now) < 0.1)        // four times slower and failing
	is.True(h.Weight(now) >= minWeight) // the weight never reaches zero
	crashed := Health{}
	for range 20 {
		crashed.RecordFailure(now)
	}
	is.Equal(crashed.Weight(now), 0.25) // one crash that fails 20 requests counts as maxFailures
	later := now.Add(10 * healthDecay)
	is.True(h.Weight(later) > 0.9) // slowness and failures have decayed

	restarted := Health{Since: now}
	is.Equal(restarted.Weight(now), slowStartWeight)
	is.True(restarted.Weight(now.Add(slowStartDuration/2)) < 0.6)
	is.Equal(restarted.Weight(now.Add(slowStartDuration)), 1.0)
}
