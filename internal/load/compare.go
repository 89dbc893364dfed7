package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// compared lists the figures of a class that Compare prints.
var compared = []struct {
	name  string
	value func(ClassReport) float64
}{
	{"good share", func(c ClassReport) float64 { return c.GoodShare }},
	{"good/s", func(c ClassReport) float64 { return c.GoodPerSecond }},
	{"first token p50", func(c ClassReport) float64 { return c.FirstToken.P50 }},
	{"first token p95", func(c ClassReport) float64 { return c.FirstToken.P95 }},
	{"first token p99", func(c ClassReport) float64 { return c.FirstToken.P99 }},
	{"between tokens p50", func(c ClassReport) float64 { return c.BetweenTokens.P50 }},
	{"between tokens p95", func(c ClassReport) float64 { return c.BetweenTokens.P95 }},
	{"refused", func(c ClassReport) float64 { return float64(c.Refused) }},
	{"failed", func(c ClassReport) float64 { return float64(c.Failed) }},
	{"lost", func(c ClassReport) float64 { return float64(c.Lost) }},
	{"doubled", func(c ClassReport) float64 { return float64(c.Doubled) }},
	{"false not run", func(c ClassReport) float64 { return float64(c.FalseNotRun) }},
	{"damaged", func(c ClassReport) float64 { return float64(c.Damaged) }},
}

// Compare writes a table with the figures of two reports and the ratio of the second
// to the first, for each class that is in both.
func Compare(out io.Writer, a, b Report) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\tfigure\tA\tB\tB/A\t")
	for _, first := range a.Classes {
		for _, second := range b.Classes {
			if first.Name == second.Name {
				compareClass(table, first, second)
			}
		}
	}
	compareWaste(table, a, b)
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write the comparison: %w", err)
	}
	return nil
}

func compareClass(out io.Writer, a, b ClassReport) {
	for _, figure := range compared {
		writeRatio(out, a.Name, figure.name, figure.value(a), figure.value(b))
	}
}

func compareWaste(out io.Writer, a, b Report) {
	share := func(r Report) float64 {
		return r.Counters["wasted_prefill_tokens_total"] / float64(max(r.PromptTokens, 1))
	}
	writeRatio(out, "all", "wasted prefill share", share(a), share(b))
}

// writeRatio writes one row of the table, unless both values are zero.
func writeRatio(out io.Writer, class, name string, a, b float64) {
	switch {
	case a == 0 && b == 0:
	case a == 0:
		fmt.Fprintf(out, "%s\t%s\t%.3f\t%.3f\t-\t\n", class, name, a, b)
	default:
		fmt.Fprintf(out, "%s\t%s\t%.3f\t%.3f\t%.3f\t\n", class, name, a, b, b/a)
	}
}
