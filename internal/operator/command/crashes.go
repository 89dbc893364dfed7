package command

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/oriolebend/oriolebend/internal/requestlog"
)

// maxSuspectRows limits the requests in the printed table. The JSON output has all of
// them.
const maxSuspectRows = 10

// explainCrashesCommand returns a command that reads log files and sends no request to
// control VMs.
func explainCrashesCommand(out io.Writer) *ff.Command {
	flags := ff.NewFlagSet("crashes")
	output := flags.StringEnumLong("output", "output format", outputTable, outputJSON)
	return &ff.Command{
		Name: "crashes", Usage: "oriolebend explain crashes [FLAGS] LOG...", Flags: flags,
		ShortHelp: "find in log files which servers crashed, and which requests may have caused it",
		LongHelp:  "Example:\n  oriolebend explain crashes forwarder-*.log",
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usage("give the log files of the forwarders")
			}
			return explainCrashes(out, args, *output == outputJSON)
		},
	}
}

func explainCrashes(out io.Writer, paths []string, asJSON bool) error {
	logs, closeLogs, err := openLogs(paths)
	defer closeLogs()
	if err != nil {
		return err
	}
	found, err := requestlog.FindCrashes(logs...)
	if err != nil {
		return err
	}
	if asJSON {
		return printJSON(out, found)
	}
	return printCrashes(out, found)
}

func printCrashes(out io.Writer, found requestlog.Crashes) error {
	var rows [][]string
	for _, c := range found.Crashes {
		rows = append(rows, []string{c.At.UTC().Format(time.RFC3339Nano), c.Server, strconv.Itoa(c.Lost), strings.Join(c.JustBegun, ",")})
	}
	if err := printTable(out, "ENDED SERVER LOST JUST-BEGUN", rows); err != nil {
		return err
	}
	fmt.Fprintln(out)
	rows = nil
	for _, s := range found.Suspects[:min(maxSuspectRows, len(found.Suspects))] {
		rows = append(rows, []string{
			string(s.Kind), s.Fingerprint, s.Route, strconv.Itoa(len(s.Servers)), strconv.Itoa(len(s.Tries)), strconv.Itoa(s.Answered), strconv.FormatBool(s.Held),
		})
	}
	if err := printTable(out, "KIND FINGERPRINT ROUTE SERVERS TRIES ANSWERED HELD", rows); err != nil {
		return err
	}
	if found.Unread > 0 {
		fmt.Fprintf(out, "%d lines could not be read\n", found.Unread)
	}
	return nil
}
