package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Retries are limited to a share of successes plus the floor, in any order of
// events.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := BudgetConfig{Share: 0.2, Floor: 0.5, Burst: 10}
		b, now := NewBudget(c), start
		successes, retries := 0.0, 0.0
		b.Wait(now)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "do") {
			case 0:
				b.Succeeded(now)
				successes++
			case 1:
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			default:
				if b.Wait(now) == 0 {
					b.Take(now)
					retries++
				}
			}
			allowed := c.Burst + c.Share*successes + c.Floor*now.Sub(start).Seconds()
			if retries > allowed+1e-6 {
				t.Fatalf("%v retries, %v allowed", retries, allowed)
			}
		}
	})
}

func TestBudgetFloor(t *testing.T) {
	is := is.New(t)
	b := NewBudget(BudgetConfig{Floor: 0.5, Burst: 1})
	is.Equal(b.Wait(start), time.Duration(0))
	b.Take(start)
	is.Equal(b.Wait(start), 2*time.Second)
	is.Equal(b.Wait(start.Add(2*time.Second)), time.Duration(0))
}

func TestFullJitter(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	longest := time.Duration(0)
	for range 1000 {
		pause := FullJitter(rng, 20*time.Millisecond, 2*time.Second, 3)
		is.True(pause > 0 && pause <= 160*time.Millisecond)
		longest = max(longest, pause)
		is.True(FullJitter(rng, 20*time.Millisecond, 2*time.Second, 60) <= 2*time.Second)
	}
	is.True(longest > 140*time.Millisecond) // the whole range is used
}

// Guards against accepted work that waits for a minute after a second of
// stalled transfers. It happens if retries that can't wait take the budget far
// below zero.
func TestDebtIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	b := NewBudget(BudgetConfig{Floor: 1, Burst: 4})
	for range 100 {
		b.Take(now)
	}
	is.True(b.Wait(now) <= 3*time.Second)
	is.True(b.Wait(now) > 0)
}
