package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// TestScenarios runs small scenarios and compares the counts. For one seed they are
// the same on every machine.
func TestScenarios(t *testing.T) {
	datadriven.RunTest(t, "testdata/small", func(t *testing.T, d *datadriven.TestData) string {
		s, err := Parse("small", []byte(d.Input))
		if err != nil {
			return err.Error()
		}
		report, err := Run(context.Background(), s, 2)
		if err != nil {
			return err.Error()
		}
		return summary(report)
	})
}

func summary(report Report) string {
	var out strings.Builder
	for _, r := range report.Results {
		fmt.Fprintf(&out, "%s at %.1f: bound=%.3f wasted=%.1f%%", r.Variant, r.Factor, r.Bound, 100*r.Wasted())
		for _, c := range r.Classes {
			fmt.Fprintf(&out, "; %s requests=%d good=%d refused=%d failed=%d open=%d",
				c.Name, c.Requests, c.Good, c.Refused, c.Failed, c.Open)
		}
		fmt.Fprintln(&out)
	}
	return out.String()
}

// TestSameSeedSameReport guards against results that differ between two runs of the
// same scenario and seed, also while other runs go on at the same time. This happens
// if a decision depends on the order of a map, the wall clock or shared state.
func TestSameSeedSameReport(t *testing.T) {
	is := is.New(t)
	s, err := Read("../../examples/experiment/association-deaths.toml")
	is.NoErr(err)
	s.Duration, s.WarmUp, s.Seeds = s.Duration/16, s.WarmUp/16, []uint64{7}
	var reports [2][]byte
	for i := range reports {
		report, err := Run(context.Background(), s, 4)
		is.NoErr(err)
		reports[i], err = json.Marshal(report)
		is.NoErr(err)
	}
	is.Equal(string(reports[0]), string(reports[1]))
	s.Seeds = []uint64{8}
	other, err := Run(context.Background(), s, 4)
	is.NoErr(err)
	is.True(other.Results[0].PrefillTokens > 0)
	is.True(fmt.Sprint(other.Results[0].Classes) != fmt.Sprint(reports[0]))
}

// TestEveryRequestEnds checks for two policies, also with decode engines that crash,
// that every request ends exactly once, that a complete answer has its planned length,
// and that a request that is reported as not run has delivered no output.
func TestEveryRequestEnds(t *testing.T) {
	files, err := filepath.Glob("../../examples/experiment/*.toml")
	is.New(t).NoErr(err)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			s, err := Read(file)
			is.NoErr(err)
			s.Duration, s.WarmUp, s.Vary.Factors = s.Duration/20, s.WarmUp/20, []float64{0.7}
			for _, v := range s.Variants {
				if v.Route != policy.Reserve && v.Route != policy.RoundRobin {
					continue
				}
				arrivals := plan(&s, 3, 0.7)
				w := newWorld(&s, v, 3, arrivals)
				w.run()
				is.Equal(w.openRequests(), 0)
				for _, a := range arrivals {
					o := w.outcomes[a.id]
					is.Equal(o.problem == nil, o.done) // exactly one end
					is.True(!o.done || o.tokens == a.outputTokens)
					is.True(o.problem == nil || o.problem.Ran != oriolebend.RanNo || o.tokens == 0)
				}
			}
		})
	}
}

// TestBoundOfOneResource checks that, if only one resource is scarce, the bound is the
// share of the requests for which that resource suffices.
func TestBoundOfOneResource(t *testing.T) {
	is := is.New(t)
	s := Scenario{
		Engine:  EngineTimes{}.withDefaults(),
		Pools:   []Pool{{Count: 1, Role: oriolebend.Prefill}, {Count: 100, Role: oriolebend.Decode, KVTokens: 160_000}},
		Classes: []Class{{FirstWithin: 10e9, OutputTokens: Range{Max: 10}}},
	}
	s.Duration = 10e9
	// One prefill server computes 200,000 tokens in 10 s: half of 40 * 10,000.
	arrivals := make([]arrival, 40)
	for i := range arrivals {
		arrivals[i] = arrival{class: &s.Classes[0], promptTokens: 10_000, outputTokens: 10}
	}
	is.True(goodputBound(&s, arrivals, false) > 0.499)
	is.True(goodputBound(&s, arrivals, false) < 0.51)
	is.Equal(goodputBound(&s, arrivals[:20], false), 1.0)
	s.Classes[0].FirstWithin = 1e8 // shorter than the prefill of one request
	is.Equal(goodputBound(&s, arrivals, false), 0.0)
}

func TestCommand(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	run := func(args ...string) error {
		out.Reset()
		return Command(&out, &out).ParseAndRun(context.Background(), args)
	}
	is.True(run() != nil)
	is.True(run("--variants", "none", "../../examples/experiment/lintang-peak.toml") != nil)
	is.True(run("testdata/absent.toml") != nil)
}
