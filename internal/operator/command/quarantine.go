package command

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
	"github.com/oriolebend/oriolebend/pkg/oriolebend/client"
)

// quarantineCommand returns the command that shows and releases what crashes servers.
func quarantineCommand(out io.Writer) *ff.Command {
	return &ff.Command{
		Name: "quarantine", Usage: "oriolebend quarantine <list | release> [FLAGS]",
		ShortHelp:   "show and release requests and parts of prompts that crash servers",
		LongHelp:    "Example:\n  oriolebend quarantine list --control http://127.0.0.1:8081",
		Flags:       ff.NewFlagSet("quarantine"),
		Subcommands: []*ff.Command{quarantineListCommand(out), quarantineReleaseCommand(out)},
	}
}

func quarantineListCommand(out io.Writer) *ff.Command {
	c := newConnectionFlags("list")
	return &ff.Command{
		Name: "list", Usage: "oriolebend quarantine list [FLAGS]", Flags: c.flags,
		ShortHelp: "print the quarantines that one control VM knows",
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			return c.run(ctx, func(ctx context.Context, api *client.Client) error {
				list, err := api.Quarantines(ctx)
				if err != nil {
					return err
				}
				if c.json() {
					return printJSON(out, list)
				}
				return printQuarantines(out, list)
			})
		},
	}
}

func quarantineReleaseCommand(out io.Writer) *ff.Command {
	c := newConnectionFlags("release")
	return &ff.Command{
		Name: "release", Usage: "oriolebend quarantine release FINGERPRINT [FLAGS]", Flags: c.flags,
		ShortHelp: "send such requests to servers again; further crashes begin another quarantine",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usage("give one fingerprint")
			}
			return c.run(ctx, func(ctx context.Context, api *client.Client) error {
				if err := api.ReleaseQuarantine(ctx, args[0]); err != nil {
					return err
				}
				fmt.Fprintf(out, "released %s\n", args[0])
				return nil
			})
		},
	}
}

func printQuarantines(out io.Writer, list []oriolebend.Quarantine) error {
	rows := make([][]string, 0, len(list))
	for _, q := range list {
		rows = append(rows, []string{
			q.Kind, q.Fingerprint, strings.Join(q.Together, ","), strings.Join(q.Servers, ","),
			q.LastCrash.UTC().Format(time.RFC3339), q.Left.String(),
		})
	}
	return printTable(out, "KIND FINGERPRINT TOGETHER SERVERS LAST-CRASH LEFT", rows)
}
