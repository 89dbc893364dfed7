package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v4"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
	"github.com/oriolebend/oriolebend/pkg/oriolebend/client"
)

func getCommand(out io.Writer) *ff.Command {
	c := newConnectionFlags("get")
	return &ff.Command{
		Name: "get", Usage: "oriolebend get [FLAGS] [KIND | KIND/NAME]", Flags: c.flags,
		ShortHelp: "print declared resources",
		LongHelp:  "Example:\n  oriolebend get model/planner-lm --control http://127.0.0.1:8081",
		Exec: func(ctx context.Context, args []string) error {
			return c.run(ctx, func(ctx context.Context, api *client.Client) error { return get(ctx, api, c, out, args) })
		},
	}
}

func get(ctx context.Context, api *client.Client, c *connectionFlags, out io.Writer, args []string) error {
	key, err := parseKey(args)
	if err == nil {
		return getOne(ctx, api, c, out, key)
	}
	if len(args) > 1 {
		return err
	}
	var kind oriolebend.ResourceKind
	if len(args) == 1 {
		kind = oriolebend.ResourceKind(args[0])
	}
	list, err := api.List(ctx, kind)
	if err != nil {
		return err
	}
	if c.json() {
		return printJSON(out, list)
	}
	return printResources(out, list.Items)
}

func getOne(ctx context.Context, api *client.Client, c *connectionFlags, out io.Writer, key oriolebend.ResourceKey) error {
	r, err := api.Get(ctx, key)
	if err != nil {
		return err
	}
	if c.json() {
		return printJSON(out, r)
	}
	return printResources(out, []oriolebend.Resource{r})
}

func watchCommand(out io.Writer) *ff.Command {
	c := newConnectionFlags("watch")
	from := c.flags.Uint64Long("from", 0, "revision after which the watch resumes; 0 starts with the complete state")
	follow := c.flags.BoolLongDefault("follow", true, "keep printing changes after the current state; --follow=false exits then")
	return &ff.Command{
		Name: "watch", Usage: "oriolebend watch [FLAGS]", Flags: c.flags,
		ShortHelp: "print declared resources and servers as they change",
		LongHelp: "A watch has no --timeout. To resume it, give its last revision as --from.\n\n" +
			"Example:\n  oriolebend watch --control http://127.0.0.1:8081",
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			api, err := c.client()
			if err != nil {
				return err
			}
			return withExitCode(watch(ctx, api, c, out, *from, *follow))
		},
	}
}

// endOfWatch is the error that ends a watch with --follow=false after the current state.
type endOfWatch struct{}

func (endOfWatch) Error() string { return "the current state is complete" }

func watch(ctx context.Context, api *client.Client, c *connectionFlags, out io.Writer, from uint64, follow bool) error {
	lines := json.NewEncoder(out)
	err := api.Watch(ctx, from, func(e oriolebend.WatchEvent) error {
		if c.json() {
			if err := lines.Encode(e); err != nil {
				return err
			}
		} else {
			printEvent(out, e)
		}
		if e.Bookmark && !follow {
			return endOfWatch{}
		}
		return nil
	})
	if errors.As(err, &endOfWatch{}) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func statusCommand(out io.Writer) *ff.Command {
	c := newConnectionFlags("status")
	return &ff.Command{
		Name: "status", Usage: "oriolebend status [FLAGS]", Flags: c.flags,
		ShortHelp: "compare the declared state with the state that was reached",
		LongHelp:  "Example:\n  oriolebend status --control http://127.0.0.1:8081",
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			return c.run(ctx, func(ctx context.Context, api *client.Client) error {
				status, err := api.Status(ctx)
				if err != nil {
					return err
				}
				if c.json() {
					return printJSON(out, status)
				}
				return printStatus(out, status)
			})
		},
	}
}

func explainCommand(out io.Writer) *ff.Command {
	c := newConnectionFlags("explain")
	return &ff.Command{
		Name: "explain", Usage: "oriolebend explain [FLAGS] KIND/NAME", Flags: c.flags,
		ShortHelp:   "explain why a resource is not as declared yet, or what happened to a request",
		LongHelp:    "Example:\n  oriolebend explain pool/decode --control http://127.0.0.1:8081",
		Subcommands: []*ff.Command{explainRequestCommand(out), explainCrashesCommand(out)},
		Exec: func(ctx context.Context, args []string) error {
			key, err := parseKey(args)
			if err != nil {
				return err
			}
			return c.run(ctx, func(ctx context.Context, api *client.Client) error {
				return explain(ctx, api, c, out, key)
			})
		},
	}
}

func explain(ctx context.Context, api *client.Client, c *connectionFlags, out io.Writer, key oriolebend.ResourceKey) error {
	e, err := api.Explain(ctx, key)
	if err != nil {
		return err
	}
	if c.json() {
		return printJSON(out, e)
	}
	state := "reached"
	if !e.Reached {
		state = "not reached yet"
	}
	fmt.Fprintf(out, "%s: %s\n", key, state)
	for _, line := range e.Lines {
		fmt.Fprintf(out, "  %s\n", line)
	}
	return nil
}

func serversCommand(out io.Writer) *ff.Command {
	c := newConnectionFlags("servers")
	return &ff.Command{
		Name: "servers", Usage: "oriolebend servers [FLAGS]", Flags: c.flags,
		ShortHelp: "print the backend servers that announced themselves",
		LongHelp:  "Example:\n  oriolebend servers --control http://127.0.0.1:8081",
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			return c.run(ctx, func(ctx context.Context, api *client.Client) error {
				list, err := api.Servers(ctx)
				if err != nil {
					return err
				}
				if c.json() {
					return printJSON(out, list)
				}
				return printServers(out, list.Items)
			})
		},
	}
}

func auditCommand(out io.Writer) *ff.Command {
	c := newConnectionFlags("audit")
	after := c.flags.Uint64Long("after", 0, "revision after which changes are printed")
	return &ff.Command{
		Name: "audit", Usage: "oriolebend audit [FLAGS]", Flags: c.flags,
		ShortHelp: "print who changed what",
		LongHelp:  "Example:\n  oriolebend audit --after 12 --control http://127.0.0.1:8081",
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			return c.run(ctx, func(ctx context.Context, api *client.Client) error {
				list, err := api.Audit(ctx, *after)
				if err != nil {
					return err
				}
				if c.json() {
					return printJSON(out, list)
				}
				return printAudit(out, list.Items)
			})
		},
	}
}
