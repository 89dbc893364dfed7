package peak

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The highest value is that of all reports within the period, and the last one counts at any age.
func TestHighestOfRecentReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const period = 10 * time.Second
		p := Peak[int]{Period: period}
		now := time.Date(2131, 3, 1, 0, 0, 0, 0, time.UTC)
		var all []report[int]
		for range rapid.IntRange(1, 50).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 6).Draw(t, "seconds")) * time.Second)
			value := rapid.IntRange(1, 9).Draw(t, "value")
			p.Report(now, value)
			all = append(all, report[int]{now, value})
			now = now.Add(time.Duration(rapid.IntRange(0, 12).Draw(t, "more")) * time.Second)
			highest := value
			for _, r := range all {
				if now.Sub(r.at) <= period {
					highest = max(highest, r.value)
				}
			}
			if got := p.Highest(now); got != highest {
				t.Fatalf("highest %d, want %d of %v at %v", got, highest, all, now)
			}
		}
	})
}
