package dispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// plainSite is a plain service with a queue and forwarders that see only the latency of
// their own answers. A request takes 30 ms on average, and up to three times as long for one
// request in twenty. A server works on 6 requests at a time and queues 24 more, as real
// servers of this kind do.
type plainSite struct {
	random     *rand.Rand
	now        time.Time
	forwarders []*State
	servers    []*plainServer
	events     plainEvents
	// inTime, late and refused count requests by the second in which they arrived.
	inTime, late, refused map[int]int
	admit                 bool
	// factors is how many times the usual time each server needs, nil if all need the same.
	factors []float64
	// served counts the answers of each server, total is the sum of their times.
	served map[int]int
	total  time.Duration
}

type plainServer struct {
	working int
	queue   []plainRequest
}

type plainRequest struct {
	forwarder int
	arrived   time.Time
	sent      time.Time
	grant     Grant
	second    int
}

// plainEvent is the arrival of a request, or its completion at a server.
type plainEvent struct {
	at      time.Time
	request plainRequest
	server  int // -1 for an arrival
}

type plainEvents []plainEvent

func (e plainEvents) Len() int           { return len(e) }
func (e plainEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e plainEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *plainEvents) Push(x any)        { *e = append(*e, x.(plainEvent)) }
func (e *plainEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	plainForwarders = 30
	plainSlots      = 6
	plainQueue      = 24
	plainWork       = 30 * time.Millisecond
	plainTarget     = 150 * time.Millisecond
	plainNetwork    = time.Millisecond
)

func newPlainSite(servers int, admit bool) *plainSite {
	s := &plainSite{
		random: rand.New(rand.NewPCG(1, 1)), now: scriptStart, admit: admit,
		inTime: map[int]int{}, late: map[int]int{}, refused: map[int]int{}, served: map[int]int{},
	}
	var fleet Fleet
	for i := range servers {
		s.servers = append(s.servers, &plainServer{})
		fleet.Servers = append(fleet.Servers, message.BackendServer{
			Instance: fmt.Sprint(i), Service: "s", FailureDomain: fmt.Sprint(i % 3), Phase: message.PhaseReady,
		})
	}
	for i := range plainForwarders {
		f := New(Config{FailureDomain: fmt.Sprint(i % 3), Seed: uint64(i)})
		Reduce(f, Services{Services: []oriolebend.RouteService{{Name: "s"}}})
		Reduce(f, fleet)
		s.forwarders = append(s.forwarders, f)
	}
	return s
}

// play lets requests arrive at a rate for a time.
func (s *plainSite) play(perSecond float64, span time.Duration) {
	for at := s.now; at.Before(s.now.Add(span)); {
		at = at.Add(time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second)))
		second := int(at.Sub(scriptStart).Seconds())
		heap.Push(&s.events, plainEvent{at: at, server: -1, request: plainRequest{
			forwarder: s.random.IntN(plainForwarders), arrived: at, second: second,
		}})
	}
	until := s.now.Add(span)
	for len(s.events) > 0 && s.events[0].at.Before(until) {
		e := heap.Pop(&s.events).(plainEvent)
		s.now = e.at
		if e.server < 0 {
			s.arrive(e.request)
		} else {
			s.complete(e.server, e.request)
		}
	}
	s.now = until
}

func (s *plainSite) arrive(r plainRequest) {
	need := Need{Service: "s"}
	if s.admit {
		need.FirstWithin = plainTarget
	}
	granted, ok := Reduce(s.forwarders[r.forwarder], PlacementRequested{At: s.now, Need: need})[0].(Granted)
	if !ok {
		s.refused[r.second]++
		return
	}
	r.grant, r.sent = granted.Grant, s.now
	server := 0
	fmt.Sscan(r.grant.Server.Instance, &server)
	v := s.servers[server]
	switch {
	case v.working < plainSlots:
		s.work(server, r)
	case len(v.queue) < plainQueue:
		v.queue = append(v.queue, r)
	default:
		s.refused[r.second]++
		Reduce(s.forwarders[r.forwarder], Ended{At: s.now, Grant: r.grant, Outcome: OutcomeRefused})
	}
}

func (s *plainSite) work(server int, r plainRequest) {
	s.servers[server].working++
	const spread = 0.5
	took := float64(plainWork) * math.Exp(spread*s.random.NormFloat64()-spread*spread/2)
	if s.factors != nil {
		took *= s.factors[server]
	}
	heap.Push(&s.events, plainEvent{at: s.now.Add(time.Duration(took) + plainNetwork), server: server, request: r})
}

func (s *plainSite) complete(server int, r plainRequest) {
	v := s.servers[server]
	v.working--
	s.served[server]++
	s.total += s.now.Sub(r.sent)
	if s.now.Sub(r.arrived) <= plainTarget {
		s.inTime[r.second]++
	} else {
		s.late[r.second]++
	}
	Reduce(s.forwarders[r.forwarder], Ended{At: s.now, Grant: r.grant, Outcome: OutcomeAnswered, Took: s.now.Sub(r.sent)})
	if len(v.queue) > 0 {
		next := v.queue[0]
		v.queue = v.queue[1:]
		s.work(server, next)
	}
}

// sum sums a count over the seconds between two seconds, including the first and excluding the
// last.
func sum(counts map[int]int, from, to int) int {
	total := 0
	for second := from; second < to; second++ {
		total += counts[second]
	}
	return total
}

// TestLastServerOfAPlainServiceAnswersInTime guards against a plain service that answers nearly all
// requests late after it has lost servers. Two of three servers leave, and the load is more than
// the last one can handle. Its queue is always full, and each answer takes as long as the whole
// queue.
//
// The load is 250 requests a second at a server that handles 200.
func TestLastServerOfAPlainServiceAnswersInTime(t *testing.T) {
	is := is.New(t)
	const from, to, capacity = 2, 12, 200
	without := newPlainSite(1, false)
	without.play(250, 12*time.Second)
	with := newPlainSite(1, true)
	with.play(250, 12*time.Second)
	t.Logf("in time, late, refused a second: without %d %d %d, with %d %d %d",
		sum(without.inTime, from, to)/10, sum(without.late, from, to)/10, sum(without.refused, from, to)/10,
		sum(with.inTime, from, to)/10, sum(with.late, from, to)/10, sum(with.refused, from, to)/10)
	is.True(sum(without.inTime, from, to) < capacity*(to-from)*65/100) // without admission many answers are late
	is.True(sum(with.inTime, from, to) > capacity*(to-from)*8/10)
	is.True(sum(with.late, from, to) < sum(with.inTime, from, to)/10)
}

// TestPlainServiceRecoversAfterAPeak guards against answers that stay late after a peak because
// queues are full when it ends. For four seconds the load is one and a half times what three
// servers can handle, then a third of that.
func TestPlainServiceRecoversAfterAPeak(t *testing.T) {
	is := is.New(t)
	s := newPlainSite(3, true)
	s.play(300, 4*time.Second)
	s.play(900, 4*time.Second)
	s.play(300, 4*time.Second)
	t.Logf("in time, late, refused: before %d %d %d, in the peak %d %d %d, after %d %d %d",
		sum(s.inTime, 0, 4), sum(s.late, 0, 4), sum(s.refused, 0, 4),
		sum(s.inTime, 4, 8), sum(s.late, 4, 8), sum(s.refused, 4, 8),
		sum(s.inTime, 9, 12), sum(s.late, 9, 12), sum(s.refused, 9, 12))
	is.True(sum(s.refused, 1, 4) < sum(s.inTime, 1, 4)/50)   // a load within the capacity is served
	is.True(sum(s.inTime, 5, 8) > 600*3*7/10)                // and most of the capacity is used in a peak
	is.True(sum(s.refused, 9, 12) < sum(s.inTime, 9, 12)/50) // a second later the peak has no effect
	is.True(sum(s.late, 9, 12) < sum(s.inTime, 9, 12)/50)
}

// TestFewSlowAnswersCauseNoRefusals checks that a few answers that were delayed by lost packets do
// not cause refusals.
func TestFewSlowAnswersCauseNoRefusals(t *testing.T) {
	is := is.New(t)
	s := New(Config{Seed: 1})
	Reduce(s, Services{Services: []oriolebend.RouteService{{Name: "s"}}})
	Reduce(s, Fleet{Servers: []message.BackendServer{{Instance: "a", Service: "s", Phase: message.PhaseReady}}})
	now := scriptStart
	for i := range 400 { // one answer in eight is slow, including the first
		now = now.Add(50 * time.Millisecond)
		effect := Reduce(s, PlacementRequested{At: now, Need: Need{Service: "s", FirstWithin: plainTarget}})[0]
		granted, ok := effect.(Granted)
		is.True(ok)
		took := 20 * time.Millisecond
		if i%8 == 0 {
			took = 400 * time.Millisecond
		}
		Reduce(s, Ended{At: now, Grant: granted.Grant, Outcome: OutcomeAnswered, Took: took})
	}
}

// TestUnevenPlainServersAnswerSooner guards against plain servers that get equal shares of the
// requests though one needs 1.6 times as long as usual, and against forwarders that all choose the
// fastest.
func TestUnevenPlainServersAnswerSooner(t *testing.T) {
	is := is.New(t)
	run := func(ignoreSpeeds bool) (time.Duration, map[int]int) {
		s := newPlainSite(3, false)
		s.factors = []float64{0.6, 1, 1.6}
		for _, f := range s.forwarders {
			f.config.IgnoreSpeeds = ignoreSpeeds
		}
		s.play(300, 40*time.Second)
		s.total, s.served = 0, map[int]int{}
		s.play(300, 20*time.Second)
		answers := s.served[0] + s.served[1] + s.served[2]
		t.Logf("ignoreSpeeds %v: mean %v, served %v", ignoreSpeeds, s.total/time.Duration(answers), s.served)
		return s.total / time.Duration(answers), s.served
	}
	without, _ := run(true)
	with, served := run(false)
	is.True(with < without*9/10)
	is.True(served[0] < 2*served[1])
}

// TestEqualPlainServersAreChosenAsBefore checks that the random times of equal servers, and their queues
// in a peak, change no decision.
func TestEqualPlainServersAreChosenAsBefore(t *testing.T) {
	is := is.New(t)
	run := func(ignoreSpeeds bool) *plainSite {
		s := newPlainSite(3, true)
		for _, f := range s.forwarders {
			f.config.IgnoreSpeeds = ignoreSpeeds
		}
		for _, rate := range []float64{450, 900, 450} {
			s.play(rate, 8*time.Second)
		}
		return s
	}
	with, without := run(false), run(true)
	is.Equal(with.served, without.served)
	is.Equal(with.inTime, without.inTime)
	is.Equal(with.refused, without.refused)
}
