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
	// rankInterval is the mean time between the starts of two generations of a caller, whether they
	// are answered or refused. A caller that repeated refused ones at once would request more of
	// rank 0 alone than the quota, and no order of ranks could keep its refusals below half of the
	// others'.
	rankInterval = 300 * time.Millisecond
	// One of leavingShare callers whose stream may be resumed closes its connection within the first
	// leavingBytes, about half of the stream, and resumes it.
	leavingShare = 4
	leavingBytes = 400
	// onceRank is the rank whose generations may neither be repeated nor resumed.
	onceRank = 1
	// noServerWithin is the time after the first answer since a loss of everything in which
	// refusals for lack of a server are expected.
	noServerWithin = 500 * time.Millisecond
	// mostUrgentRefused bounds the share of rank 0 that quota refuses, as a part of that of the
	// least urgent rank.
	mostUrgentRefused = 0.5
)

// rankedQuota allows about half of the generations that the callers of all ranks request, and all of
// rank 0, resumptions included: each is charged as a request of its own.
var rankedQuota = oriolebend.Quota{Unit: oriolebend.QuotaTokens, PerSecond: 10_000, Burst: 10_000}

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
		g := &generation{
			load: l, callers: callers, id: fmt.Sprintf("g%d-%d-%d", rank, caller, n), rank: rank, header: header,
			leavesAfter: wholeBody,
		}
		if rank != onceRank && random.IntN(leavingShare) == 0 {
			g.leavesAfter = 1 + random.Int64N(leavingBytes)
		}
		began := time.Now()
		g.run(func() string { return s.callers[random.IntN(len(s.callers))] })
		time.Sleep(time.Until(began.Add(rankInterval/2 + time.Duration(random.Int64N(int64(rankInterval))))))
	}
}

// rankCount counts the generations of one rank by their status.
type rankCount struct {
	sent     int
	statuses map[int]int
}

// refusedShare is the share of the generations that were refused by quota.
func (c rankCount) refusedShare() float64 {
	return float64(c.statuses[http.StatusTooManyRequests]) / float64(max(1, c.sent))
}

func (l *load) countRank(rank int) rankCount {
	c := rankCount{statuses: map[int]int{}}
	for _, r := range l.results {
		if strings.HasPrefix(r.id, fmt.Sprintf("g%d-", rank)) {
			c.sent++
			c.statuses[r.status]++
		}
	}
	return c
}

// checkRanks guards against a rank that is not served at all while ranks compete for one quota, and
// against a quota that refuses the most urgent rank nearly as often as the least urgent one.
func (l *load) checkRanks(t *testing.T) {
	t.Helper()
	var counts [ranks]rankCount
	for rank := range ranks {
		c := l.countRank(rank)
		counts[rank] = c
		t.Logf("rank %d: %d generations, %d answered, %d refused by quota, %d refused otherwise", rank, c.sent,
			c.statuses[http.StatusOK], c.statuses[http.StatusTooManyRequests], c.statuses[http.StatusServiceUnavailable])
		if c.statuses[http.StatusOK] == 0 {
			t.Errorf("no generation of rank %d was answered", rank)
		}
	}
	urgent, least := counts[0].refusedShare(), counts[ranks-1].refusedShare()
	if urgent > mostUrgentRefused*least {
		t.Errorf("quota refused %.3f of rank 0 and %.3f of rank %d, at most %.1f times as many are allowed",
			urgent, least, ranks-1, mostUrgentRefused)
	}
}

// checkRestart guards against backend servers that are not known at once after the loss of everything
// at a time, although control VMs have restored them.
func (l *load) checkRestart(t *testing.T, lost time.Time) {
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
	var last time.Time
	for _, r := range l.results {
		switch {
		case r.began.Before(lost) || !strings.Contains(r.body, string(oriolebend.ReasonNoServer)):
		case r.began.Before(first.Add(noServerWithin)):
			early++
		default:
			late++
			if r.ended.After(last) {
				last = r.ended
			}
		}
	}
	t.Logf("first answer %s after the loss of everything; refused without a server: %d until %s after that, %d later",
		first.Sub(lost).Round(time.Millisecond), early, noServerWithin, late)
	if late > 0 {
		t.Errorf("%d requests were refused without a server, the last %s after the first answer; %s is allowed",
			late, last.Sub(first).Round(time.Millisecond), noServerWithin)
	}
}
