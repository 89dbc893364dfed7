package load

import (
	"fmt"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Report holds the results of a load. Latencies are in milliseconds and count from
// when a request was due.
type Report struct {
	Run         string    `json:"run"`
	Seed        uint64    `json:"seed"`
	Started     time.Time `json:"started"`
	TookSeconds float64   `json:"tookSeconds"`
	// OfferedRate is the rate of the description, in requests per second.
	OfferedRate float64 `json:"offeredRate"`
	// Classes has one entry for each class and, last, one for all.
	Classes []ClassReport `json:"classes"`
	// Counters are the increases of the router's counters during the load, by name
	// and reason.
	Counters map[string]float64 `json:"counters,omitempty"`
	// PromptTokens is the number of prompt tokens of all requests that were due. The
	// share of wasted tokens is relative to it.
	PromptTokens int      `json:"promptTokens"`
	Timeline     []Second `json:"timeline"`
	// Failures is the schedule of failures. NotInjected lists the scheduled failures
	// that were not carried out, with the errors.
	Failures    []Failure `json:"failures,omitempty"`
	NotInjected []string  `json:"notMade,omitempty"`
	// Faults lists the first requests that were lost, doubled, damaged or falsely
	// reported as not run.
	Faults []Fault `json:"faults,omitempty"`
}

// ClassReport holds the results of the requests of one class.
type ClassReport struct {
	Name      string `json:"name"`
	Due       int    `json:"due"`
	Unsent    int    `json:"unsent"`
	Answered  int    `json:"answered"`
	Refused   int    `json:"refused"`
	Failed    int    `json:"failed"`
	Cancelled int    `json:"cancelled"`
	Lost      int    `json:"lost"`
	Damaged   int    `json:"damaged"`
	Doubled   int    `json:"doubled"`
	Replayed  int    `json:"replayed"`
	// FalseNotRun counts calls that ran although they were reported to the caller as
	// not run.
	FalseNotRun int `json:"falseNotRun"`
	// Good counts requests that were answered completely, once and within both
	// targets. GoodShare is their share of the requests that were due and not
	// cancelled.
	Good          int     `json:"good"`
	GoodShare     float64 `json:"goodShare"`
	GoodPerSecond float64 `json:"goodPerSecond"`
	// FirstToken is the time to the first output, or to the answer of a call.
	// BetweenTokens is the time before each later token.
	FirstToken    Percentiles `json:"firstTokenMillis"`
	BetweenTokens Percentiles `json:"betweenTokensMillis"`
	// Refusals, Failures, Losses and Retries are counts by reason.
	Refusals map[oriolebend.Reason]int `json:"refusals,omitempty"`
	Failures map[oriolebend.Reason]int `json:"failures,omitempty"`
	Losses   map[oriolebend.Reason]int `json:"losses,omitempty"`
	Retries  map[oriolebend.Reason]int `json:"retries,omitempty"`
}

// Percentiles holds percentiles of a latency, in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Second holds the results of the requests that were due in one second of the load.
type Second struct {
	Second     int         `json:"second"`
	Due        int         `json:"due"`
	Good       int         `json:"good"`
	Incomplete int         `json:"notWhole"`
	FirstToken Percentiles `json:"firstTokenMillis"`
}

// Fault describes one request that was lost, doubled, damaged or falsely reported as
// not run.
type Fault struct {
	Request int    `json:"request"`
	Class   string `json:"class"`
	Key     string `json:"key"`
	Kind    string `json:"what"`
	Detail  string `json:"detail"`
}

const (
	// maxFaults is the largest number of faults that a report lists.
	maxFaults = 20
	// highestMicros and digits are the range and precision of the histograms: up to
	// ten minutes, with three significant digits.
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

// timer collects latencies in a histogram.
type timer struct{ histogram *hdrhistogram.Histogram }

func newTimer() timer {
	return timer{histogram: hdrhistogram.New(1, highestMicros, digits)}
}

func (t timer) add(took time.Duration, count int) {
	micros := min(max(took.Microseconds(), 1), highestMicros)
	_ = t.histogram.RecordValues(micros, int64(count)) // never out of range
}

func (t timer) percentiles() Percentiles {
	if t.histogram.TotalCount() == 0 {
		return Percentiles{}
	}
	at := func(percentile float64) float64 {
		const microsPerMilli = 1000
		return float64(t.histogram.ValueAtPercentile(percentile)) / microsPerMilli
	}
	return Percentiles{Count: t.histogram.TotalCount(), P50: at(50), P90: at(90), P95: at(95), P99: at(99), Max: at(100)}
}

// tally accumulates the results of one class.
type tally struct {
	report         ClassReport
	first, between timer
}

func newTally(name string) *tally {
	return &tally{
		report: ClassReport{
			Name:     name,
			Refusals: map[oriolebend.Reason]int{},
			Failures: map[oriolebend.Reason]int{},
			Losses:   map[oriolebend.Reason]int{},
			Retries:  map[oriolebend.Reason]int{},
		},
		first:   newTimer(),
		between: newTimer(),
	}
}

func (t *tally) add(r Result, class Class) {
	t.report.Due++
	t.addOutcome(r)
	for _, reason := range r.Retries {
		t.report.Retries[reason]++
	}
	if r.Damage != "" {
		t.report.Damaged++
	}
	if r.Doubled != "" {
		t.report.Doubled++
	}
	if r.FalseNotRun {
		t.report.FalseNotRun++
	}
	if r.Replayed {
		t.report.Replayed++
	}
	if r.good(class) {
		t.report.Good++
	}
	if r.First > 0 {
		t.first.add(r.First, 1)
	}
	for _, g := range r.gaps {
		t.between.add(g.took, g.tokens)
	}
}

func (t *tally) addOutcome(r Result) {
	switch r.Outcome {
	case OutcomeAnswered:
		t.report.Answered++
	case OutcomeRefused:
		t.report.Refused++
		t.report.Refusals[r.Reason]++
	case OutcomeFailed:
		t.report.Failed++
		t.report.Failures[r.Reason]++
	case OutcomeCancelled:
		t.report.Cancelled++
	case OutcomeLost:
		t.report.Lost++
		t.report.Losses[r.Reason]++
	case OutcomeUnsent:
		t.report.Unsent++
	}
}

// good reports whether a request got a complete answer within both targets. The time
// between tokens is the mean from the first to the last output, pauses and retries
// included.
func (r *Result) good(class Class) bool {
	complete := r.Outcome == OutcomeAnswered && r.Damage == "" && r.Doubled == ""
	if !complete || r.First > time.Duration(class.FirstWithin) {
		return false
	}
	if class.Kind == KindCall || r.Tokens < 2 {
		return true
	}
	return (r.Last-r.First)/time.Duration(r.Tokens-1) <= time.Duration(class.BetweenWithin)
}

func (t *tally) finish(took time.Duration) ClassReport {
	t.report.FirstToken = t.first.percentiles()
	t.report.BetweenTokens = t.between.percentiles()
	if expected := t.report.Due - t.report.Cancelled; expected > 0 {
		t.report.GoodShare = float64(t.report.Good) / float64(expected)
	}
	if took > 0 {
		t.report.GoodPerSecond = float64(t.report.Good) / took.Seconds()
	}
	return t.report
}

// report builds the report of a run that has ended. before and after are the router's
// counters.
func (r *runner) report(before, after map[string]float64) Report {
	d := r.config.Description
	report := Report{
		Run:         r.config.Run,
		Seed:        d.Seed,
		Started:     r.sender.start,
		TookSeconds: r.took.Seconds(),
		OfferedRate: d.Rate,
		Counters:    increases(before, after),
		Failures:    d.Failures,
		NotInjected: r.notInjected,
	}
	sort.Slice(r.results, func(i, j int) bool { return r.results[i].Request.Number < r.results[j].Request.Number })
	all := newTally("all")
	tallies := make([]*tally, len(d.Classes))
	for i, class := range d.Classes {
		tallies[i] = newTally(class.Name)
	}
	for _, result := range r.results {
		class := d.Classes[result.Request.Class]
		tallies[result.Request.Class].add(result, class)
		all.add(result, class)
		report.PromptTokens += result.Request.PromptTokens
		report.addFault(result, class)
	}
	for _, t := range append(tallies, all) {
		report.Classes = append(report.Classes, t.finish(r.took))
	}
	report.Timeline = timeline(d, r.results)
	return report
}

func (r *Report) addFault(result Result, class Class) {
	fault := Fault{Request: result.Request.Number, Class: class.Name, Key: idempotencyKey(r.Run, result.Request)}
	switch {
	case len(r.Faults) >= maxFaults:
		return
	case result.FalseNotRun:
		fault.Kind, fault.Detail = "falseNotRun", string(result.Reason)
	case result.Doubled != "":
		fault.Kind, fault.Detail = "doubled", result.Doubled
	case result.Damage != "":
		fault.Kind, fault.Detail = "damaged", result.Damage
	case result.Outcome == OutcomeLost:
		fault.Kind, fault.Detail = "lost", string(result.Reason)
	default:
		return
	}
	r.Faults = append(r.Faults, fault)
}

// timeline sorts results by the second in which their requests were due.
func timeline(d Description, results []Result) []Second {
	var seconds []Second
	var timers []timer
	for _, result := range results {
		at := int(result.Request.At / time.Second)
		for len(seconds) <= at {
			seconds = append(seconds, Second{Second: len(seconds)})
			timers = append(timers, newTimer())
		}
		second := &seconds[at]
		second.Due++
		if result.good(d.Classes[result.Request.Class]) {
			second.Good++
		}
		if result.Outcome != OutcomeAnswered && result.Outcome != OutcomeCancelled {
			second.Incomplete++
		}
		if result.First > 0 {
			timers[at].add(result.First, 1)
		}
	}
	for i := range seconds {
		seconds[i].FirstToken = timers[i].percentiles()
	}
	return seconds
}

// All returns the ClassReport of all classes together.
func (r *Report) All() ClassReport {
	return r.Classes[len(r.Classes)-1]
}

// FaultsError reports that requests were lost, doubled, damaged or falsely reported
// as not run.
type FaultsError struct{ Lost, Doubled, Damaged, FalseNotRun int }

// Error implements error.
func (e *FaultsError) Error() string {
	return fmt.Sprintf("%d requests lost, %d doubled, %d damaged, %d told as not run that ran", e.Lost, e.Doubled, e.Damaged, e.FalseNotRun)
}

// CheckFaults returns a *FaultsError if any request was lost, doubled, damaged or
// falsely reported as not run.
func (r *Report) CheckFaults() error {
	all := r.All()
	if all.Lost+all.Doubled+all.Damaged+all.FalseNotRun == 0 {
		return nil
	}
	return &FaultsError{Lost: all.Lost, Doubled: all.Doubled, Damaged: all.Damaged, FalseNotRun: all.FalseNotRun}
}
