package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"strings"

	"github.com/peterbourgon/ff/v4"
)

// UsageError reports an invalid command line.
type UsageError struct{ Text string }

// Error implements error.
func (e *UsageError) Error() string { return e.Text }

// Command returns "oriolebend experiment". Reports go to out.
func Command(out, _ io.Writer) *ff.Command {
	flags := ff.NewFlagSet("experiment")
	o := &options{}
	flags.StringEnumVar(&o.output, 0, "output", "form of the report: table or json", "table", "json")
	flags.StringVar(&o.variants, 0, "variants", "", "run only these variants, separated by commas")
	flags.Uint64Var(&o.seed, 0, "seed", 0, "run only this seed")
	flags.BoolVar(&o.reasons, 0, "reasons", "list retries and refusals by reason")
	flags.IntVar(&o.parallel, 0, "parallel", max(runtime.GOMAXPROCS(0)/2, 1), "variants that run at the same time")
	return &ff.Command{
		Name:      "experiment",
		Usage:     "oriolebend experiment [flags] FILE",
		ShortHelp: "compare routing policies in virtual time under one described load",
		LongHelp: "Example:\n" +
			"  oriolebend experiment examples/experiment/lintang-peak.toml\n" +
			"The same file and seed give the same report.",
		Flags: flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return &UsageError{Text: "experiment takes one scenario"}
			}
			return o.run(ctx, out, args[0])
		},
	}
}

type options struct {
	output   string
	variants string
	seed     uint64
	reasons  bool
	parallel int
}

func (o *options) run(ctx context.Context, out io.Writer, file string) error {
	s, err := Read(file)
	if err != nil {
		return err
	}
	if err := o.apply(&s); err != nil {
		return err
	}
	report, err := Run(ctx, s, o.parallel)
	if err != nil {
		return err
	}
	if o.output == "json" {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", " ")
		return encoder.Encode(report)
	}
	if err := report.Table(out); err != nil {
		return err
	}
	if o.reasons {
		report.Reasons(out)
	}
	return nil
}

// apply restricts a scenario to the seed and variants of the command line.
func (o *options) apply(s *Scenario) error {
	if o.seed > 0 {
		s.Seeds = []uint64{o.seed}
	}
	if o.variants == "" {
		return nil
	}
	var kept []Variant
	for _, name := range strings.Split(o.variants, ",") {
		before := len(kept)
		for _, v := range s.Variants {
			if v.Name == name {
				kept = append(kept, v)
			}
		}
		if len(kept) == before {
			return &UsageError{Text: fmt.Sprintf("the scenario has no variant %q", name)}
		}
	}
	s.Variants = kept
	return nil
}
