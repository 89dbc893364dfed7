package metrics

import (
	"fmt"
	"io/fs"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

func get(h http.Handler, path string) (int, string) {
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, httptest.NewRequest("GET", path, nil))
	return recorder.Code, recorder.Body.String()
}

func TestEveryReasonStartsAtZero(t *testing.T) {
	is := is.New(t)
	h := Handler(HandlerConfig{Metrics: []*Metrics{New(Config{Role: "entry", Node: "entry-1"})}})
	_, body := get(h, "/metrics")
	for _, reason := range oriolebend.Reasons() {
		for _, name := range []string{"refusals_total", "retries_total", "gate_refusals_total"} {
			is.True(strings.Contains(body, fmt.Sprintf("oriolebend_%s{node=\"entry-1\",reason=\"%s\",role=\"entry\"} 0\n", name, reason)))
		}
	}
}

func TestCountsAndMeasures(t *testing.T) {
	is := is.New(t)
	m := New(Config{Role: "entry", Node: "entry-1", Organisations: []string{"lintang"}})
	other := New(Config{Role: "sidecar", Node: "planner-1"})
	m.Count("refusal", oriolebend.ReasonOverloaded, "lintang")
	m.Count("refusal", oriolebend.ReasonOverloaded, "made up by a caller")
	m.Refused(oriolebend.ReasonMalformed)
	m.RefusedRank(2, oriolebend.ReasonQuota)
	m.RefusedRank(4000, oriolebend.ReasonQuota)
	m.Count("retry", oriolebend.ReasonServerLost, "lintang")
	other.Count("cancel", "", "")
	m.Observe("firstToken", oriolebend.Urgent, 1.2)
	m.Observe("wastedPrefillTokens", oriolebend.Patient, 300)
	m.Gauge("servers", "Servers known.", func() float64 { return 15 })
	status, body := get(Handler(HandlerConfig{Metrics: []*Metrics{m, other}}), "/metrics")
	is.Equal(status, http.StatusOK)
	for _, line := range []string{
		`oriolebend_refusals_total{node="entry-1",reason="overloaded",role="entry"} 2`,
		`oriolebend_refusals_total{node="entry-1",reason="malformed",role="entry"} 1`,
		`oriolebend_refusals_by_organisation_total{node="entry-1",organisation="lintang",role="entry"} 1`,
		`oriolebend_refusals_by_organisation_total{node="entry-1",organisation="other",role="entry"} 1`,
		`oriolebend_refusals_by_rank_total{node="entry-1",rank="2",reason="quota",role="entry"} 1`,
		`oriolebend_refusals_by_rank_total{node="entry-1",rank="9",reason="quota",role="entry"} 1`,
		`oriolebend_retries_total{node="entry-1",reason="serverLost",role="entry"} 1`,
		`oriolebend_events_total{event="cancel",node="planner-1",role="sidecar"} 1`,
		`oriolebend_time_to_first_token_seconds_bucket{node="entry-1",role="entry",urgency="urgent",le="1.2"} 1`,
		`oriolebend_wasted_prefill_tokens_total{node="entry-1",role="entry",urgency="patient"} 300`,
		`oriolebend_servers{node="entry-1",role="entry"} 15`,
		`go_goroutines `,
	} {
		is.True(strings.Contains(body, line))
	}
}

// TestReducersAreCovered extracts the names of events and measurements from the source of
// the reducers. A name without a metric would only be logged and not counted.
func TestReducersAreCovered(t *testing.T) {
	is := is.New(t)
	counted := regexp.MustCompile(`(?:\.count\(|Count\{What: )"(\w+)"`)
	named := regexp.MustCompile(`CountName = "(\w+)"`)
	measured := regexp.MustCompile(`(?:s\.observe\(|Observe\{What: )"(\w+)"`)
	found := 0
	err := fs.WalkDir(os.DirFS("../reducer"), ".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile("../reducer/" + path)
		for _, match := range named.FindAllStringSubmatch(string(source), -1) {
			name := filepath.Base(filepath.Dir(path)) + "." + match[1]
			_, byReason := reasonCounters[name]
			if !byReason && !knownEvents[name] {
				t.Errorf("%s counts %q, which has no counter", path, name)
			}
			found++
		}
		for _, match := range counted.FindAllStringSubmatch(string(source), -1) {
			_, byReason := reasonCounters[match[1]]
			if !byReason && !knownEvents[match[1]] {
				t.Errorf("%s counts %q, which has no counter", path, match[1])
			}
			found++
		}
		for _, match := range measured.FindAllStringSubmatch(string(source), -1) {
			if _, known := measures[match[1]]; !known && match[1] != measureWastedTokens {
				t.Errorf("%s measures %q, which has no metric", path, match[1])
			}
			found++
		}
		return err
	})
	is.NoErr(err)
	is.True(found > 0)
}

func TestHealth(t *testing.T) {
	is := is.New(t)
	ready := false
	h := Handler(HandlerConfig{Ready: func() bool { return ready }})
	for path, want := range map[string]int{
		"/healthz": http.StatusOK, "/readyz": http.StatusServiceUnavailable, "/debug/pprof/": http.StatusNotFound,
	} {
		status, _ := get(h, path)
		is.Equal(status, want)
	}
	ready = true
	status, _ := get(h, "/readyz")
	is.Equal(status, http.StatusOK)
	status, _ = get(Handler(HandlerConfig{Pprof: true}), "/debug/pprof/")
	is.Equal(status, http.StatusOK)
}
