package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Table writes a report as text tables.
func (r *Report) Table(out io.Writer) error {
	fmt.Fprintf(out, "run %s, seed %d: %.1f requests a second offered, %.1f s\n\n", r.Run, r.Seed, r.OfferedRate, r.TookSeconds)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\tdue\tanswered\trefused\tfailed\tcancelled\tunsent\tlost\tdoubled\tdamaged\tfalse not run\tgood\tgood/s\t")
	for _, c := range r.Classes {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%.1f\t\n", c.Name, c.Due, c.Answered, c.Refused,
			c.Failed, c.Cancelled, c.Unsent, c.Lost, c.Doubled, c.Damaged, c.FalseNotRun, percent*c.GoodShare, c.GoodPerSecond)
	}
	fmt.Fprintln(table, "\t\t\t\t\t\t\t\t\t\t\t\t\t")
	fmt.Fprintln(table, "class\tmillis\tp50\tp90\tp95\tp99\tmax\t")
	for _, c := range r.Classes {
		writePercentiles(table, c.Name, "first token", c.FirstToken)
		writePercentiles(table, c.Name, "between tokens", c.BetweenTokens)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	r.writeReasons(out)
	return nil
}

const percent = 100

func writePercentiles(out io.Writer, class, measure string, p Percentiles) {
	if p.Count > 0 {
		fmt.Fprintf(out, "%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", class, measure, p.P50, p.P90, p.P95, p.P99, p.Max)
	}
}

// writeReasons writes the counts of refusals, failures, losses and retries by reason,
// then the router's counters, the faults and the failures that were not made.
func (r *Report) writeReasons(out io.Writer) {
	all := r.All()
	for _, counted := range []struct {
		name    string
		reasons map[oriolebend.Reason]int
	}{
		{"refused", all.Refusals}, {"failed", all.Failures}, {"lost", all.Losses}, {"sent again after", all.Retries},
	} {
		if len(counted.reasons) > 0 {
			fmt.Fprintf(out, "%s: %s\n", counted.name, joinCounts(counted.reasons))
		}
	}
	if wasted, found := r.Counters["wasted_prefill_tokens_total"]; found && r.PromptTokens > 0 {
		fmt.Fprintf(out, "wasted prefill: %.0f tokens, %.2f%% of those sent\n", wasted, percent*wasted/float64(r.PromptTokens))
	}
	if len(r.Counters) > 0 {
		fmt.Fprintf(out, "counters: %s\n", joinCounts(r.Counters))
	}
	for _, fault := range r.Faults {
		fmt.Fprintf(out, "%s: request %d of %s, key %s: %s\n", fault.Kind, fault.Request, fault.Class, fault.Key, fault.Detail)
	}
	for _, failure := range r.NotInjected {
		fmt.Fprintf(out, "failure not made: %s\n", failure)
	}
}

func joinCounts[K ~string, N int | float64](counts map[K]N) string {
	var parts []string
	for name, count := range counts {
		parts = append(parts, fmt.Sprintf("%s %v", name, count))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
