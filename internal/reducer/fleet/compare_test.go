package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// lintang is the workload of the logistics site at its peak.
var lintang = mix{
	domains: []string{"bdg-a", "bdg-b", "cirebon"}, prefill: 4, decode: 8, entries: 3, kvTokens: 90_000,
	kinds: []kind{
		{name: "brief", urgency: oriolebend.Patient, rate: 14, promptTokens: 4000, sharedTokens: 1024, documents: 60, outputTokens: 250, firstWithin: 4 * time.Second},
		{name: "ping", urgency: oriolebend.Urgent, rate: 20, promptTokens: 80, sharedTokens: 0, documents: 1, outputTokens: 40, firstWithin: 1200 * time.Millisecond},
	},
}

// association is the workload of the settlement site at its peak.
var association = mix{
	domains: []string{"chapinero", "usaquen", "teusaquillo", "fontibon"}, prefill: 5, decode: 4, entries: 4, kvTokens: 140_000,
	kinds: []kind{
		{name: "history", urgency: oriolebend.Patient, rate: 12, promptTokens: 6000, sharedTokens: 3072, documents: 120, outputTokens: 80, firstWithin: 4 * time.Second},
		{name: "split", urgency: oriolebend.Urgent, rate: 5, promptTokens: 500, sharedTokens: 0, documents: 1, outputTokens: 40, firstWithin: 1200 * time.Millisecond},
	},
}

const (
	loadDuration  = 20 * time.Second
	drainDuration = 25 * time.Second
)

// result holds the measurements of one run.
type result struct {
	good, wasted float64
	pingP99      time.Duration
	open         int
	f            *fleet
}

func run(m mix, c entry.Config, scale float64, seed uint64, faults func(*fleet)) result {
	f := newFleet(m, c, seed)
	f.load(scale, loadDuration)
	if faults != nil {
		faults(f)
	}
	f.runUntil(f.now.Add(loadDuration + drainDuration))
	return f.result()
}

func (f *fleet) result() result {
	r := result{f: f}
	var pings []time.Duration
	for _, s := range f.specs {
		if s.good() {
			r.good++
		}
		if !s.ended && s.problem == "" {
			r.open++
		}
		if s.urgency == oriolebend.Urgent && !s.first.IsZero() {
			pings = append(pings, s.first.Sub(s.arrived))
		}
	}
	r.good /= float64(max(1, len(f.specs)))
	r.wasted = f.stats.wasted / max(1, f.stats.computed)
	slices.Sort(pings)
	if len(pings) > 0 {
		r.pingP99 = pings[len(pings)*99/100]
	}
	return r
}

// crashDecodeServers crashes the decode servers one after another, one every four seconds, for
// two seconds each.
func crashDecodeServers(f *fleet) {
	n := 0
	f.every(4*time.Second, func() {
		g := f.order[f.mix.prefill+n%f.mix.decode]
		n++
		g.crash()
		f.after(2*time.Second, func() {
			g.start()
			g.announce()
		})
	})
}

// baseline is the name of round robin as an ordinary router has it: no decode memory is reserved,
// and no request is refused because it would be late.
const baseline = "baseline"

// BenchmarkPolicies compares all policies at the sizes of the users' sites under the same load,
// without faults and with a decode server crashing every four seconds.
func BenchmarkPolicies(b *testing.B) {
	for _, site := range sites {
		for _, fault := range []string{"calm", "decodeDies"} {
			for _, route := range append([]policy.Name{baseline}, routes...) {
				b.Run(fmt.Sprintf("%s/%s/%s", site.name, fault, route), func(b *testing.B) {
					benchmarkRoute(b, site.mix, configOf(route), 1, fault)
				})
			}
		}
	}
}

// BenchmarkOverload compares reserving decode memory, and round robin, with the baseline at growing
// load.
func BenchmarkOverload(b *testing.B) {
	for _, site := range sites {
		for _, scale := range []float64{0.8, 1, 1.2, 1.5, 2} {
			for _, route := range []policy.Name{baseline, policy.RoundRobin, policy.Reserve} {
				b.Run(fmt.Sprintf("%s/%.1f/%s", site.name, scale, route), func(b *testing.B) {
					benchmarkRoute(b, site.mix, configOf(route), scale, "calm")
				})
			}
		}
	}
}

var sites = []struct {
	name string
	mix  mix
}{{"lintang", lintang}, {"association", association}}

func configOf(route policy.Name) entry.Config {
	if route == baseline {
		return entry.Config{Route: policy.RoundRobin, AdmitAll: true}
	}
	return entry.Config{Route: route}
}

func benchmarkRoute(b *testing.B, m mix, c entry.Config, scale float64, fault string) {
	var good, wasted, ping float64
	for i := range b.N {
		var faults func(*fleet)
		if fault == "decodeDies" {
			faults = crashDecodeServers
		}
		r := run(m, c, scale, uint64(i+1), faults)
		good += r.good
		wasted += r.wasted
		ping += r.pingP99.Seconds()
	}
	n := float64(b.N)
	b.ReportMetric(good/n, "goodput")
	b.ReportMetric(100*wasted/n, "wasted%")
	b.ReportMetric(1000*ping/n, "pingP99ms")
	b.ReportMetric(100*m.bound(scale), "bound%")
	b.ReportMetric(0, "ns/op")
}

// bound returns an upper limit of the share of requests that any router could serve in time, even
// with full knowledge. Urgent requests are served first, since they need the least, then patient
// ones until the first resource is used up. Decode servers run at most the batch at which a step
// takes exactly the target, prompts are computed except for the part that all requests of a
// document share, and links are never idle.
func (m mix) bound(scale float64) float64 {
	const batch = float64(betweenWithin-stepBase) / float64(stepPerRequest)
	left := resources{
		prefill: float64(m.prefill) * prefillRate,
		slots:   float64(m.decode) * batch,
		link:    float64(m.decode) * linkRate,
	}
	all, good := 0.0, 0.0
	for _, urgency := range []oriolebend.Urgency{oriolebend.Urgent, oriolebend.Patient} {
		for _, k := range m.kinds {
			if k.urgency != urgency {
				continue
			}
			all += k.rate * scale
			good += left.serve(k, k.rate*scale)
		}
	}
	return good / all
}

// resources are the resources that remain for one second of load.
type resources struct{ prefill, slots, link float64 }

// serve serves as much of a kind of request as the resources allow.
func (r *resources) serve(k kind, rate float64) float64 {
	prefill := float64(k.promptTokens - k.sharedTokens)
	slots := float64(k.outputTokens) * betweenWithin.Seconds()
	link := float64(k.promptTokens) * bytesPerToken
	served := min(rate, r.prefill/prefill, r.slots/slots, r.link/link)
	r.prefill -= served * prefill
	r.slots -= served * slots
	r.link -= served * link
	return served
}
