package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// unevenSite is an allocator and engines that differ in speed. A step of an engine takes longer with
// each generation, and engines pause. Requests arrive in waves of half the mean.
type unevenSite struct {
	random  *rand.Rand
	state   *State
	now     time.Time
	engines []*unevenEngine
	waits   map[Key]dispatch.Need
	// decisions lists each answer, streams the time of each stream by the phase of the wave.
	decisions    []string
	peak, trough meanTime
	refused      int
	// unmeasured is set if the ends of streams are reported as by a forwarder that measures nothing.
	unmeasured bool
}

type meanTime struct {
	count int
	sum   time.Duration
}

func (m *meanTime) add(d time.Duration) { m.count, m.sum = m.count+1, m.sum+d }

func (m *meanTime) mean() time.Duration { return m.sum / time.Duration(max(1, m.count)) }

type unevenEngine struct {
	factor      float64
	pausesUntil time.Time
	pauseEnds   time.Time
	streams     []*unevenStream
}

type unevenStream struct {
	key     Key
	granted time.Time
	began   time.Time
	written float64
	events  int
	inPeak  bool
}

const (
	unevenStep   = 5 * time.Millisecond
	unevenPeriod = 13 * time.Second
	unevenRead   = 100 * time.Millisecond
	// unevenEvent is the time of an event at an engine with factor one, and unevenSlope the part of
	// it that each further generation adds.
	unevenEvent = 30 * time.Millisecond
	unevenSlope = 0.035
	// Pauses begin every three seconds and last for half a second, at 1 / 2.5 of the speed.
	unevenBetween, unevenPause, unevenPaused = 3 * time.Second, 500 * time.Millisecond, 2.5
)

func newUnevenSite(factors []float64, ignoreSpeeds bool) *unevenSite {
	s := &unevenSite{random: rand.New(rand.NewPCG(1, 2)), state: New(1), now: scriptStart, waits: map[Key]dispatch.Need{}}
	if ignoreSpeeds {
		s.state.IgnoreSpeeds()
	}
	var servers []message.BackendServer
	for i := range 48 {
		s.engines = append(s.engines, &unevenEngine{factor: factors[i%len(factors)]})
		servers = append(servers, message.BackendServer{Instance: fmt.Sprintf("d%02d", i), Service: "s", Phase: message.PhaseReady, Role: oriolebend.Decode})
	}
	for i := range 8 {
		servers = append(servers, message.BackendServer{Instance: fmt.Sprint("p", i), Service: "s", Phase: message.PhaseReady, Role: oriolebend.Prefill})
	}
	Reduce(s.state, Fleet{
		Services: dispatch.Services{Services: []oriolebend.RouteService{{Name: "s", Engine: &oriolebend.EngineLimits{KVTokens: 46_927}}}},
		Servers:  dispatch.Fleet{At: s.now, Servers: servers, Forwarders: 1},
	})
	return s
}

// run lets requests arrive at a mean rate for a time.
func (s *unevenSite) run(perSecond float64, span time.Duration) {
	id := uint64(0)
	next := s.now
	for end := s.now.Add(span); s.now.Before(end); s.now = s.now.Add(unevenStep) {
		for !s.now.Before(next) {
			id++
			s.request(id)
			wave := 1 + math.Sin(2*math.Pi*s.now.Sub(scriptStart).Seconds()/unevenPeriod.Seconds())/2
			next = next.Add(time.Duration(s.random.ExpFloat64() / (perSecond * wave) * float64(time.Second)))
		}
		for i, e := range s.engines {
			s.step(i, e)
		}
		if s.now.Sub(scriptStart)%(50*time.Millisecond) == 0 {
			s.apply(Reduce(s.state, Ticked{At: s.now}))
		}
	}
}

func (s *unevenSite) request(id uint64) {
	key, need := Key{Session: 1, ID: id}, dispatch.Need{
		Service: "s", Prompt: 3000 + s.random.IntN(4400), Output: 700, FirstWithin: 900 * time.Millisecond, PauseWithin: 200 * time.Millisecond,
	}
	s.waits[key] = need
	s.apply(Reduce(s.state, Requested{At: s.now, Key: key, Need: need, InTime: s.now.Add(600 * time.Millisecond), Until: s.now.Add(2700 * time.Millisecond)}))
}

func (s *unevenSite) apply(answers []Answer) {
	for _, a := range answers {
		delete(s.waits, a.Key)
		if a.Refused != nil {
			s.refused++
			s.decisions = append(s.decisions, fmt.Sprint(a.Key.ID, " refused"))
			continue
		}
		s.decisions = append(s.decisions, fmt.Sprint(a.Key.ID, " to ", a.Grant.Server.Instance))
		engine := 0
		fmt.Sscanf(a.Grant.Server.Instance, "d%d", &engine)
		phase := s.now.Sub(scriptStart) % unevenPeriod
		s.engines[engine].streams = append(s.engines[engine].streams, &unevenStream{
			key: a.Key, granted: s.now, events: 50 + s.random.IntN(41), inPeak: phase < unevenPeriod/2,
		})
	}
}

// step lets an engine work for one step.
func (s *unevenSite) step(i int, e *unevenEngine) {
	if !s.now.Before(e.pausesUntil) {
		e.pauseEnds = s.now.Add(unevenPause)
		e.pausesUntil = s.now.Add(time.Duration((0.5 + s.random.Float64()) * float64(unevenBetween)))
	}
	took := e.factor * unevenEvent.Seconds() * (1 + unevenSlope*float64(len(e.streams)))
	if s.now.Before(e.pauseEnds) {
		took *= unevenPaused
	}
	for _, v := range slices.Clone(e.streams) {
		if s.now.Sub(v.granted) < unevenRead {
			continue
		}
		if v.began.IsZero() {
			v.began = s.now
			Reduce(s.state, PrefillEnded{At: s.now, Key: v.key, Took: unevenRead})
		}
		if v.written += unevenStep.Seconds() / took; v.written >= float64(v.events) {
			s.end(e, v)
		}
	}
}

func (s *unevenSite) end(e *unevenEngine, v *unevenStream) {
	e.streams = slices.DeleteFunc(e.streams, func(other *unevenStream) bool { return other == v })
	took := s.now.Sub(v.began)
	if s.now.Sub(scriptStart) > 2*unevenPeriod {
		if v.inPeak {
			s.peak.add(took)
		} else {
			s.trough.add(took)
		}
	}
	ended := Ended{At: s.now, Key: v.key, Outcome: dispatch.OutcomeAnswered}
	if !s.unmeasured {
		ended.Writing, ended.Events = took, v.events
	}
	s.apply(Reduce(s.state, ended))
}

// TestUnevenEnginesEndSooner guards against streams that take long because slow engines get as much
// work as fast ones.
func TestUnevenEnginesEndSooner(t *testing.T) {
	is := is.New(t)
	run := func(ignoreSpeeds bool) *unevenSite {
		s := newUnevenSite([]float64{0.6, 1, 1.6}, ignoreSpeeds)
		s.run(70, 6*unevenPeriod)
		t.Logf("ignoreSpeeds %v: mean time %v in troughs, %v in peaks, refused %d of %d",
			ignoreSpeeds, s.trough.mean(), s.peak.mean(), s.refused, len(s.decisions))
		return s
	}
	without, with := run(true), run(false)
	is.True(with.trough.mean() < without.trough.mean()*3/4)
	is.True(with.peak.mean() < without.peak.mean())
	is.True(with.refused <= without.refused)
}

// TestEqualEnginesAreChosenAsBefore checks that the reports of engines that differ only by their
// pauses and their batch change no decision.
func TestEqualEnginesAreChosenAsBefore(t *testing.T) {
	is := is.New(t)
	run := func(ignoreSpeeds bool) []string {
		s := newUnevenSite([]float64{1}, ignoreSpeeds)
		s.run(70, 4*unevenPeriod)
		return s.decisions
	}
	is.Equal(run(false), run(true))
}

// TestSpeedsWithoutEffect checks that reports change no decision while speeds are disabled, and that forwarders
// of an earlier release, which report no writing times, get the decisions made before.
func TestSpeedsWithoutEffect(t *testing.T) {
	is := is.New(t)
	run := func(ignoreSpeeds, unmeasured bool) []string {
		s := newUnevenSite([]float64{0.6, 1, 1.6}, ignoreSpeeds)
		s.unmeasured = unmeasured
		s.run(70, 2*unevenPeriod)
		return s.decisions
	}
	before := run(true, true)
	is.Equal(run(true, false), before)
	is.Equal(run(false, true), before)
}
