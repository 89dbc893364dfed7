// Package command implements the operators' subcommands. They send requests to the
// operator API, or read log files or a data folder, and print tables for people or
// JSON for programs.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
	"github.com/oriolebend/oriolebend/pkg/oriolebend/client"
)

// Exit codes of the operators' commands. The codes 0 to 4 are common to all commands:
// 0 done, 1 failed, 2 wrong command line, 3 wrong settings, 4 refused.
const (
	ExitUsage    = 2 // the command line is wrong
	ExitRefused  = 4 // refused for a reason without a code of its own
	ExitRaced    = 5 // another change won; nothing was changed
	ExitInvalid  = 6 // a resource fails its checks; nothing was changed
	ExitNotFound = 7 // there is no such resource or server
	ExitNoAnswer = 8 // no answer; resend under the same --order-id
	ExitWaiting  = 9 // accepted, but not in force within --wait
)

// ExitError is the error of a command with the exit code of the program.
type ExitError struct {
	Code  int
	Cause error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Cause }

// ExitCode returns the exit code.
func (e *ExitError) ExitCode() int { return e.Code }

// UsageError describes a wrong command line.
type UsageError struct{ Text string }

// Error implements error.
func (e *UsageError) Error() string { return e.Text }

func usage(format string, args ...any) error {
	return &ExitError{Code: ExitUsage, Cause: &UsageError{Text: fmt.Sprintf(format, args...)}}
}

// noArguments returns an error if a command that takes only flags got arguments.
func noArguments(args []string) error {
	if len(args) > 0 {
		return usage("this command takes no argument, got %q", args[0])
	}
	return nil
}

// Commands returns the operators' subcommands. They print results to out, and errors
// and notes to errOut.
func Commands(out, errOut io.Writer) []*ff.Command {
	return []*ff.Command{
		getCommand(out),
		applyCommand(out, errOut),
		deleteCommand(out, errOut),
		watchCommand(out),
		drainCommand(out, errOut),
		statusCommand(out),
		explainCommand(out),
		serversCommand(out),
		auditCommand(out),
		advanceCommand(out),
		groupCommand(out),
		routingCommand(out), quarantineCommand(out),
		folderCommand(out),
	}
}

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// connectionFlags holds the flags of all commands that send requests to control VMs.
type connectionFlags struct {
	flags     *ff.FlagSet
	addresses *[]string
	token     *string
	who       *string
	output    *string
	timeout   *time.Duration
}

func newConnectionFlags(name string) *connectionFlags {
	flags := ff.NewFlagSet(name)
	return &connectionFlags{
		flags:     flags,
		addresses: flags.StringListLong("control", "base URL of a control VM's operator API; repeat or separate by commas"),
		token:     flags.StringLong("token", "", "operator's token"),
		who:       flags.StringLong("who", "", "operator's name, for control VMs that need no token"),
		output:    flags.StringEnumLong("output", "output format", outputTable, outputJSON),
		timeout:   flags.DurationLong("timeout", 30*time.Second, "time limit of the command"),
	}
}

func (c *connectionFlags) client() (*client.Client, error) {
	var addresses []string
	for _, listed := range *c.addresses {
		addresses = append(addresses, strings.FieldsFunc(listed, func(r rune) bool { return r == ',' || r == ' ' })...)
	}
	if len(addresses) == 0 {
		return nil, usage("--control (or ORIOLEBEND_CONTROL) must name a control VM, such as http://10.0.0.2:7470")
	}
	return client.New(client.Config{Addresses: addresses, Token: *c.token, Who: *c.who}), nil
}

func (c *connectionFlags) json() bool { return *c.output == outputJSON }

// run calls do with a client of the control VMs, within the timeout of the command.
func (c *connectionFlags) run(ctx context.Context, do func(context.Context, *client.Client) error) error {
	connected, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, *c.timeout)
	defer cancel()
	return withExitCode(do(ctx, connected))
}

// exitCodes maps reasons to exit codes. A reason that is not listed has the code
// ExitRefused.
var exitCodes = map[oriolebend.Reason]int{
	oriolebend.ReasonRevisionRace:    ExitRaced,
	oriolebend.ReasonKeyReused:       ExitRaced,
	oriolebend.ReasonInvalidResource: ExitInvalid,
	oriolebend.ReasonMalformed:       ExitInvalid,
	oriolebend.ReasonTooLarge:        ExitInvalid,
	oriolebend.ReasonUnknownRequest:  ExitNotFound,
	oriolebend.ReasonControlAway:     ExitNoAnswer,
	oriolebend.ReasonNotLeader:       ExitNoAnswer,
	oriolebend.ReasonOutcomeLost:     ExitNoAnswer,
	oriolebend.ReasonInternal:        ExitNoAnswer,
}

// withExitCode adds the exit code to an error of the client.
func withExitCode(err error) error {
	var refused *client.Error
	if !errors.As(err, &refused) {
		return err
	}
	code, known := exitCodes[refused.Problem.Reason]
	if !known {
		code = ExitRefused
	}
	return &ExitError{Code: code, Cause: err}
}

// parseKey parses the name of a resource, given as "kind/name" or as two arguments.
func parseKey(args []string) (oriolebend.ResourceKey, error) {
	if len(args) == 1 {
		args = strings.SplitN(args[0], "/", 2)
	}
	if len(args) != 2 || args[1] == "" {
		return oriolebend.ResourceKey{}, usage("name one resource, as KIND/NAME")
	}
	return oriolebend.ResourceKey{Kind: oriolebend.ResourceKind(args[0]), Name: args[1]}, nil
}
