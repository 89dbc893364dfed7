package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v4"

	"github.com/oriolebend/oriolebend/internal/requestlog"
)

// explainRequestCommand returns a command that reads log files and sends no request to
// control VMs, since after a failure none of them may answer.
func explainRequestCommand(out io.Writer) *ff.Command {
	return &ff.Command{
		Name: "request", Usage: "oriolebend explain request ID LOG...", Flags: ff.NewFlagSet("request"),
		ShortHelp: "show from log files what happened to a request, with the cause last",
		LongHelp:  "Example:\n  oriolebend explain request 398864f34838fdf1 forwarder-*.log control-*.log",
		Exec: func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return usage("give the id of a request and the log files of one process or more")
			}
			return explainRequest(out, args[0], args[1:])
		},
	}
}

// openLogs opens log files. The returned function closes the files that were opened; it
// must be called even if openLogs returns an error.
func openLogs(paths []string) ([]requestlog.Log, func(), error) {
	var logs []requestlog.Log
	var files []*os.File
	closeAll := func() {
		for _, file := range files {
			_ = file.Close() // the file was only read
		}
	}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, closeAll, fmt.Errorf("open a log: %w", err)
		}
		files = append(files, file)
		logs = append(logs, requestlog.Log{Name: path, Reader: file})
	}
	return logs, closeAll, nil
}

func explainRequest(out io.Writer, request string, paths []string) error {
	logs, closeLogs, err := openLogs(paths)
	defer closeLogs()
	if err != nil {
		return err
	}
	life, err := requestlog.Explain(request, logs...)
	if notFound, ok := errors.AsType[*requestlog.NotFoundError](err); ok {
		return &ExitError{Code: ExitNotFound, Cause: notFound}
	}
	if err != nil {
		return err
	}
	for _, line := range life.Lines {
		fmt.Fprintln(out, line.Text)
	}
	if life.Unread > 0 {
		fmt.Fprintf(out, "%d lines could not be read\n", life.Unread)
	}
	fmt.Fprintf(out, "cause: %s\n", life.Cause)
	return nil
}
