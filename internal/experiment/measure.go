package experiment

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// The users' strict targets for every request of a large fleet: the time to the first
// token and the time between tokens.
const (
	strictFirst   = 1200 * time.Millisecond
	strictBetween = 41 * time.Millisecond
)

// Result holds the measurements of one variant under one load, over all seeds.
type Result struct {
	Variant string `json:"variant"`
	// Factor multiplies the rate of the class that is varied.
	Factor  float64       `json:"factor"`
	Classes []ClassResult `json:"classes"`
	// Good is the share of all requests that got a complete answer within the
	// targets of their class, Strict the share that got one within 1.2 s and 41 ms.
	Good   float64 `json:"good"`
	Strict float64 `json:"strict"`
	// GoodPerSecond and StrictPerSecond are the same as rates.
	GoodPerSecond   float64 `json:"goodPerSecond"`
	StrictPerSecond float64 `json:"strictPerSecond"`
	// Bound and StrictBound are upper bounds of Good and Strict for any router, even
	// with full knowledge of the load.
	Bound       float64 `json:"bound"`
	StrictBound float64 `json:"strictBound"`
	// PrefillTokens counts the computed prompt tokens. WastedTokens counts the tokens
	// of results that no decode fetched, RepeatedTokens the tokens that were computed
	// again after a decode engine crashed in the middle of an output.
	PrefillTokens  int `json:"prefillTokens"`
	WastedTokens   int `json:"wastedTokens"`
	RepeatedTokens int `json:"repeatedTokens"`
	// IdleDecode is the share of decode memory that was not in use, and HeldDecode
	// the share that was granted and waited for the start of its decode.
	IdleDecode float64 `json:"idleDecode"`
	HeldDecode float64 `json:"heldDecode"`
	// ControlBytes is the mean size of the messages, in both directions, that
	// reserve and release capacity for one request.
	ControlBytes float64 `json:"controlBytesPerRequest"`
	// Counts are the counters of the entries and gates, by event and reason.
	Counts map[string]int `json:"counts"`
}

// ClassResult holds the measurements of the requests of one class.
type ClassResult struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
	// Served is the number of answers completed per second of the counted time,
	// whenever their requests arrived.
	Served float64 `json:"servedPerSecond"`
	Good   int     `json:"good"`
	Strict int     `json:"strict"`
	// Refused counts the requests whose final answer was a problem with "ran" no,
	// Failed those with another problem, and Open those that had not ended when the
	// run was over.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	Open    int `json:"open"`
	// First50 and First99 are percentiles of the time to the first token, in
	// milliseconds.
	First50 float64 `json:"first50Millis"`
	First99 float64 `json:"first99Millis"`
	// Between99 is the 99th percentile of the requests' mean times between
	// tokens, in milliseconds.
	Between99 float64 `json:"between99Millis"`

	first, between []float64
}

// Report holds the results of one scenario.
type Report struct {
	Scenario string   `json:"scenario"`
	Seeds    []uint64 `json:"seeds"`
	// Seconds is the counted time of each run.
	Seconds float64  `json:"seconds"`
	Results []Result `json:"results"`
}

// job is one variant at one factor.
type job struct {
	variant Variant
	factor  float64
}

// Run runs every variant of a scenario at every factor and seed, up to parallel
// jobs at the same time. The results do not depend on parallel.
func Run(ctx context.Context, s Scenario, parallel int) (Report, error) {
	s = s.withDefaults()
	var jobs []job
	for _, factor := range s.Vary.Factors {
		for _, v := range s.Variants {
			jobs = append(jobs, job{variant: v, factor: factor})
		}
	}
	counted := time.Duration(s.Duration - s.WarmUp).Seconds()
	report := Report{Scenario: s.Name, Seeds: s.Seeds, Seconds: counted, Results: make([]Result, len(jobs))}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(parallel, 1))
	for i, j := range jobs {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			report.Results[i] = measure(s, j)
			return nil
		})
	}
	return report, group.Wait()
}

// measure runs one job over all seeds.
func measure(s Scenario, j job) Result {
	r := Result{Variant: j.variant.Name, Factor: j.factor, Counts: map[string]int{}}
	for _, c := range s.Classes {
		r.Classes = append(r.Classes, ClassResult{Name: c.Name})
	}
	for _, seed := range s.Seeds {
		arrivals := plan(&s, seed, j.factor)
		w := newWorld(&s, j.variant, seed, arrivals)
		w.run()
		r.add(w, arrivals)
	}
	r.finish(&s)
	return r
}

func (r *Result) add(w *world, arrivals []arrival) {
	counted := 0
	for i := range arrivals {
		a := &arrivals[i]
		if !w.counted(a) {
			continue
		}
		counted++
		c := slices.IndexFunc(r.Classes, func(c ClassResult) bool { return c.Name == a.class.Name })
		r.Classes[c].add(a, w.outcomes[a.id], w.start)
	}
	r.addThroughput(w)
	for _, p := range w.prefills {
		if w.counted(p.arrival) {
			r.addPrefill(p)
		}
	}
	r.Bound += goodputBound(w.scenario, arrivals, false)
	r.StrictBound += goodputBound(w.scenario, arrivals, true)
	r.IdleDecode += w.idle
	r.HeldDecode += w.held
	r.ControlBytes += float64(w.controlBytes) / float64(max(len(arrivals), 1))
	for key, n := range w.counts {
		r.Counts[key] += n
	}
}

// addThroughput counts by class the answers that were completed in the counted time,
// also those of requests that arrived in the warm-up, so that Served is the
// throughput of the fleet.
func (r *Result) addThroughput(w *world) {
	warm := w.start.Add(time.Duration(w.scenario.WarmUp))
	end := w.start.Add(time.Duration(w.scenario.Duration))
	for _, a := range w.arrivals {
		o := w.outcomes[a.id]
		if !o.done || o.last.Before(warm) || o.last.After(end) {
			continue
		}
		c := slices.IndexFunc(r.Classes, func(c ClassResult) bool { return c.Name == a.class.Name })
		r.Classes[c].Served++
	}
}

// counted reports whether a request arrived after the warm-up.
func (w *world) counted(a *arrival) bool { return a.at >= time.Duration(w.scenario.WarmUp) }

func (r *Result) addPrefill(p *prefillWork) {
	r.PrefillTokens += p.computed
	if !p.used {
		r.WastedTokens += p.computed
	}
	if p.repeated {
		r.RepeatedTokens += p.computed
	}
}

func (c *ClassResult) add(a *arrival, o *outcome, start time.Time) {
	c.Requests++
	switch {
	case o.problem != nil && o.problem.Ran == oriolebend.RanNo:
		c.Refused++
	case o.problem != nil:
		c.Failed++
	case !o.done:
		c.Open++
	}
	if o.tokens == 0 {
		return
	}
	first := o.first.Sub(start.Add(a.at))
	between := o.last.Sub(o.first) / time.Duration(max(o.tokens-1, 1))
	c.first = append(c.first, millis(first))
	c.between = append(c.between, millis(between))
	if !o.done || o.problem != nil {
		return
	}
	if first <= time.Duration(a.class.FirstWithin) && between <= time.Duration(a.class.BetweenWithin) {
		c.Good++
	}
	if first <= strictFirst && between <= strictBetween {
		c.Strict++
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// finish computes percentiles and rates, and turns sums over seeds into means.
func (r *Result) finish(s *Scenario) {
	requests, good, strict := 0, 0, 0
	for i := range r.Classes {
		c := &r.Classes[i]
		c.First50, c.First99 = percentile(c.first, 0.5), percentile(c.first, 0.99)
		c.Between99 = percentile(c.between, 0.99)
		c.Served /= time.Duration(s.Duration-s.WarmUp).Seconds() * float64(len(s.Seeds))
		requests += c.Requests
		good += c.Good
		strict += c.Strict
	}
	seeds := float64(len(s.Seeds))
	counted := time.Duration(s.Duration-s.WarmUp).Seconds() * seeds
	all := float64(max(requests, 1))
	r.Good, r.Strict = float64(good)/all, float64(strict)/all
	r.GoodPerSecond, r.StrictPerSecond = float64(good)/counted, float64(strict)/counted
	r.Bound /= seeds
	r.StrictBound /= seeds
	r.IdleDecode /= seeds
	r.HeldDecode /= seeds
	r.ControlBytes /= seeds
}

func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(p*float64(len(values))), len(values)-1)]
}

// Wasted returns the share of the computed prompt tokens whose result no decode
// fetched.
func (r *Result) Wasted() float64 {
	return float64(r.WastedTokens) / float64(max(r.PrefillTokens, 1))
}

// Repeated returns the share of the computed prompt tokens that were computed again
// after a decode engine crashed.
func (r *Result) Repeated() float64 {
	return float64(r.RepeatedTokens) / float64(max(r.PrefillTokens, 1))
}

// countersOf returns the sorted keys of the counters of an event.
func (r *Result) countersOf(event string) []string {
	var keys []string
	for _, key := range slices.Sorted(maps.Keys(r.Counts)) {
		if strings.HasPrefix(key, event+" ") {
			keys = append(keys, key)
		}
	}
	return keys
}
