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

	"github.com/oriolebend/oriolebend/internal/experiment"
	"github.com/oriolebend/oriolebend/internal/load"
	"github.com/oriolebend/oriolebend/internal/operator/command"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Exit codes of the program. The operators' commands have more: see
// command.ExitError.
const (
	ExitOK       = 0 // done
	ExitFailed   = 1 // something went wrong while running
	ExitUsage    = 2 // the command line is wrong
	ExitSettings = 3 // the settings are wrong; nothing was started
	ExitRefused  = 4 // the system refused what was asked, with a reason
)

// exitCodes is part of the help.
const exitCodes = `Exit codes:
  0  done
  1  failed while running
  2  the command line is wrong
  3  the settings are wrong; nothing was started
  4  refused, for another reason than those below
  5  raced: another change won, nothing was changed
  6  invalid: a resource fails its checks, nothing was changed
  7  not found
  8  no answer from the control VMs; resend under the same --order-id
  9  accepted, but not in force within --wait`

// UsageError is a command line that can't be carried out.
type UsageError struct{ Text string }

// Error implements error.
func (e *UsageError) Error() string { return e.Text }

// ExitCode returns the exit code.
func (e *UsageError) ExitCode() int { return ExitUsage }

// coded is an error that knows the exit code of the program.
type coded interface {
	error
	ExitCode() int
}

// noArguments refuses arguments of a command that takes flags alone: a
// settings file given without --settings would be passed over otherwise, and
// the default settings would run in its place.
func noArguments(name string, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return &UsageError{Text: fmt.Sprintf("%s takes no argument, got %q; a settings file is given with --settings", name, args[0])}
}

// Run carries a command line out and returns the exit code. The first SIGINT
// or SIGTERM asks the command to stop gracefully, the second to stop at once,
// and a third ends the process as the system does.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	defer context.AfterFunc(ctx, stop)()
	root := root(out, errOut)
	if err := root.Parse(args, ff.WithEnvVarPrefix(settings.EnvironmentPrefix)); err != nil {
		return reportParse(root, err, out, errOut)
	}
	return report(root, root.Run(ctx), errOut)
}

// reportParse prints why a command line can't be read.
func reportParse(root *ff.Command, err error, out, errOut io.Writer) int {
	if errors.Is(err, ff.ErrHelp) {
		fmt.Fprintln(out, ffhelp.Command(selected(root)))
		return ExitOK
	}
	return reportUsage(root, err, errOut)
}

func reportUsage(root *ff.Command, err error, errOut io.Writer) int {
	name := selected(root).Name
	if name != root.Name {
		name = root.Name + " " + name
	}
	fmt.Fprintf(errOut, "%v\nsee: %s --help\n", err, name)
	return ExitUsage
}

// selected is the subcommand that a command line named, as far as it was read.
func selected(root *ff.Command) *ff.Command {
	if c := root.GetSelected(); c != nil {
		return c
	}
	return root
}

// report prints what a command returned and chooses the exit code.
func report(root *ff.Command, err error, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	if errors.Is(err, ff.ErrNoExec) {
		return reportNoCommand(root, errOut)
	}
	if bad, ok := errors.AsType[*settings.Errors](err); ok {
		fmt.Fprintln(errOut, bad)
		return ExitSettings
	}
	if known, ok := errors.AsType[coded](err); ok {
		if known.ExitCode() == ExitUsage {
			return reportUsage(root, err, errOut)
		}
		fmt.Fprintln(errOut, err)
		return known.ExitCode()
	}
	if refused, ok := errors.AsType[*oriolebend.Problem](err); ok {
		fmt.Fprintln(errOut, "refused:", refused)
		return ExitRefused
	}
	fmt.Fprintln(errOut, "failed:", err)
	return ExitFailed
}

// reportNoCommand says what commands there are, or that a name is none.
func reportNoCommand(root *ff.Command, errOut io.Writer) int {
	if args := selected(root).Flags.GetArgs(); len(args) > 0 {
		return reportUsage(root, &UsageError{Text: fmt.Sprintf("there is no command %q", args[0])}, errOut)
	}
	fmt.Fprintln(errOut, ffhelp.Command(selected(root)))
	return ExitUsage
}

func root(out, errOut io.Writer) *ff.Command {
	commands := []*ff.Command{
		devCommand(out, errOut),
		entryCommand(errOut),
		forwarderCommand(errOut),
		sidecarCommand(errOut),
		controlCommand(errOut),
		checkCommand(out),
		keysCommand(out),
		load.Command(out, errOut),
		experiment.Command(out, errOut),
	}
	commands = append(commands, command.Commands(out, errOut)...)
	commands = append(commands, versionCommand(out), completionCommand(out, commands))
	return &ff.Command{
		Name:        "oriolebend",
		Usage:       "oriolebend <subcommand> [flags]",
		ShortHelp:   "route requests across separate prefill and decode pools",
		LongHelp:    "Example:\n  oriolebend dev --settings examples/lintang.toml\n\n" + exitCodes,
		Flags:       ff.NewFlagSet("oriolebend"),
		Subcommands: commands,
	}
}
