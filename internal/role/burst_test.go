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

// Guards against a burst of 64 requests of which half get no answer within 40 s
// while a decode server is idle. All slots are full, so gates refuse the decodes of
// completed prefills. If each refusal spent the retry budget like failed work, and
// the budget had no lower bound, it would fall far below zero.
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
			statuses[n], _ = post(t, d.Entries[0].Address(), "/v1/completions", fmt.Sprintf("burst-%d", n), shortCompletion)
		})
	}
	done := make(chan struct{})
	go func() { all.Wait(); close(done) }()
	waiting, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	select {
	case <-done:
	case <-waiting.Done():
		t.Fatal("requests of a burst were not answered")
	}
	for _, status := range statuses {
		is.Equal(status, http.StatusOK)
	}
}
