package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v4"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
	"github.com/oriolebend/oriolebend/pkg/oriolebend/client"
)

// order holds the flags and the outputs of a command that changes declared resources.
type order struct {
	*connectionFlags
	expect  *int
	orderID *string
	dryRun  *bool
	wait    *time.Duration
	out     io.Writer
	errOut  io.Writer
}

// anyRevision is the value of --expect that accepts any revision.
const anyRevision = -1

func newOrder(name string, out, errOut io.Writer) *order {
	c := newConnectionFlags(name)
	return &order{
		connectionFlags: c,
		expect:          c.flags.IntLong("expect", anyRevision, "revision that the resource must have; 0 if it must not exist yet, -1 for any"),
		orderID:         c.flags.StringLong("order-id", "", "id of the order; if an answer was lost, resend with the same id to get it"),
		dryRun:          c.flags.BoolLong("dry-run", "print the result that the order would have, without changing anything"),
		wait:            c.flags.DurationLong("wait", 0, "how long to wait until the change is in force on all followers"),
		out:             out,
		errOut:          errOut,
	}
}

func (o *order) options() client.Options {
	options := client.Options{OrderID: *o.orderID, DryRun: *o.dryRun}
	if *o.expect >= 0 {
		expect := uint64(*o.expect)
		options.Expect = &expect
	}
	if options.OrderID == "" {
		options.OrderID = uuid.NewString()
	}
	return options
}

// change is the result of one order, as a command prints it.
type change struct {
	Resource string `json:"resource"`
	// Result is nil if there was no answer, or the answer contains no result.
	Result *oriolebend.ChangeResult `json:"result,omitempty"`
	// Problem is the reason if the order was refused or its answer was lost.
	Problem *oriolebend.OperatorProblem `json:"problem,omitempty"`
}

// newChange returns the change to print for the answer to an order.
func newChange(key oriolebend.ResourceKey, result oriolebend.ChangeResult, err error) change {
	line := change{Resource: key.String()}
	var refused *client.Error
	if errors.As(err, &refused) {
		line.Problem = &refused.Problem
		line.Result = refused.Problem.Result
		return line
	}
	if err == nil {
		line.Result = &result
	}
	return line
}

// report prints the changes. With --wait it then waits until they are in force.
func (o *order) report(ctx context.Context, api *client.Client, lines []change, failure error) error {
	var newest uint64
	for _, line := range lines {
		if line.Result != nil && line.Result.Done() {
			newest = max(newest, line.Result.Revision)
		}
		if !o.json() {
			o.printChange(line)
		}
	}
	if o.json() {
		if err := printJSON(o.out, lines); err != nil {
			return err
		}
	}
	if failure != nil || *o.wait == 0 || *o.dryRun || newest == 0 {
		return failure
	}
	return o.waitInForce(ctx, api, newest)
}

func (o *order) printChange(line change) {
	if line.Problem != nil {
		fmt.Fprintf(o.errOut, "%s: %s\n", line.Resource, (&client.Error{Problem: *line.Problem}).Error())
		if line.Result != nil {
			for _, p := range line.Result.Problems {
				fmt.Fprintf(o.errOut, "  %s %s (allowed: %s)\n", p.Field, p.Problem, orDash(p.Allowed))
			}
			if line.Result.Current != nil {
				fmt.Fprintf(o.errOut, "  now: %s\n", specText(line.Result.Current))
			}
		}
		return
	}
	if line.Result == nil {
		return
	}
	note := ""
	if line.Result.Resent {
		note = " (as answered before)"
	}
	if line.Result.DryRun {
		note = " (dry run)"
	}
	fmt.Fprintf(o.out, "%s %s at revision %d%s\n", line.Resource, line.Result.Outcome, line.Result.Revision, note)
}

// statusPollInterval is how often --wait reads the status.
const statusPollInterval = 200 * time.Millisecond

// waitInForce waits until all followers have a revision in force.
//
// A control VM that has not applied the revision itself counts the followers that have
// an older revision in force. Such a status must not count: the command would otherwise
// report that the change is in force before any follower has it, and the operator's
// next read might not show the change.
func (o *order) waitInForce(ctx context.Context, api *client.Client, revision uint64) error {
	deadline := time.Now().Add(*o.wait)
	for {
		status, err := api.Status(ctx)
		if err != nil {
			return err
		}
		behind := 0
		for _, node := range status.Rest {
			if node.Revision < revision {
				behind++
			}
		}
		if behind == 0 && status.Revision >= revision {
			fmt.Fprintf(o.errOut, "revision %d is in force on %d followers\n", revision, status.Total)
			return nil
		}
		if time.Now().After(deadline) {
			return &ExitError{Code: ExitWaiting, Cause: &NotReachedError{Revision: revision, Text: status.Text}}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(statusPollInterval):
		}
	}
}

// NotReachedError means that a change was accepted but is not in force on all
// followers.
type NotReachedError struct {
	Revision uint64
	Text     string
}

// Error implements error.
func (e *NotReachedError) Error() string {
	return fmt.Sprintf("revision %d is accepted but not in force everywhere: %s", e.Revision, e.Text)
}

func applyCommand(out, errOut io.Writer) *ff.Command {
	o := newOrder("apply", out, errOut)
	file := o.flags.String('f', "file", "", "TOML or JSON file of resources; - for standard input")
	return &ff.Command{
		Name: "apply", Usage: "oriolebend apply -f FILE [FLAGS]", Flags: o.flags,
		ShortHelp: "create or change declared resources",
		LongHelp: "Resources are applied one after another, each before those that refer to it. The command ends\n" +
			"at the first refusal; earlier resources stay changed. A revision in the file is the one that the\n" +
			"resource must be at. With several resources, \".1\", \".2\" ... is appended to --order-id.\n\n" +
			"Example:\n  oriolebend apply -f fleet.toml --wait 10s --control http://127.0.0.1:8081",
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			if *file == "" {
				return usage("apply needs -f FILE")
			}
			entries, err := readFile(*file, os.Stdin)
			if err != nil {
				return err
			}
			return o.run(ctx, func(ctx context.Context, api *client.Client) error { return o.apply(ctx, api, entries) })
		},
	}
}

func (o *order) apply(ctx context.Context, api *client.Client, entries []fileEntry) error {
	options := o.options()
	id := options.OrderID
	var lines []change
	var failure error
	for i, e := range entries {
		if len(entries) > 1 {
			options.OrderID = fmt.Sprintf("%s.%d", id, i+1)
		}
		if *o.expect < 0 {
			options.Expect = nil
			if e.Revision > 0 {
				options.Expect = &e.Revision
			}
		}
		result, err := applyEntry(ctx, api, e, options)
		lines = append(lines, newChange(e.key(), result, err))
		if failure == nil {
			failure = err
		}
		if failure != nil && !*o.dryRun { // a dry run reports the problems of all resources
			break
		}
	}
	return o.report(ctx, api, lines, failure)
}

func applyEntry(ctx context.Context, api *client.Client, e fileEntry, options client.Options) (oriolebend.ChangeResult, error) {
	body, err := json.Marshal(struct {
		Spec json.RawMessage `json:"spec,omitempty"`
	}{e.Spec})
	if err != nil {
		return oriolebend.ChangeResult{}, err
	}
	return api.ApplyRaw(ctx, e.key(), body, options)
}

func deleteCommand(out, errOut io.Writer) *ff.Command {
	o := newOrder("delete", out, errOut)
	return &ff.Command{
		Name: "delete", Usage: "oriolebend delete [FLAGS] KIND/NAME", Flags: o.flags,
		ShortHelp: "delete a declared resource",
		LongHelp:  "Example:\n  oriolebend delete pool/decode --control http://127.0.0.1:8081",
		Exec: func(ctx context.Context, args []string) error {
			key, err := parseKey(args)
			if err != nil {
				return err
			}
			return o.run(ctx, func(ctx context.Context, api *client.Client) error {
				result, err := api.Delete(ctx, key, o.options())
				return o.report(ctx, api, []change{newChange(key, result, err)}, err)
			})
		},
	}
}

func drainCommand(out, errOut io.Writer) *ff.Command {
	o := newOrder("drain", out, errOut)
	stop := o.flags.BoolLong("stop", "stop the server's sidecar once its work in progress has ended")
	undo := o.flags.BoolLong("undo", "let a drained server accept work again")
	force := o.flags.BoolLong("force", "drain even if the pool falls below its minimum of serving servers")
	return &ff.Command{
		Name: "drain", Usage: "oriolebend drain [FLAGS] SERVER", Flags: o.flags,
		ShortHelp: "stop sending new work to a backend server",
		LongHelp:  "Example:\n  oriolebend drain decode-1 --control http://127.0.0.1:8081",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usage("name one server")
			}
			key := oriolebend.ResourceKey{Kind: oriolebend.KindServer, Name: args[0]}
			return o.run(ctx, func(ctx context.Context, api *client.Client) error {
				options := o.options()
				options.Stop, options.Force, options.Undo = *stop, *force, *undo
				result, err := api.Drain(ctx, args[0], options)
				return o.report(ctx, api, []change{newChange(key, result, err)}, err)
			})
		},
	}
}

func advanceCommand(out io.Writer) *ff.Command {
	c := newConnectionFlags("advance")
	to := c.flags.Uint64Long("to", 0, "revision higher than that of any follower")
	return &ff.Command{
		Name: "advance", Usage: "oriolebend advance --to REVISION", Flags: c.flags,
		ShortHelp: "after a restore from a backup, make all followers adopt the restored state",
		LongHelp:  "Example:\n  oriolebend advance --to 4000 --control http://127.0.0.1:8081",
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			return c.run(ctx, func(ctx context.Context, api *client.Client) error {
				result, err := api.Advance(ctx, *to)
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "%s, at revision %d\n", result.Outcome, result.Revision)
				return nil
			})
		},
	}
}
