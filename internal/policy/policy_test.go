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

// Every policy gives as many different members as are wanted and there are,
// and keeps what was picked before.
func TestPickIsDistinct(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]Name{Reserve, Random, RoundRobin, LeastLoad, Affinity}).Draw(t, "policy")
		all := members(rapid.IntRange(1, 20).Draw(t, "members"))
		for _, m := range all {
			m.load = float64(rapid.IntRange(0, 5).Draw(t, "load"))
			m.weight = float64(rapid.IntRange(1, 10).Draw(t, "weight")) / 10
		}
		want := Want{
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
				t.Fatalf("%s picked %d, %d different, of %d", name, len(picked), len(seen), expected)
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
		m, _ := pool.owner(hash, nil)
		found[hash] = m.name
	}
	return found
}

// Symptom: all cached prefixes are cold after one server left.
// Cause: the owner of a prefix depends on the number of servers.
func TestOnlyTheLostMembersPrefixesMove(t *testing.T) {
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
		is.True(n > 4000/16/2 && n < 4000/16*2) // no member owns far too much
		_ = name
	}
}

// Symptom: one server drowns in requests that share a prompt.
// Cause: affinity without a bound on load.
func TestAffinityPassesOverLoad(t *testing.T) {
	is := is.New(t)
	all := members(8)
	pool := NewPool(all)
	hot, _ := pool.owner(42, nil)
	hot.load = 50
	next, _ := pool.owner(42, nil)
	is.True(next != hot)
	for _, m := range all {
		m.load = 50
	}
	again, found := pool.owner(42, nil)
	is.True(found)
	is.Equal(again, hot) // all are over: the first counts
}

// Symptom: a slow server holds every request that random choice sends it.
// A server that is slow gets less, and never nothing.
func TestSlowMembersGetLess(t *testing.T) {
	is := is.New(t)
	all := members(4)
	all[0].weight = 0.1
	pool, rng := NewPool(all), newRNG()
	got := map[*member]int{}
	for range 4000 {
		got[New[*member](Random).Pick(pool, Want{Count: 1}, rng, nil)[0]]++
	}
	is.True(got[all[0]] > 0)
	is.True(got[all[0]] < got[all[1]]/4)
}

func TestReserveAsksNearAndByPrefix(t *testing.T) {
	is := is.New(t)
	all := members(12)
	pool, rng := NewPool(all), newRNG()
	p := New[*member](Reserve)
	for range 100 {
		near := p.Pick(pool, Want{Count: 2, Domain: "b"}, rng, nil)
		is.Equal(near[0].domain, "b")
		byPrefix := p.Pick(pool, Want{Count: 2, Prefix: []uint64{1, 2, 3}}, rng, nil)
		owner, _ := pool.owner(2, nil)
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
	is.True(h.Weight(now) < 0.35) // four times slower: a quarter
	is.True(h.Correction() > 3)   // and its predictions are corrected
	for range 100 {
		h.Fail(now)
	}
	is.True(h.Weight(now) < 0.1)          // four times slower, and it failed
	is.True(h.Weight(now) >= leastWeight) // never nothing
	died := Health{}
	for range 20 {
		died.Fail(now)
	}
	is.Equal(died.Weight(now), 0.25) // one death is not twenty
	later := now.Add(10 * healthFades)
	is.True(h.Weight(later) > 0.9) // forgotten

	returned := Health{Since: now}
	is.Equal(returned.Weight(now), startWeight)
	is.True(returned.Weight(now.Add(slowStart/2)) < 0.6)
	is.Equal(returned.Weight(now.Add(slowStart)), 1.0)
}
