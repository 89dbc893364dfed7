// Package cli is the command line of the program: one subcommand for each
// role and one for each thing that an operator does.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Exit codes of the program.
const (
	ExitOK       = 0 // done
	ExitFailed   = 1 // something went wrong while running
	ExitUsage    = 2 // the command line is wrong
	ExitSettings = 3 // the settings are wrong; nothing was started
	ExitRefused  = 4 // the system refused what was asked, with a reason
)

// environmentPrefix starts the name of every environment variable that is
// read: --log-level is ORIOLEBEND_LOG_LEVEL.
const environmentPrefix = "ORIOLEBEND"

// UsageError is a command line that can't be carried out.
type UsageError struct{ Text string }

// Error implements error.
func (e *UsageError) Error() string { return e.Text }

// Run carries a command line out and returns the exit code. SIGINT and
// SIGTERM ask the command to stop gracefully.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := root(out, errOut)
	err := root.ParseAndRun(ctx, args, ff.WithEnvVarPrefix(environmentPrefix))
	return report(root, err, out, errOut)
}

// report prints what a command returned and chooses the exit code.
func report(root *ff.Command, err error, out, errOut io.Writer) int {
	var usage *UsageError
	var bad *settings.Errors
	var refused *oriolebend.Problem
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ff.ErrHelp):
		fmt.Fprintln(out, ffhelp.Command(root.GetSelected()))
		return ExitOK
	case errors.Is(err, ff.ErrNoExec):
		fmt.Fprintln(errOut, ffhelp.Command(root.GetSelected()))
		return ExitUsage
	case errors.As(err, &bad):
		fmt.Fprintln(errOut, err)
		return ExitSettings
	case errors.As(err, &refused):
		fmt.Fprintln(errOut, "refused:", err)
		return ExitRefused
	case errors.As(err, &usage), errors.Is(err, ff.ErrUnknownFlag), errors.Is(err, ff.ErrDuplicateFlag):
		fmt.Fprintf(errOut, "%v\nsee: %s --help\n", err, root.GetSelected().Name)
		return ExitUsage
	default:
		fmt.Fprintln(errOut, "failed:", err)
		return ExitFailed
	}
}

func root(out, errOut io.Writer) *ff.Command {
	return &ff.Command{
		Name:      "oriolebend",
		Usage:     "oriolebend <subcommand> [flags]",
		ShortHelp: "route requests across separate prefill and decode pools",
		Flags:     ff.NewFlagSet("oriolebend"),
		Subcommands: []*ff.Command{
			devCommand(out),
			entryCommand(out),
			sidecarCommand(out),
			controlCommand(out),
			checkCommand(out),
			versionCommand(out),
		},
	}
}
