package quarantine

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
)

// rule decides, from crashes and answers, which requests are held back.
type rule interface {
	crashed(at time.Time, suspects Suspects, server string)
	answered(began time.Time, suspects Suspects)
	held(at time.Time, suspects Suspects) bool
}

// countRule holds a part back after Limit crashes. If clears is set, an answer clears the crashes
// before it.
type countRule struct {
	clears  bool
	crashes map[Fingerprint]map[string]time.Time
}

func (c *countRule) crashed(at time.Time, suspects Suspects, server string) {
	for _, part := range suspects.Parts {
		if c.crashes[part] == nil {
			c.crashes[part] = map[string]time.Time{}
		}
		c.crashes[part][server] = at
	}
}

func (c *countRule) answered(began time.Time, suspects Suspects) {
	if !c.clears {
		return
	}
	for _, part := range suspects.Parts {
		maps.DeleteFunc(c.crashes[part], func(_ string, at time.Time) bool { return !at.After(began) })
	}
}

func (c *countRule) held(_ time.Time, suspects Suspects) bool {
	return slices.ContainsFunc(suspects.Parts, func(part Fingerprint) bool { return len(c.crashes[part]) >= Limit })
}

// stateRule is the State of this package.
type stateRule struct{ state *State }

func (r stateRule) crashed(at time.Time, suspects Suspects, server string) {
	Reduce(r.state, Crashed{At: at, Suspects: suspects, Server: message.ServerStart{Instance: server}})
}

func (r stateRule) answered(began time.Time, suspects Suspects) {
	Reduce(r.state, Answered{At: began, Suspects: suspects})
}

func (r stateRule) held(at time.Time, suspects Suspects) bool {
	_, held := r.state.Quarantined(at, suspects)
	return held
}

var rules = map[string]func() rule{
	"count":       func() rule { return &countRule{crashes: map[Fingerprint]map[string]time.Time{}} },
	"cleared":     func() rule { return &countRule{clears: true, crashes: map[Fingerprint]map[string]time.Time{}} },
	"explanation": func() rule { return stateRule{New(Config{TrackAnswers: true})} },
}

// pattern is a load on a fleet of 20 servers, for one minute.
type pattern struct {
	// sound and deadly are requests per second.
	sound, deadly float64
	// firsts is the number of first parts that requests have, seconds that of second parts of sound
	// ones. deadlyParts is the number of second parts that crash servers.
	firsts, seconds, deadlyParts int
	// chance is the number of servers per second that crash for other reasons, domainAt when five
	// servers crash at one moment; zero means never.
	chance   float64
	domainAt time.Duration
}

var patterns = map[string]pattern{
	"one part":                 {sound: 10, deadly: 1.3, firsts: 8, seconds: 300, deadlyParts: 1},
	"two parts":                {sound: 10, deadly: 2, firsts: 1, seconds: 300, deadlyParts: 2},
	"a part of all requests":   {sound: 10, deadly: 1.3, firsts: 1, seconds: 300, deadlyParts: 1},
	"frequent":                 {sound: 40, deadly: 8, firsts: 8, seconds: 300, deadlyParts: 1},
	"crashes by chance":        {sound: 40, firsts: 4, seconds: 20, chance: 1},
	"by chance and a part":     {sound: 20, deadly: 1.3, firsts: 4, seconds: 40, deadlyParts: 1, chance: 0.5},
	"a failure domain is lost": {sound: 60, firsts: 300, seconds: 4, domainAt: 20 * time.Second},
}

const (
	// runBefore is for how long a request may be at its server while it counts as just begun, lifetime
	// how long it takes, and downTime for how long a server is down.
	runBefore = 500 * time.Millisecond
	lifetime  = 2 * time.Second
	downTime  = 2 * time.Second
	stepTime  = 10 * time.Millisecond
)

// day plays a pattern under a rule.
type day struct {
	pattern
	rule
	random *rand.Rand
	// now is the time, running are the requests at each server, down is when a server is back.
	now     time.Time
	running map[int][]runningRequest
	down    map[int]time.Time
	starts  map[int]int
	next    Fingerprint

	crashes, soundSent, soundHeld int
}

type runningRequest struct {
	suspects Suspects
	began    time.Time
	answered bool
}

const firstPart, secondPart, deadlyPart = 1_000, 2_000, 9_000

func (d *day) run(length time.Duration) {
	begin := d.now
	for d.now.Sub(begin) < length {
		d.now = d.now.Add(stepTime)
		d.answer()
		for range d.poisson(d.sound) {
			d.send(d.request(secondPart, d.seconds), false)
		}
		for range d.poisson(d.deadly) {
			d.send(d.request(deadlyPart, d.deadlyParts), true)
		}
		for range d.poisson(d.chance) {
			d.crash(d.random.IntN(20))
		}
		if d.domainAt > 0 && d.now.Sub(begin) == d.domainAt {
			for server := range 5 {
				d.crash(server)
			}
		}
	}
}

// poisson draws the number of events in one step.
func (d *day) poisson(perSecond float64) int {
	if d.random.Float64() < perSecond*stepTime.Seconds() {
		return 1
	}
	return 0
}

func (d *day) request(second, kinds int) Suspects {
	d.next++
	return Suspects{Request: 1_000_000 + d.next, Parts: []Fingerprint{
		Fingerprint(firstPart + d.random.IntN(d.firsts)), Fingerprint(second + d.random.IntN(kinds)),
	}}
}

func (d *day) send(suspects Suspects, deadly bool) {
	held := d.held(d.now, suspects)
	if !deadly {
		d.soundSent++
		if held {
			d.soundHeld++
		}
	}
	if held {
		return
	}
	server := d.random.IntN(20)
	for d.now.Before(d.down[server]) {
		server = d.random.IntN(20)
	}
	d.running[server] = append(d.running[server], runningRequest{suspects: suspects, began: d.now})
	if deadly {
		d.crash(server)
	}
}

// answer ends requests, and reports those that have lasted for long enough.
func (d *day) answer() {
	for server, list := range d.running {
		for i := range list {
			if !list[i].answered && d.now.Sub(list[i].began) >= runBefore {
				list[i].answered = true
				d.answered(list[i].began, list[i].suspects)
			}
		}
		d.running[server] = slices.DeleteFunc(list, func(r runningRequest) bool { return d.now.Sub(r.began) >= lifetime })
	}
}

func (d *day) crash(server int) {
	d.crashes++
	d.starts[server]++
	d.down[server] = d.now.Add(downTime)
	for _, r := range d.running[server] {
		if !r.answered {
			d.crashed(d.now, r.suspects, fmt.Sprintf("%d.%d", server, d.starts[server]))
		}
	}
	delete(d.running, server)
}

// TestRulesCompared plays each pattern under each rule, in virtual time and without delay between
// processes, and compares the servers that crash and the sound requests that are held back with
// testdata/comparison.
func TestRulesCompared(t *testing.T) {
	const seeds = 20
	datadriven.RunTest(t, "testdata/comparison", func(t *testing.T, _ *datadriven.TestData) string {
		var out strings.Builder
		fmt.Fprintf(&out, "%-26s %-12s %8s %10s\n", "pattern", "rule", "crashes", "held back")
		for _, name := range slices.Sorted(maps.Keys(patterns)) {
			for _, ruleName := range slices.Sorted(maps.Keys(rules)) {
				crashes, sent, held := 0, 0, 0
				for seed := range uint64(seeds) {
					d := &day{
						pattern: patterns[name], rule: rules[ruleName](), random: rand.New(rand.NewPCG(seed, 0)), now: scriptStart,
						running: map[int][]runningRequest{}, down: map[int]time.Time{}, starts: map[int]int{},
					}
					d.run(time.Minute)
					crashes, sent, held = crashes+d.crashes, sent+d.soundSent, held+d.soundHeld
				}
				share := float64(held) / float64(sent)
				fmt.Fprintf(&out, "%-26s %-12s %8.1f %9.1f%%\n", name, ruleName, float64(crashes)/seeds, 100*share)
				if ruleName == "explanation" {
					is.New(t).True(share < 0.5) // what the users allow
				}
			}
		}
		return out.String()
	})
}
