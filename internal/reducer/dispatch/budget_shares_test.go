package dispatch

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	sharesDay  = time.Minute
	sharesStep = 100 * time.Millisecond
	// sharesConnect is how long forwarders take to connect to a control VM that has started.
	sharesConnect = time.Second
	sharesSlack   = 100
	// sharesRate is the requests a second of a forwarder.
	sharesRate = 1.4
	// sharesShare is the share of the requests that need a repeat in a fault.
	sharesShare = 0.9
)

// sharing is a way to share the slack of the retry budget between forwarders.
type sharing string

const (
	// shareOfLast divides it by the number of forwarders that a control VM has now.
	shareOfLast sharing = "last"
	// shareOfHighest divides it by the highest recent number.
	shareOfHighest sharing = "highest"
	// shareGrowing is shareOfHighest, from nothing to all over the first window of a process.
	shareGrowing sharing = "growing"
	// shareLater is shareOfHighest, after the first window of a process. State has this way.
	shareLater sharing = "later"
	// shareNothing allows only what a forwarder's own requests earn.
	shareNothing sharing = "nothing"
	// sharePool takes repeats from one count in the control VMs; there are none while they are away.
	sharePool sharing = "pool"
)

// sharesSite is a site of forwarders in a fault, by one way of sharing.
type sharesSite struct {
	way        sharing
	random     *rand.Rand
	now        time.Time
	forwarders []*sharesForwarder
	// controlSince is when the control VMs last started, cut whether the site is cut in two.
	controlSince time.Time
	cut          bool
	// pool are the repeats that were taken from the pool.
	pool             budget
	requests, repeat []int // by step
	refused          []bool
}

type sharesForwarder struct {
	state *State
	since time.Time
}

// start starts a forwarder, without anything that its earlier process knew.
func (s *sharesSite) start(f *sharesForwarder) {
	f.since = s.now
	f.state = New(Config{RetrySlack: sharesSlack, Started: s.now})
	if s.way != shareLater {
		f.state.config.Started = time.Time{}
	}
	Reduce(f.state, Services{Services: []oriolebend.RouteService{{Name: "s"}}})
}

// reported is how many forwarders a control VM knows now.
func (s *sharesSite) reported() int {
	count := len(s.forwarders)
	if s.cut {
		count = (count + 1) / 2
	}
	connected := float64(s.now.Sub(s.controlSince)) / float64(sharesConnect)
	return max(1, int(float64(count)*min(1, connected)))
}

// mayRepeat asks for a repeat by the way of sharing.
func (s *sharesSite) mayRepeat(f *sharesForwarder) bool {
	c := &f.state.config
	c.RetrySlack = sharesSlack
	switch s.way {
	case shareOfHighest, shareLater:
	case shareOfLast:
		f.state.forwarders.Period = 0
	case shareGrowing:
		c.RetrySlack *= min(1, s.now.Sub(f.since).Seconds()/c.RetryWindow.Seconds())
	case shareNothing, sharePool:
		c.RetrySlack = 0
	}
	if _, granted := f.state.requestRepeat(s.now, "s").(Granted); granted || s.way != sharePool {
		return granted
	}
	if s.reported() < len(s.forwarders) {
		return false
	}
	newest := s.pool.advance(s.now, c.RetryWindow)
	if float64(s.pool.sum(s.now, c.RetryWindow).repeats+1) > budgetMargin*sharesSlack {
		return false
	}
	newest.repeats++
	return true
}

// step plays one step; the callers' requests meet random forwarders of the first share of them.
func (s *sharesSite) step(failing, first float64) {
	s.now = s.now.Add(sharesStep)
	for _, f := range s.forwarders {
		Reduce(f.state, FleetChanged{At: s.now, Forwarders: s.reported()})
	}
	requests, repeats, refused := 0, 0, false
	expected := sharesRate * float64(len(s.forwarders)) * sharesStep.Seconds()
	for range int(expected + s.random.Float64()) {
		f := s.forwarders[s.random.IntN(max(1, int(first*float64(len(s.forwarders)))))]
		requests++
		Reduce(f.state, RequestCounted{At: s.now, Service: "s"})
		if s.random.Float64() < failing {
			if s.mayRepeat(f) {
				repeats++
			} else {
				refused = true
			}
		}
	}
	s.requests, s.repeat, s.refused = append(s.requests, requests), append(s.repeat, repeats), append(s.refused, refused)
}

// worst returns the most repeats of a window, as a share of what the rule allows there, and the share of
// steps in which repeats were refused although the window had room.
func (s *sharesSite) worst() (most, below float64) {
	const window = int(DefaultRetryWindow / sharesStep)
	refusedBelow := 0
	for end := 1; end <= len(s.repeat); end++ {
		requests, repeats := 0, 0
		for i := max(0, end-window); i < end; i++ {
			requests, repeats = requests+s.requests[i], repeats+s.repeat[i]
		}
		used := float64(repeats) / (DefaultRetryShare*float64(requests) + sharesSlack)
		most = max(most, used)
		if s.refused[end-1] && used < 1 {
			refusedBelow++
		}
	}
	return most, float64(refusedBelow) / float64(len(s.repeat))
}

// play plays a minute of a scenario.
func (s *sharesSite) play(scenario string) {
	failing, first := sharesShare, 1.0
	for at := time.Duration(0); at < sharesDay; at += sharesStep {
		second := at%time.Second == 0
		restart := second && (at == 25*time.Second || at == 30*time.Second || at == 33*time.Second)
		switch scenario {
		case "calm":
			failing = 0.05
		case "control restarts":
			if restart {
				s.controlSince = s.now
			}
		case "cut":
			s.cut = at >= 20*time.Second && at < 40*time.Second
		case "forwarders restart":
			if restart {
				s.restart()
			}
		case "all restart":
			if restart {
				s.controlSince = s.now
				s.restart()
			}
		case "callers at a tenth":
			failing, first = 0.2, 0.1
		}
		s.step(failing, first)
	}
}

func (s *sharesSite) restart() {
	for _, f := range s.forwarders {
		s.start(f)
	}
}

// Guards against a retry budget that is exceeded because forwarders don't agree on their number, or
// forget what they have used, and shows what ways to share its slack cost. The command
// "shares WAY FORWARDERS..." prints for each scenario the most that a window holds, as a share of what the
// rule allows, and in brackets the share of time in which repeats were refused below that.
func TestSharesOfTheRetryBudget(t *testing.T) {
	scenarios := []string{"calm", "fault", "control restarts", "cut", "forwarders restart", "all restart", "callers at a tenth"}
	datadriven.RunTest(t, "testdata/shares", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		way := sharing(d.CmdArgs[0].Key)
		for _, scenario := range scenarios {
			fmt.Fprintf(&out, "%-20s", scenario)
			for _, count := range []int{9, 30, 361} {
				s := &sharesSite{way: way, random: rand.New(rand.NewPCG(1, 2)), now: scriptStart.Add(time.Hour)}
				s.controlSince = s.now.Add(-time.Minute)
				for range count {
					s.forwarders = append(s.forwarders, &sharesForwarder{})
				}
				s.restart()
				s.play(scenario)
				most, below := s.worst()
				fmt.Fprintf(&out, " %d: %.2f (%.2f)", count, most, below)
				if way == shareLater {
					is.New(t).True(most <= 1)
				}
			}
			out.WriteByte('\n')
		}
		return out.String()
	})
}
