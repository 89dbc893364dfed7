package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/reducer/entry"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// stallTransfers makes one transfer in fifty stall completely.
func stallTransfers(f *fleet) { f.stallShare = 0.02 }

// drainDecodeServer makes a decode server leave in the middle of the load.
func drainDecodeServer(f *fleet) {
	g := f.order[f.mix.prefill]
	f.after(loadDuration/2, func() { g.leave() })
}

// TestFaults runs both sites at their peak under faults. Under every fault each request is
// answered completely or refused before it is accepted, no engine gets more than its memory
// holds, and little prefill work is wasted.
func TestFaults(t *testing.T) {
	for _, row := range []struct {
		name   string
		faults func(*fleet)
		good   float64 // at least
		wasted float64 // at most
	}{
		{name: "calm", good: 0.9, wasted: 0.01},
		{name: "decodeDies", faults: crashDecodeServers, good: 0.75, wasted: 0.03},
		{name: "transfersStall", faults: stallTransfers, good: 0.85, wasted: 0.03},
		{name: "decodeLeaves", faults: drainDecodeServer, good: 0.75, wasted: 0.02},
	} {
		for _, site := range sites {
			t.Run(row.name+"/"+site.name, func(t *testing.T) {
				is := is.New(t)
				r := run(site.mix, entry.Config{}, 1, 1, row.faults)
				t.Logf("goodput %.3f, wasted %.4f, ping p99 %s, retries %v", r.good, r.wasted, r.pingP99, r.f.counts)
				is.True(r.good >= row.good)
				is.True(r.wasted <= row.wasted)
				is.Equal(r.open, 0) // every request has ended
				for _, s := range r.f.specs {
					if s.ended {
						is.Equal(s.delivered, s.outputTokens) // complete, without duplicates
					}
				}
				for _, g := range r.f.order {
					is.True(g.engine.peak <= g.server.KVTokens)
				}
			})
		}
	}
}

// TestPingsUnderBriefs guards against pings that are late while briefs overload the site. It
// compares the 99th percentile of the time to the first token of pings, with briefs at one and a
// half times the peak, with that of pings alone.
func TestPingsUnderBriefs(t *testing.T) {
	alone, overloaded := lintang, lintang
	alone.kinds = []kind{lintang.kinds[1]}
	overloaded.kinds = []kind{lintang.kinds[0], lintang.kinds[1]}
	overloaded.kinds[0].rate *= 1.5
	before, after := pingP99(alone), pingP99(overloaded)
	t.Logf("ping p99 %s alone, %s under briefs", before, after)
	if after > lintang.kinds[1].firstWithin {
		t.Errorf("ping p99 %s, target %s", after, lintang.kinds[1].firstWithin)
	}
}

// pingP99 returns the mean over a few seeds of the 99th percentile.
func pingP99(m mix) time.Duration {
	const seeds = 3
	sum := time.Duration(0)
	for seed := range uint64(seeds) {
		sum += run(m, entry.Config{}, 1, seed+1, nil).pingP99
	}
	return sum / seeds
}

// leave makes the server leave, so that it accepts no new work; the entries receive its new state
// a little later.
func (g *simGate) leave() {
	g.declare(oriolebend.ServerLeaving)
	g.server.State = oriolebend.ServerLeaving
	g.announce()
}
