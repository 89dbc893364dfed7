package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/caller"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/metrics"
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/internal/standin/answer"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// fakeEntry answers as a complete system would, except for one fault. Entries that
// share it share the request records.
type fakeEntry struct {
	fault string
	mu    sync.Mutex
	known map[message.Scope]string
	seen  map[string]int
}

func (f *fakeEntry) Submit(_ context.Context, r entry.Request) <-chan caller.Chunk {
	f.mu.Lock()
	defer f.mu.Unlock()
	first, again := f.known[r.Scope]
	if !again {
		f.known[r.Scope] = r.ID
	}
	f.seen[r.Scope.Key]++
	chunks := f.answer(r, f.seen[r.Scope.Key])
	if again && f.fault != "doubled" && len(chunks) > 0 {
		chunks[0].RequestID = first
	}
	out := make(chan caller.Chunk, len(chunks))
	for _, c := range chunks {
		out <- c
	}
	if f.fault != "silent" {
		close(out)
	}
	return out
}

func (f *fakeEntry) answer(r entry.Request, attempt int) []caller.Chunk {
	refusal := &oriolebend.Problem{Reason: oriolebend.ReasonOverloaded, Ran: oriolebend.RanNo, RetryAfter: time.Millisecond}
	lost := &oriolebend.Problem{Reason: oriolebend.ReasonOutcomeLost, Ran: oriolebend.RanUnknown}
	switch {
	case r.Call != nil && r.Call.Method == http.MethodGet && f.fault == "false not run":
		return []caller.Chunk{{Call: &message.CallAnswer{Status: http.StatusOK}}}
	case r.Call != nil && r.Call.Method == http.MethodGet:
		return []caller.Chunk{{Call: &message.CallAnswer{Status: http.StatusNotFound}}}
	case f.fault == "silent":
		return nil
	case f.fault == "refused" || f.fault == "false not run" || f.fault == "refused once" && attempt == 1:
		return []caller.Chunk{{Problem: refusal}}
	case f.fault == "unknown":
		return []caller.Chunk{{Problem: lost}}
	case r.Call != nil:
		execution := 1
		if f.fault == "executed twice" {
			execution = 2
		}
		return []caller.Chunk{{Call: &message.CallAnswer{Status: 200, Body: fmt.Appendf(nil, `{"execution":%d}`, execution)}}}
	}
	return f.stream(r)
}

func (f *fakeEntry) stream(r entry.Request) []caller.Chunk {
	source := answer.Of(r.Model, r.Adapter, r.Prompt)
	tokens, finish := source.Length(r.MaxTokens)
	var chunks []caller.Chunk
	for i := range tokens {
		text := source.Token(i)
		if f.fault == "damaged" && i == 2 {
			text = " other"
		}
		chunks = append(chunks, caller.Chunk{Offset: i, Tokens: 1, Text: text})
	}
	if f.fault == "broken off" {
		return append(chunks[:2], caller.Chunk{Problem: &oriolebend.Problem{Reason: oriolebend.ReasonServerLost, Ran: oriolebend.RanUnknown}})
	}
	return append(chunks, caller.Chunk{End: &caller.End{Finish: finish, Tokens: tokens}})
}

func (f *fakeEntry) Attach(context.Context, string, string) <-chan caller.Chunk { return nil }

func (f *fakeEntry) Models() []oriolebend.LoadedModel {
	return []oriolebend.LoadedModel{{Model: "planner-lm", Version: "v3"}}
}

func (f *fakeEntry) Record(context.Context, string, string) (message.ClaimAnswer, error) {
	return message.ClaimAnswer{}, nil
}

func (f *fakeEntry) Ready() bool { return true }

func (f *fakeEntry) Settled() bool { return true }

// entries serves one fakeEntry on two ports and returns their URLs. The fault
// "connection" aborts every second connection after the request was read.
func entries(t *testing.T, fault string) []string {
	fake := &fakeEntry{fault: fault, known: map[message.Scope]string{}, seen: map[string]int{}}
	handler := caller.New(caller.Config{
		Router:   fake,
		Caller:   settings.Caller{Open: true},
		Services: []settings.ServiceRoute{{Name: "dispatch-api"}},
	})
	var mu sync.Mutex
	served := 0
	breaking := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		served++
		lose := fault == "connection" && served%2 == 0
		mu.Unlock()
		if lose {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
	var urls []string
	for range 2 {
		server := httptest.NewServer(breaking)
		t.Cleanup(server.Close)
		urls = append(urls, server.URL)
	}
	return urls
}

func shortDescription(entries []string) Description {
	spread := Spread{5, 10, 20}
	within := settings.Duration(5 * time.Second)
	d := Description{
		Seed: 1, Entries: entries, Rate: 500, Requests: 60, Tries: 20,
		Classes: []Class{
			{Name: "brief", Kind: KindCompletion, Share: 1, Model: "planner-lm", PromptTokens: spread, OutputTokens: spread, DuplicateShare: 0.5, FirstWithin: within, BetweenWithin: within},
			{Name: "chat", Kind: KindChat, Share: 1, Model: "planner-lm", PromptTokens: spread, OutputTokens: spread, FirstWithin: within, BetweenWithin: within},
			{Name: "ping", Kind: KindCall, Share: 1, Path: "/services/dispatch-api/arrivals", StatusPath: "/services/dispatch-api/status/{identity}", PromptTokens: spread, DuplicateShare: 0.5, FirstWithin: within},
		},
	}
	d.fillDefaults()
	return d
}

// TestFaultsShow checks that each fault of an entry is counted under its own kind.
func TestFaultsShow(t *testing.T) {
	for _, c := range []struct {
		fault string
		good  func(all ClassReport) bool
	}{
		{"", func(a ClassReport) bool {
			return a.Good == 60 && a.Lost+a.Doubled+a.Damaged == 0 && len(a.Retries) == 0
		}},
		{"damaged", func(a ClassReport) bool { return a.Damaged > 20 && a.Good == 60-a.Damaged && a.Doubled == 0 }},
		{"doubled", func(a ClassReport) bool { return a.Doubled > 10 && a.Good == 60-a.Doubled }},
		{"executed twice", func(a ClassReport) bool { return a.Doubled > 10 && a.Good == 60-a.Doubled }},
		{"refused", func(a ClassReport) bool {
			return a.Refused == 60 && a.Refusals[oriolebend.ReasonOverloaded] == 60 && a.FalseNotRun == 0
		}},
		{"false not run", func(a ClassReport) bool { return a.Refused == 60 && a.FalseNotRun > 10 }},
		{"refused once", func(a ClassReport) bool { return a.Good == 60 && a.Retries[oriolebend.ReasonOverloaded] >= 60 }},
		{"unknown", func(a ClassReport) bool { return a.Failed == 60 && a.Failures[oriolebend.ReasonOutcomeLost] == 60 }},
		{"broken off", func(a ClassReport) bool { return a.Failed > 20 && a.Failed+a.Good == 60 }},
		{"connection", func(a ClassReport) bool { return a.Good == 60 && a.Retries[reasonConnection] > 0 && a.Lost == 0 }},
	} {
		t.Run(c.fault, func(t *testing.T) {
			is := is.New(t)
			d := shortDescription(entries(t, c.fault))
			if c.fault == "refused" || c.fault == "false not run" {
				d.Tries = 1
			}
			report, err := Run(t.Context(), Config{Description: d, NotRunDelay: time.Millisecond})
			is.NoErr(err)
			all := report.All()
			is.Equal(all.Due, 60)
			if !c.good(all) {
				t.Fatalf("%+v\n%v", all, report.Faults)
			}
			is.Equal(report.CheckFaults() != nil, all.Doubled+all.Damaged+all.FalseNotRun > 0)
		})
	}
}

// TestSilentEntry guards against reports that count answered requests only: an entry
// that accepts requests and never answers would then look like an idle one.
func TestSilentEntry(t *testing.T) {
	is := is.New(t)
	d := shortDescription(entries(t, "silent"))
	d.Requests, d.InFlight, d.Within = 20, 15, settings.Duration(500*time.Millisecond)
	report, err := Run(t.Context(), Config{Description: d})
	is.NoErr(err)
	all := report.All()
	is.True(all.Unsent > 0)
	is.Equal(all.Losses[reasonCallerTimeout]+all.Unsent, 20)
	var broken *FaultsError
	is.True(errors.As(report.CheckFaults(), &broken))
}

// TestCancelled checks that requests that the load cancels itself don't count as
// faults of the router.
func TestCancelled(t *testing.T) {
	is := is.New(t)
	d := shortDescription(entries(t, "silent"))
	for i := range d.Classes {
		d.Classes[i].CancelShare, d.Classes[i].DuplicateShare = 1, 0
		d.Classes[i].CancelAfter = settings.Duration(10 * time.Millisecond)
	}
	report, err := Run(t.Context(), Config{Description: d})
	is.NoErr(err)
	is.Equal(report.All().Cancelled, 60)
	is.NoErr(report.CheckFaults())
}

// TestFailuresAndCounters checks that the failures of the schedule are requested, and
// that counters are reported as their increase during the load.
func TestFailuresAndCounters(t *testing.T) {
	is := is.New(t)
	counters := metrics.New(metrics.Config{Role: "entry", Node: "a"})
	counters.Observe("wastedPrefillTokens", oriolebend.Patient, 5)
	var requested bytes.Buffer
	mux := http.NewServeMux()
	mux.Handle("/metrics", metrics.Handler(metrics.HandlerConfig{Metrics: []*metrics.Metrics{counters}}))
	mux.HandleFunc("/fail", func(w http.ResponseWriter, r *http.Request) {
		_, _ = requested.ReadFrom(r.Body)
		counters.Observe("wastedPrefillTokens", oriolebend.Patient, 30)
		counters.Count("retry", oriolebend.ReasonServerLost, "")
		if strings.Contains(requested.String(), "cutControl") {
			w.WriteHeader(http.StatusBadRequest)
		}
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	d := shortDescription(entries(t, ""))
	d.MetricsURLs, d.FailuresURL = []string{server.URL + "/metrics"}, server.URL+"/fail"
	d.Failures = []Failure{
		{At: settings.Duration(10 * time.Millisecond), Do: "killEngine", Target: "planner-1"},
		{At: settings.Duration(20 * time.Millisecond), Do: "cutControl"},
	}
	report, err := Run(t.Context(), Config{Description: d})
	is.NoErr(err)
	is.True(strings.HasPrefix(requested.String(), `{"at":"10ms","do":"killEngine","target":"planner-1"`))
	is.Equal(len(report.NotInjected), 1)
	is.Equal(report.Counters, map[string]float64{"wasted_prefill_tokens_total": 60, "retries_total/serverLost": 2})
}

// run runs the command as a user would.
func run(t *testing.T, arguments ...string) (string, error) {
	var out bytes.Buffer
	err := Command(&out, &out).ParseAndRun(t.Context(), arguments)
	return out.String(), err
}

func TestCommand(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	file := func(name string) string { return filepath.Join(folder, name) }
	text := "rate = 400\nrequests = 20\n[[classes]]\nname = \"brief\"\nkind = \"completion\"\nshare = 1\nmodel = \"planner-lm\"\n" +
		"promptTokens = {min = 5, median = 6, max = 7}\noutputTokens = {min = 5, median = 6, max = 7}\n"
	is.NoErr(os.WriteFile(file("a.toml"), []byte(text), 0o600))
	var urls []string
	for _, url := range entries(t, "") {
		urls = append(urls, "--entry", url)
	}
	out, err := run(t, append(urls, "--json", file("a.json"), "--plot", file("a"), file("a.toml"))...)
	is.NoErr(err)
	is.True(strings.Contains(out, "brief"))
	_, err = run(t, append(urls, "--json", file("b.json"), "--rate", "800", "--quiet", file("a.toml"))...)
	is.NoErr(err)
	// A report with a failure and without any output can be plotted, too.
	is.NoErr(PlotTimeline(file("empty"), Report{Timeline: []Second{{Incomplete: 1}}, Failures: []Failure{{Do: "killEngine"}}}))
	out, err = run(t, "compare", file("a.json"), file("b.json"))
	is.NoErr(err)
	is.True(strings.Contains(out, "good share"))
	out, err = run(t, "plot", file("goodput"), file("a.json"), file("b.json"))
	is.NoErr(err)
	is.True(strings.Contains(out, "goodput.svg"))
	for _, name := range []string{"a.png", "a.svg", "goodput.png", "goodput.svg"} {
		info, err := os.Stat(file(name))
		is.NoErr(err)
		is.True(info.Size() > 1000)
	}
}

func TestCommandFaults(t *testing.T) {
	is := is.New(t)
	_, err := run(t)
	var usage *UsageError
	is.True(errors.As(err, &usage))
	_, err = run(t, filepath.Join(t.TempDir(), "missing.toml"))
	var description *DescriptionError
	is.True(errors.As(err, &description))
	_, err = run(t, "compare", "run_test.go", "run_test.go")
	var file *FileError
	is.True(errors.As(err, &file))
}

// TestExamples checks that the example loads are valid descriptions.
func TestExamples(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../examples/load/*.toml")
	is.NoErr(err)
	is.Equal(len(files), 6) // a peak and a schedule of failures for each user, ranks, uneven engines
	for _, file := range files {
		d, err := Read(file)
		is.NoErr(err)
		is.True(len(Plan(d)) > 100)
	}
}
