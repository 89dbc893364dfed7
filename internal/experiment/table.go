package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Table writes a report as text tables.
func (r Report) Table(out io.Writer) error {
	fmt.Fprintf(out, "%s: seeds %v, %.0f s counted of each\n\n", r.Scenario, r.Seeds, r.Seconds)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "variant\tload\tgood/s\tgood\tbound\tstrict/s\tstrict\tbound\twasted\trepeated\tidle\theld\tbytes\t\n")
	for _, v := range r.Results {
		fmt.Fprintf(t, "%s\t%.2f\t%.2f\t%.3f\t%.3f\t%.2f\t%.3f\t%.3f\t%.2f%%\t%.2f%%\t%.1f%%\t%.1f%%\t%.0f\t\n",
			v.Variant, v.Factor, v.GoodPerSecond, v.Good, v.Bound, v.StrictPerSecond, v.Strict, v.StrictBound,
			100*v.Wasted(), 100*v.Repeated(), 100*v.IdleDecode, 100*v.HeldDecode, v.ControlBytes)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return r.classTable(out)
}

func (r Report) classTable(out io.Writer) error {
	fmt.Fprintln(out)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "variant\tload\tclass\trequests\tserved/s\tgood\tstrict\trefused\tfailed\topen\tfirst p50\tp99\tbetween p99\t\n")
	for _, v := range r.Results {
		for _, c := range v.Classes {
			fmt.Fprintf(t, "%s\t%.2f\t%s\t%d\t%.2f\t%d\t%d\t%d\t%d\t%d\t%.0f ms\t%.0f ms\t%.1f ms\t\n",
				v.Variant, v.Factor, c.Name, c.Requests, c.Served, c.Good, c.Strict, c.Refused, c.Failed, c.Open, c.First50, c.First99, c.Between99)
		}
	}
	return t.Flush()
}

// Reasons writes the counters of retries, refusals and wasted work, by reason.
func (r Report) Reasons(out io.Writer) {
	fmt.Fprintln(out)
	for _, v := range r.Results {
		fmt.Fprintf(out, "%s at %.2f:", v.Variant, v.Factor)
		for _, event := range []string{"retry", "refused", "refusal", "prefillWasted", "prefillReleased", "retryDelayed", "givenUp", "gate"} {
			for _, key := range v.countersOf(event) {
				fmt.Fprintf(out, " %s=%d", key, v.Counts[key])
			}
		}
		fmt.Fprintln(out)
	}
}
