package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The short run of CI; by hand: go test ./internal/soak -args -seeds 1-50 -for 20s
var (
	seeds = flag.String("seeds", "", "seeds to run, such as 7 or 1-50; empty runs those that ever failed and one more")
	runs  = flag.Duration("for", 6*time.Second, "how long faults are injected with each seed")
)

// failedSeeds ever broke a promise; each is run again by everybody.
//
// The list is empty: no seed has failed yet.
var failedSeeds = []uint64{}

// TestSoak runs the real program as separate processes, breaks them from outside
// and checks, from what callers, backend servers and operators see, that a
// request that may run once runs once, that what was refused as not run never
// ran, that every answer belongs to its request, that an accepted routing is
// neither lost nor shown in an older state, that a request which ends servers stops
// reaching them, that servers in need get no more than they have said, and that every request runs for the organisation that holds its key, within
// its quota.
func TestSoak(t *testing.T) {
	list := append(failedSeeds, 1)
	if *seeds != "" {
		list = parseSeeds(t, *seeds)
	}
	program := build(t)
	for _, seed := range list {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { soak(t, program, seed) })
	}
}

func parseSeeds(t *testing.T, text string) []uint64 {
	t.Helper()
	is := is.New(t)
	from, to, ranged := strings.Cut(text, "-")
	first, err := strconv.ParseUint(from, 10, 64)
	is.NoErr(err)
	last := first
	if ranged {
		last, err = strconv.ParseUint(to, 10, 64)
		is.NoErr(err)
	}
	var list []uint64
	for seed := first; seed <= last; seed++ {
		list = append(list, seed)
	}
	return list
}

// Sizes of a soak.
const (
	forwarders = 3
	servers    = 4
	callers    = 8
	// settle is how long the system has after the last fault.
	settle = 20 * time.Second
	// calm is how long callers go on after that: what is promised of processes that
	// nothing happened to for crashSettle shows only then.
	calm = crashSettle + 2*time.Second
)

func soak(t *testing.T, program string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	s := startSystem(t, program)
	fleet := startFleet(t, s, rand.New(rand.NewPCG(seed, 1)))
	operator := &operator{t: t, system: s}
	operator.declare(t.Context())
	s.awaitReady(settle)
	ctx, cancel := context.WithCancel(t.Context())
	load := startLoad(ctx, s, fleet, callers, seed)
	go operator.run(ctx, rand.New(rand.NewPCG(seed, 2)))
	for end := time.Now().Add(*runs); time.Now().Before(end); {
		fault := randomFault(random, s, fleet)
		t.Log(fault.name)
		fault.inject()
		time.Sleep(time.Duration(100+random.IntN(500)) * time.Millisecond)
	}
	s.mend()
	fleet.mend()
	s.awaitReady(settle)
	time.Sleep(calm)
	cancel()
	load.wait()
	operator.wait()
	s.awaitReady(settle)
	operator.declare(t.Context())
	operator.checkInForce(settle)
	load.check(t, fleet)
	fleet.crashes.check(t, s)
	fleet.callers.check(t)
	fleet.checkNeeds(t)
	if t.Failed() {
		folder, err := os.MkdirTemp("", "soak-")
		if err == nil {
			s.keepLogs(folder)
			t.Log("logs are in", folder)
		}
	}
}

// fault is one thing that goes wrong.
type fault struct {
	name   string
	inject func()
}

// randomFault draws a fault. Faults overlap: nothing waits for the last one to
// be mended.
func randomFault(random *rand.Rand, s *system, f *fleet) fault {
	p := s.processes[random.IntN(len(s.processes))]
	server := f.servers[random.IntN(len(f.servers))]
	after := time.Duration(100+random.IntN(900)) * time.Millisecond
	faults := []fault{
		{"kill " + p.name, func() { p.kill(); p.startAfter(after) }},
		{"terminate " + p.name, func() { p.terminate(); p.startAfter(after) }},
		{"pause " + p.name, func() { p.pause(after) }},
		{"reset connections of " + server.name, func() { server.needs.breaks(); server.proxy.reset() }},
		{"silence " + server.name, func() { server.needs.breaks(); server.proxy.silence(after) }},
		{"delay " + server.name, func() { server.needs.breaks(); server.proxy.delay(after) }},
		{"restart " + server.name, func() { server.restart() }},
		randomNeed(random, f),
	}
	return faults[random.IntN(len(faults))]
}
