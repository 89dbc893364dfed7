// Package command holds the operators' subcommands: they speak to the operator
// API and print tables for people or JSON for programs.
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

// Exit codes of the operators' commands, beside those that all commands have:
// 0 done, 1 failed, 2 wrong command line, 3 wrong settings, 4 refused.
const (
	ExitUsage    = 2 // the command line is wrong
	ExitRefused  = 4 // refused for another reason than those below
	ExitRaced    = 5 // another change won; nothing was changed
	ExitInvalid  = 6 // a resource fails its checks; nothing was changed
	ExitNotFound = 7 // there is no such resource or server
	ExitAway     = 8 // no answer; resend under the same --order-id
	ExitWaiting  = 9 // accepted, but not in force within --wait
)

// ExitError ends a command with an exit code.
type ExitError struct {
	Code  int
	Cause error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Cause.Error() }

// Unwrap returns the error beneath.
func (e *ExitError) Unwrap() error { return e.Cause }

// ExitCode returns the exit code.
func (e *ExitError) ExitCode() int { return e.Code }

// UsageError is a command line that can't be carried out.
type UsageError struct{ Text string }

// Error implements error.
func (e *UsageError) Error() string { return e.Text }

func usage(format string, args ...any) error {
	return &ExitError{Code: ExitUsage, Cause: &UsageError{Text: fmt.Sprintf(format, args...)}}
}

// noArguments refuses arguments of a command that takes flags alone.
func noArguments(args []string) error {
	if len(args) > 0 {
		return usage("this command takes no argument, got %q", args[0])
	}
	return nil
}

// Commands returns the operators' subcommands. They print to out, and what is
// no answer to errOut.
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
		routingCommand(out),
		folderCommand(out),
	}
}

// Forms of output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// connection holds the flags that all commands have.
type connection struct {
	flags     *ff.FlagSet
	addresses *[]string
	token     *string
	who       *string
	output    *string
	timeout   *time.Duration
}

func newConnection(name string) *connection {
	flags := ff.NewFlagSet(name)
	return &connection{
		flags:     flags,
		addresses: flags.StringListLong("control", "base URL of a control VM's operator API; repeat or separate by commas"),
		token:     flags.StringLong("token", "", "operator's token"),
		who:       flags.StringLong("who", "", "operator's name, where no token is asked for"),
		output:    flags.StringEnumLong("output", "form of what is printed", outputTable, outputJSON),
		timeout:   flags.DurationLong("timeout", 30*time.Second, "how long to try"),
	}
}

func (c *connection) client() (*client.Client, error) {
	var addresses []string
	for _, listed := range *c.addresses {
		addresses = append(addresses, strings.FieldsFunc(listed, func(r rune) bool { return r == ',' || r == ' ' })...)
	}
	if len(addresses) == 0 {
		return nil, usage("--control (or ORIOLEBEND_CONTROL) must name a control VM, such as http://10.0.0.2:7470")
	}
	return client.New(client.Config{Addresses: addresses, Token: *c.token, Who: *c.who}), nil
}

func (c *connection) json() bool { return *c.output == outputJSON }

// run connects and runs a command within its timeout.
func (c *connection) run(ctx context.Context, do func(context.Context, *client.Client) error) error {
	connected, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, *c.timeout)
	defer cancel()
	return coded(do(ctx, connected))
}

// exitCodes are the codes of reasons; others are ExitRefused.
var exitCodes = map[oriolebend.Reason]int{
	oriolebend.ReasonRevisionRace:    ExitRaced,
	oriolebend.ReasonKeyReused:       ExitRaced,
	oriolebend.ReasonInvalidResource: ExitInvalid,
	oriolebend.ReasonMalformed:       ExitInvalid,
	oriolebend.ReasonTooLarge:        ExitInvalid,
	oriolebend.ReasonUnknownRequest:  ExitNotFound,
	oriolebend.ReasonControlAway:     ExitAway,
	oriolebend.ReasonNotLeader:       ExitAway,
	oriolebend.ReasonOutcomeLost:     ExitAway,
	oriolebend.ReasonInternal:        ExitAway,
}

// coded gives an error of the client its exit code.
func coded(err error) error {
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

// parseKey reads "kind/name" or two arguments.
func parseKey(args []string) (oriolebend.ResourceKey, error) {
	if len(args) == 1 {
		args = strings.SplitN(args[0], "/", 2)
	}
	if len(args) != 2 || args[1] == "" {
		return oriolebend.ResourceKey{}, usage("name one resource, as KIND/NAME")
	}
	return oriolebend.ResourceKey{Kind: oriolebend.ResourceKind(args[0]), Name: args[1]}, nil
}
