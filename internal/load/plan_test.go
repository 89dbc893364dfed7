package load

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/prefix"
	"github.com/oriolebend/oriolebend/internal/settings"
)

func testDescription() Description {
	d := Description{
		Seed: 7, Rate: 200, Duration: settings.Duration(20 * time.Second), Requests: 5000,
		Classes: []Class{
			{
				Name: "brief", Kind: KindCompletion, Share: 3, Model: "planner-lm", CancelShare: 0.1, CancelAfter: settings.Duration(time.Second),
				PromptTokens: Spread{100, 200, 800}, OutputTokens: Spread{4, 8, 16}, Prefixes: 3, PrefixTokens: 50,
			},
			{Name: "ping", Kind: KindCall, Share: 1, Path: "/services/dispatch-api/arrivals", PromptTokens: Spread{5, 5, 5}, DuplicateShare: 0.5},
		},
	}
	d.fillDefaults()
	return d
}

func TestPlanIsSeeded(t *testing.T) {
	is := is.New(t)
	d := testDescription()
	plan := Plan(d)
	is.Equal(plan, Plan(d))
	is.Equal(d.prompt(plan[9]), d.prompt(plan[9]))
	d.Seed++
	is.True(plan[9] != Plan(d)[9])
}

// TestPlanFollowsDescription checks that shares, rate, lengths and prefixes of a plan
// are as described, within four standard deviations.
func TestPlanFollowsDescription(t *testing.T) {
	is := is.New(t)
	d := testDescription()
	plan := Plan(d)
	near := func(got int, of int, share float64) bool {
		return math.Abs(float64(got)-float64(of)*share) < 4*math.Sqrt(float64(of)*share*(1-share))
	}
	is.True(math.Abs(float64(len(plan))-4000) < 4*math.Sqrt(4000))
	briefs, cancelled, again, above := 0, 0, 0, 0
	for _, r := range plan {
		if r.Duplicate {
			again++
		}
		if r.Class != 0 {
			continue
		}
		briefs++
		is.True(r.PromptTokens >= 100 && r.PromptTokens <= 800 && r.OutputTokens >= 4 && r.OutputTokens <= 16)
		if r.CancelAfter > 0 {
			cancelled++
		}
		if r.PromptTokens > 200 {
			above++
		}
	}
	is.True(near(briefs, len(plan), 0.75))
	is.True(near(cancelled, briefs, 0.1))
	is.True(near(again, len(plan)-briefs, 0.5))
	is.True(near(above, briefs, 0.5))

	first, second := firstOf(plan, 0, 1), firstOf(plan, 0, 2)
	is.Equal(prefix.CountTokens(d.prompt(first)), first.PromptTokens)
	shared := func(a, b Request) bool { return d.prompt(a)[:250] == d.prompt(b)[:250] }
	is.True(shared(first, first) && !shared(first, second))
}

func firstOf(plan []Request, class, prefix int) Request {
	for _, r := range plan {
		if r.Class == class && r.Prefix == prefix {
			return r
		}
	}
	return Request{}
}

func TestBursts(t *testing.T) {
	is := is.New(t)
	d := testDescription()
	d.Arrivals = Arrivals{
		Kind: ArriveBursts, BurstEvery: settings.Duration(time.Second),
		BurstFor: settings.Duration(200 * time.Millisecond), BurstFactor: 3,
	}
	within, plan := 0, Plan(d)
	for _, r := range plan {
		if r.At%time.Second < 200*time.Millisecond {
			within++
		}
	}
	is.True(math.Abs(float64(len(plan))-4000) < 300)
	is.True(math.Abs(float64(within)/float64(len(plan))-0.6) < 0.05)
}

// TestAllFaultsReported checks that a description's error lists all of its faults.
func TestAllFaultsReported(t *testing.T) {
	for _, c := range []struct {
		text   string
		faults int
	}{
		{"rate = 1\nclases = 2\n[arrivals]\nkid = 3\n", 2},
		{"rate = \"a\"", 1},
		{"rate = ", 1},
		{"entries = [\"nowhere\"]\n[arrivals]\nkind = \"bursts\"\n", 4},
		{"rate = 1\n[[classes]]\nname = \"a\"\nkind = \"poem\"\nshare = -1\ncancelShare = 2\nurgency = \"now\"\n", 7},
		{"rate = 1\n[[classes]]\nname = \"a\"\nshare = 1\nkind = \"call\"\npromptTokens = {min = 1, median = 1, max = 1}\n[[failures]]\ndo = \"x\"\n", 2},
	} {
		is := is.New(t)
		_, err := Parse("a.toml", []byte(c.text))
		found, ok := err.(*DescriptionError)
		is.True(ok)
		is.Equal(len(found.Faults), c.faults)
	}
}
