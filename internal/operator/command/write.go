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

// order holds the flags of commands that change something.
type order struct {
	*connection
	expect  *int
	orderID *string
	dryRun  *bool
	wait    *time.Duration
	out     io.Writer
	errOut  io.Writer
}

// anyRevision as --expect means that any revision will do.
const anyRevision = -1

func newOrder(name string, out, errOut io.Writer) *order {
	c := newConnection(name)
	return &order{
		connection: c,
		expect:     c.flags.IntLong("expect", anyRevision, "revision that the resource must be at; 0 for none yet, -1 for any"),
		orderID:    c.flags.StringLong("order-id", "", "id of the order; give that of a lost answer to learn it"),
		dryRun:     c.flags.BoolLong("dry-run", "say what would happen, and change nothing"),
		wait:       c.flags.DurationLong("wait", 0, "wait that long until all followers have the change in force"),
		out:        out,
		errOut:     errOut,
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

// change is one line of the answer to a command.
type change struct {
	Resource string `json:"resource"`
	// Result is nil if there was no answer.
	Result *oriolebend.ChangeResult `json:"result,omitempty"`
	// Problem says why not, if the order was refused or lost.
	Problem *oriolebend.OperatorProblem `json:"problem,omitempty"`
}

// changed makes a line of what an order was answered.
func changed(key oriolebend.ResourceKey, result oriolebend.ChangeResult, err error) change {
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

// report prints what was changed and waits, if asked to, until it is in force.
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
	return o.await(ctx, api, newest)
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

// waitEvery is how often the status is read while waiting.
const waitEvery = 200 * time.Millisecond

// await waits until all followers have a revision in force.
//
// A control VM that has not applied the revision itself counts followers by an older
// one. Were that believed, the change would be said to be in force before anybody has
// it, and what the operator reads next might not show it.
func (o *order) await(ctx context.Context, api *client.Client, revision uint64) error {
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
		case <-time.After(waitEvery):
		}
	}
}

// NotReachedError means that a change is accepted but not in force everywhere.
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
		LongHelp: "Resources are applied one after another, those that others refer to first; the first that is\n" +
			"refused ends the command, and what came before it stays. A revision in the file is what is\n" +
			"expected of the resource. With several resources, --order-id is followed by \".1\", \".2\" ...\n\n" +
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

func (o *order) apply(ctx context.Context, api *client.Client, entries []entry) error {
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
		lines = append(lines, changed(e.key(), result, err))
		if failure == nil {
			failure = err
		}
		if failure != nil && !*o.dryRun { // a dry run tells of all that is wrong
			break
		}
	}
	return o.report(ctx, api, lines, failure)
}

func applyEntry(ctx context.Context, api *client.Client, e entry, options client.Options) (oriolebend.ChangeResult, error) {
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
				return o.report(ctx, api, []change{changed(key, result, err)}, err)
			})
		},
	}
}

func drainCommand(out, errOut io.Writer) *ff.Command {
	o := newOrder("drain", out, errOut)
	stop := o.flags.BoolLong("stop", "have the server's sidecar stop once its work has ended")
	undo := o.flags.BoolLong("undo", "have a drained server take work again")
	force := o.flags.BoolLong("force", "drain even if the pool then is under its minimum")
	return &ff.Command{
		Name: "drain", Usage: "oriolebend drain [FLAGS] SERVER", Flags: o.flags,
		ShortHelp: "take a backend server out of new work",
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
				return o.report(ctx, api, []change{changed(key, result, err)}, err)
			})
		},
	}
}

func advanceCommand(out io.Writer) *ff.Command {
	c := newConnection("advance")
	to := c.flags.Uint64Long("to", 0, "revision past the highest that any follower holds")
	return &ff.Command{
		Name: "advance", Usage: "oriolebend advance --to REVISION", Flags: c.flags,
		ShortHelp: "after a restore from a backup, have all followers take the restored state",
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
