// Package cli implements the command line of the program. It has a subcommand for each
// role, for each task of an operator, and for keys, checks, load and experiments.
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
	ExitFailed   = 1 // failed while running
	ExitUsage    = 2 // the command line is wrong
	ExitSettings = 3 // the settings are wrong; nothing was started
	ExitRefused  = 4 // the system refused the request, with a reason
)

// exitCodes is the part of the help text that lists the exit codes.
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

// UsageError describes a wrong command line.
type UsageError struct{ Text string }

// Error implements error.
func (e *UsageError) Error() string { return e.Text }

// ExitCode returns the exit code.
func (e *UsageError) ExitCode() int { return ExitUsage }

// exitCoder is an error that determines the exit code of the program.
type exitCoder interface {
	error
	ExitCode() int
}

// noArguments returns an error if a command that takes only flags got arguments.
// Otherwise a settings file that is given without --settings would be ignored, and the
// command would run with the default settings.
func noArguments(name string, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return &UsageError{Text: fmt.Sprintf("%s takes no argument, got %q; a settings file is given with --settings", name, args[0])}
}

// Run executes a command line and returns the exit code. The first SIGINT or SIGTERM
// stops the command gracefully and the second stops it at once. The third has the
// default action of the operating system, which ends the process.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	defer context.AfterFunc(ctx, stop)()
	root := root(out, errOut)
	if err := root.Parse(args, ff.WithEnvVarPrefix(settings.EnvironmentPrefix)); err != nil {
		return reportParseError(root, err, out, errOut)
	}
	return report(root, root.Run(ctx), errOut)
}

// reportParseError prints the error of a command line that can't be parsed, or the help
// if that was requested.
func reportParseError(root *ff.Command, err error, out, errOut io.Writer) int {
	if errors.Is(err, ff.ErrHelp) {
		fmt.Fprintln(out, ffhelp.Command(selected(root)))
		return ExitOK
	}
	return reportUsage(root, err, errOut)
}

// reportUsage prints an error and the command that shows the help.
func reportUsage(root *ff.Command, err error, errOut io.Writer) int {
	name := selected(root).Name
	if name != root.Name {
		name = root.Name + " " + name
	}
	fmt.Fprintf(errOut, "%v\nsee: %s --help\n", err, name)
	return ExitUsage
}

// selected returns the subcommand that the command line names, as far as it was parsed.
func selected(root *ff.Command) *ff.Command {
	if c := root.GetSelected(); c != nil {
		return c
	}
	return root
}

// report prints the error of a command and returns the exit code.
func report(root *ff.Command, err error, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	if errors.Is(err, ff.ErrNoExec) {
		return reportNoCommand(root, errOut)
	}
	if invalid, ok := errors.AsType[*settings.Errors](err); ok {
		fmt.Fprintln(errOut, invalid)
		return ExitSettings
	}
	if exit, ok := errors.AsType[exitCoder](err); ok {
		if exit.ExitCode() == ExitUsage {
			return reportUsage(root, err, errOut)
		}
		fmt.Fprintln(errOut, err)
		return exit.ExitCode()
	}
	if refused, ok := errors.AsType[*oriolebend.Problem](err); ok {
		fmt.Fprintln(errOut, "refused:", refused)
		return ExitRefused
	}
	fmt.Fprintln(errOut, "failed:", err)
	return ExitFailed
}

// reportNoCommand reports an unknown command, or lists the commands if none is named.
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
