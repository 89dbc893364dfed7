package role

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Symptom: of 64 requests at once half got no answer within 40 s, beside a
// decode server that was idle.
// Sequence: the burst meets full slots; gates refuse decodes of prefills that
// are done; each refusal spends the retry budget, far below zero.
// Cause: lack of room was paid for like failed work, and debt had no bound.
func TestBurstEnds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, err := settings.Default()
	is.NoErr(err)
	s.Caller.Listen, s.Operator.Listen, s.Metrics.Listen = "", "", ""
	for i := range s.Dev.Servers {
		if s.Dev.Servers[i].Role == oriolebend.Decode {
			s.Dev.Servers[i].Count = 1
		}
	}
	d, err := StartDev(s, slog.New(slog.DiscardHandler))
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(d.Stop(context.Background())) })
	is.NoErr(d.Ready(t.Context()))
	const burst = 64
	statuses := make([]int, burst)
	var all sync.WaitGroup
	for n := range burst {
		all.Go(func() {
			statuses[n], _ = post(t, d.Entries[0].Address(), "/v1/completions", fmt.Sprintf("burst-%d", n), brief)
		})
	}
	done := make(chan struct{})
	go func() { all.Wait(); close(done) }()
	waiting, cancel := context.WithTimeout(t.Context(), eventually)
	defer cancel()
	select {
	case <-done:
	case <-waiting.Done():
		t.Fatal("requests of a burst got no end")
	}
	for _, status := range statuses {
		is.Equal(status, http.StatusOK)
	}
}
