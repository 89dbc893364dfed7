package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/oriolebend/oriolebend/internal/settings"
)

// UsageError reports an invalid command line.
type UsageError struct{ Text string }

// Error implements error.
func (e *UsageError) Error() string { return e.Text }

// ExitCode returns the exit code of the program.
func (e *UsageError) ExitCode() int { return exitUsage }

// exitUsage is the exit code of an invalid command line.
const exitUsage = 2

// Command returns "oriolebend load". Reports go to out, progress to errOut.
func Command(out, errOut io.Writer) *ff.Command {
	flags := ff.NewFlagSet("load")
	o := &overrides{}
	o.add(flags)
	return &ff.Command{
		Name:      "load",
		Usage:     "oriolebend load [flags] FILE",
		ShortHelp: "send a described load to entries and report goodput, latencies and faults",
		LongHelp: "Examples:\n" +
			"  oriolebend load examples/load/lintang-peak.toml\n" +
			"  oriolebend load --rate 8 --json half.json --plot half examples/load/lintang-peak.toml\n" +
			"The command fails if a request was lost, doubled or damaged.",
		Flags:       flags,
		Subcommands: []*ff.Command{compareCommand(out, flags), plotCommand(out, flags)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return &UsageError{Text: "load takes one description"}
			}
			return o.load(ctx, out, errOut, args[0])
		},
	}
}

// overrides holds the flags, some of which override values of the description.
type overrides struct {
	entries  []string
	rate     float64
	duration time.Duration
	requests int
	seed     uint64
	run      string
	json     string
	plot     string
	quiet    bool
}

func (o *overrides) add(flags *ff.FlagSet) {
	flags.StringSetVar(&o.entries, 0, "entry", "base URL of an entry, in place of the description's; may be given again")
	flags.Float64Var(&o.rate, 0, "rate", 0, "requests a second, in place of the description's")
	flags.DurationVar(&o.duration, 0, "duration", 0, "bound in time, in place of the description's")
	flags.IntVar(&o.requests, 0, "requests", 0, "bound in requests, in place of the description's")
	flags.Uint64Var(&o.seed, 0, "seed", 0, "seed, in place of the description's")
	flags.StringVar(&o.run, 0, "run", "", "begins every idempotency key; the default is made of the time")
	flags.StringVar(&o.json, 0, "json", "", "write the report to this file")
	flags.StringVar(&o.plot, 0, "plot", "", "write the timeline to this name with .png and .svg")
	flags.BoolVar(&o.quiet, 0, "quiet", "show no progress")
}

// apply sets the overridden values of a description and checks it again.
func (o *overrides) apply(d *Description, file string) error {
	if len(o.entries) > 0 {
		d.Entries = o.entries
	}
	if o.rate > 0 {
		d.Rate = o.rate
	}
	if o.duration > 0 {
		d.Duration = settings.Duration(o.duration)
	}
	if o.requests > 0 {
		d.Requests = o.requests
	}
	if o.seed > 0 {
		d.Seed = o.seed
	}
	faults := d.check()
	if len(d.Entries) == 0 {
		faults = append(faults, "there must be an entry to send to")
	}
	if len(faults) > 0 {
		return &DescriptionError{File: file, Faults: faults}
	}
	return nil
}

func (o *overrides) load(ctx context.Context, out, errOut io.Writer, file string) error {
	d, err := Read(file)
	if err != nil {
		return err
	}
	if err := o.apply(&d, file); err != nil {
		return err
	}
	config := Config{Description: d, Run: o.run}
	if !o.quiet {
		config.Progress = func(p Progress) { writeProgress(errOut, p) }
	}
	report, err := Run(ctx, config)
	if err != nil {
		return err
	}
	if err := o.write(out, report); err != nil {
		return err
	}
	return report.CheckFaults()
}

func (o *overrides) write(out io.Writer, report Report) error {
	if o.json != "" {
		if err := writeReport(o.json, report); err != nil {
			return err
		}
	}
	if o.plot != "" {
		if err := PlotTimeline(o.plot, report); err != nil {
			return err
		}
	}
	return report.Table(out)
}

func writeProgress(out io.Writer, p Progress) {
	fmt.Fprintf(out, "%3.0fs: %d of %d sent, %d in progress; %s\n",
		p.Elapsed.Seconds(), p.Sent, p.Planned, p.InProgress, joinCounts(p.Ended))
}

// FileError reports that a report file can't be read or written.
type FileError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return "report " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

func writeReport(file string, report Report) error {
	data, err := json.MarshalIndent(report, "", " ")
	if err == nil {
		err = os.WriteFile(file, append(data, '\n'), 0o644)
	}
	if err != nil {
		return &FileError{File: file, Cause: err}
	}
	return nil
}

func readReports(files []string) ([]Report, error) {
	reports := make([]Report, len(files))
	for i, file := range files {
		data, err := os.ReadFile(file)
		if err == nil {
			err = json.Unmarshal(data, &reports[i])
		}
		if err == nil && len(reports[i].Classes) == 0 {
			err = &UsageError{Text: "not a report of load"}
		}
		if err != nil {
			return nil, &FileError{File: file, Cause: err}
		}
	}
	return reports, nil
}

func compareCommand(out io.Writer, parent *ff.FlagSet) *ff.Command {
	return &ff.Command{
		Name:      "compare",
		Usage:     "oriolebend load compare A.json B.json",
		ShortHelp: "print the ratios of two reports",
		LongHelp:  "Example:\n  oriolebend load compare before.json after.json",
		Flags:     ff.NewFlagSet("compare").SetParent(parent),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 2 {
				return &UsageError{Text: "compare takes two reports"}
			}
			reports, err := readReports(args)
			if err != nil {
				return err
			}
			return Compare(out, reports[0], reports[1])
		},
	}
}

func plotCommand(out io.Writer, parent *ff.FlagSet) *ff.Command {
	return &ff.Command{
		Name:      "plot",
		Usage:     "oriolebend load plot PREFIX REPORT...",
		ShortHelp: "plot one report against time, or several as goodput against load",
		LongHelp:  "Example:\n  oriolebend load plot goodput 4.json 8.json 12.json",
		Flags:     ff.NewFlagSet("plot").SetParent(parent),
		Exec: func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return &UsageError{Text: "plot takes a prefix and reports"}
			}
			reports, err := readReports(args[1:])
			if err != nil {
				return err
			}
			if err := plotReports(args[0], reports); err != nil {
				return err
			}
			fmt.Fprintln(out, strings.Join([]string{args[0] + ".png", args[0] + ".svg"}, "\n"))
			return nil
		},
	}
}

func plotReports(prefix string, reports []Report) error {
	if len(reports) == 1 {
		return PlotTimeline(prefix, reports[0])
	}
	return PlotGoodput(prefix, reports)
}
