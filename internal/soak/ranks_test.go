package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// ranks is the number of ranks of the generations, rankCallers the number of callers of each.
	ranks       = 3
	rankCallers = 4
	// rankPause is the longest pause of a caller between two generations.
	rankPause = 100 * time.Millisecond
	// onceRank is the rank whose generations may neither be repeated nor resumed.
	onceRank = 1
	// noServerWithin is the time after the first answer since a loss of everything in which
	// refusals for lack of a server are expected.
	noServerWithin = 500 * time.Millisecond
)

// rankedQuota allows about half of the generations that the callers of all ranks request.
var rankedQuota = oriolebend.Quota{Unit: oriolebend.QuotaTokens, PerSecond: 8000, Burst: 8000}

func rankPath(rank int) string { return fmt.Sprintf("rank-%d", rank) }

// rankRoutes returns a route for the generations of each rank.
func rankRoutes() []oriolebend.Route {
	var all []oriolebend.Route
	for rank := range ranks {
		r := oriolebend.Route{
			Name: rankPath(rank), Host: "soak.example", PathPrefix: "/" + rankPath(rank) + "/", Rank: rank, Stream: true,
			Repeat: oriolebend.RepeatResumable, Attempts: 2, Timeout: oriolebend.Duration(2 * time.Second),
			AnswerWithin: oriolebend.Duration(time.Duration(1+rank) * 400 * time.Millisecond),
			Targets:      []oriolebend.RouteTarget{{Service: generating, Weight: 1}},
		}
		if rank == onceRank {
			r.Repeat, r.Attempts = oriolebend.RepeatNever, 1
		}
		all = append(all, r)
	}
	return all
}

// sendGenerations requests generations of one rank.
func (l *load) sendGenerations(ctx context.Context, s *system, caller int, random *rand.Rand) {
	callers := &http.Client{Timeout: 5 * time.Second}
	rank := caller % ranks
	header := map[string]string{
		"Oriolebend-Prompt-Tokens": strconv.Itoa(promptTokens), "Oriolebend-Output-Tokens": strconv.Itoa(generationParts),
	}
	for n := 0; ctx.Err() == nil; n++ {
		t := result{id: fmt.Sprintf("g%d-%d-%d", rank, caller, n), once: rank == onceRank}
		t.want = parts(t.id)
		began := time.Now()
		t.status, t.body = sendWithHeader(callers, s.callers[random.IntN(len(s.callers))], rankPath(rank), t.id, keyOf(ranked), header)
		l.note(t, began)
		time.Sleep(time.Duration(random.Int64N(int64(rankPause))))
	}
}

// checkRanks guards against a rank that is not served at all while ranks compete for one quota.
func (l *load) checkRanks(t *testing.T) {
	t.Helper()
	for rank := range ranks {
		counts := map[int]int{}
		sent := 0
		for _, r := range l.results {
			if strings.HasPrefix(r.id, fmt.Sprintf("g%d-", rank)) {
				sent++
				counts[r.status]++
			}
		}
		t.Logf("rank %d: %d generations, %d answered, %d refused by quota, %d refused otherwise",
			rank, sent, counts[http.StatusOK], counts[http.StatusTooManyRequests], counts[http.StatusServiceUnavailable])
		if counts[http.StatusOK] == 0 {
			t.Errorf("no generation of rank %d was answered", rank)
		}
	}
}

// reportRestart logs how requests fared after the loss of everything at a time.
func (l *load) reportRestart(t *testing.T, lost time.Time) {
	t.Helper()
	var first time.Time
	for _, r := range l.results {
		if r.status == http.StatusOK && r.began.After(lost) && (first.IsZero() || r.ended.Before(first)) {
			first = r.ended
		}
	}
	if first.IsZero() {
		t.Error("no request was answered after the loss of everything")
		return
	}
	early, late := 0, 0
	for _, r := range l.results {
		switch {
		case r.began.Before(lost) || !strings.Contains(r.body, string(oriolebend.ReasonNoServer)):
		case r.began.Before(first.Add(noServerWithin)):
			early++
		default:
			late++
		}
	}
	t.Logf("first answer %s after the loss of everything; refused without a server: %d until %s after that, %d later",
		first.Sub(lost).Round(time.Millisecond), early, noServerWithin, late)
}
