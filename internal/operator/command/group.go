package command

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/peterbourgon/ff/v4"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
	"github.com/oriolebend/oriolebend/pkg/oriolebend/client"
)

// groupCommand returns the command that shows and changes the group of control VMs.
func groupCommand(out io.Writer) *ff.Command {
	return &ff.Command{
		Name: "group", Usage: "oriolebend group <status | add | remove | transfer> [FLAGS]",
		ShortHelp: "show and change the group of control VMs",
		LongHelp:  "Example:\n  oriolebend group status --control http://127.0.0.1:8081",
		Flags:     ff.NewFlagSet("group"),
		Subcommands: []*ff.Command{
			groupStatusCommand(out), groupAddCommand(out), groupRemoveCommand(out), groupTransferCommand(out),
		},
	}
}

// groupRun calls the operator API once and prints the group that it returns.
func groupRun(ctx context.Context, c *connectionFlags, out io.Writer, call func(context.Context, *client.Client) (oriolebend.Group, error)) error {
	return c.run(ctx, func(ctx context.Context, api *client.Client) error {
		group, err := call(ctx, api)
		if err != nil {
			return err
		}
		if c.json() {
			return printJSON(out, group)
		}
		return printGroup(out, group)
	})
}

func groupStatusCommand(out io.Writer) *ff.Command {
	c := newConnectionFlags("status")
	return &ff.Command{
		Name: "status", Usage: "oriolebend group status [FLAGS]", Flags: c.flags,
		ShortHelp: "print the view of one control VM; the leader's shows how far each VM has come",
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			return groupRun(ctx, c, out, func(ctx context.Context, api *client.Client) (oriolebend.Group, error) {
				return api.Group(ctx)
			})
		},
	}
}

func groupAddCommand(out io.Writer) *ff.Command {
	c := newConnectionFlags("add")
	address := c.flags.StringLong("address", "", "IP:port of the VM's peer address")
	domain := c.flags.StringLong("failure-domain", "", "the VM's failure domain")
	return &ff.Command{
		Name: "add", Usage: "oriolebend group add --address IP:PORT [FLAGS] NAME", Flags: c.flags,
		ShortHelp: "add a control VM, which votes once it has caught up",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 || *address == "" {
				return usage("group add needs --address and one name")
			}
			m := oriolebend.GroupMember{Name: args[0], Address: *address, FailureDomain: *domain}
			return groupRun(ctx, c, out, func(ctx context.Context, api *client.Client) (oriolebend.Group, error) {
				return api.AddMember(ctx, m)
			})
		},
	}
}

func groupRemoveCommand(out io.Writer) *ff.Command {
	c := newConnectionFlags("remove")
	return &ff.Command{
		Name: "remove", Usage: "oriolebend group remove [FLAGS] NAME", Flags: c.flags,
		ShortHelp: "remove a control VM",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usage("group remove needs one name")
			}
			return groupRun(ctx, c, out, func(ctx context.Context, api *client.Client) (oriolebend.Group, error) {
				return api.RemoveMember(ctx, args[0])
			})
		},
	}
}

func groupTransferCommand(out io.Writer) *ff.Command {
	c := newConnectionFlags("transfer")
	return &ff.Command{
		Name: "transfer", Usage: "oriolebend group transfer [FLAGS]", Flags: c.flags,
		ShortHelp: "have the leader hand over to another control VM",
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			return groupRun(ctx, c, out, func(ctx context.Context, api *client.Client) (oriolebend.Group, error) {
				return api.TransferLeadership(ctx)
			})
		},
	}
}

func printGroup(out io.Writer, g oriolebend.Group) error {
	fmt.Fprintf(out, "%s is %s in term %d, leader %s, committed %d, applied %d, snapshot %d\n",
		g.Node, g.Role, g.Term, orDash(g.Leader), g.Committed, g.Applied, g.Snapshot)
	if g.Recovering {
		fmt.Fprintln(out, "it started with an empty folder and grants no vote until it has caught up")
	}
	if g.DiskFull {
		fmt.Fprintln(out, "its disk has no room")
	}
	rows := make([][]string, 0, len(g.Members))
	for _, m := range g.Members {
		match := "-"
		if m.Match > 0 {
			match = strconv.FormatUint(m.Match, 10)
		}
		rows = append(rows, []string{
			m.Name, m.Address, orDash(m.FailureDomain), strconv.FormatBool(m.Voter),
			strconv.FormatBool(m.Active), match,
		})
	}
	return printTable(out, "NAME ADDRESS FAILURE-DOMAIN VOTER ACTIVE MATCH", rows)
}
