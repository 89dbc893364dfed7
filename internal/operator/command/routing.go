package command

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
	"github.com/oriolebend/oriolebend/pkg/oriolebend/client"
)

// routingCommand returns the command that shows and declares the routes of plain
// requests.
func routingCommand(out io.Writer) *ff.Command {
	return &ff.Command{
		Name: "routing", Usage: "oriolebend routing <get | apply | backends> [FLAGS]",
		ShortHelp: "show and declare the routes of plain requests",
		LongHelp:  "Example:\n  oriolebend routing apply -f examples/routing.json --control http://127.0.0.1:8081",
		Flags:     ff.NewFlagSet("routing"),
		Subcommands: []*ff.Command{
			routingGetCommand(out), routingApplyCommand(out), routingBackendsCommand(out),
		},
	}
}

func routingGetCommand(out io.Writer) *ff.Command {
	c := newConnectionFlags("get")
	return &ff.Command{
		Name: "get", Usage: "oriolebend routing get [FLAGS]", Flags: c.flags,
		ShortHelp: "print the routing in force",
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			return c.run(ctx, func(ctx context.Context, api *client.Client) error {
				r, err := api.Routing(ctx)
				if err != nil {
					return err
				}
				if c.json() {
					return printJSON(out, r)
				}
				return printRouting(out, r)
			})
		},
	}
}

func routingApplyCommand(out io.Writer) *ff.Command {
	c := newConnectionFlags("apply")
	file := c.flags.String('f', "file", "", "routing in JSON; - reads standard input")
	return &ff.Command{
		Name: "apply", Usage: "oriolebend routing apply -f FILE [FLAGS]", Flags: c.flags,
		ShortHelp: "declare a routing; the highest version is in force",
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			declared, err := readRouting(*file)
			if err != nil {
				return err
			}
			return c.run(ctx, func(ctx context.Context, api *client.Client) error {
				result, err := api.DeclareRouting(ctx, declared)
				if err != nil {
					return err
				}
				if c.json() {
					return printJSON(out, result)
				}
				fmt.Fprintf(out, "version %d is in force, changed: %t\n", result.Version, result.Changed)
				return nil
			})
		},
	}
}

// readRouting reads a routing from a file and checks it, before a request is sent.
func readRouting(name string) (oriolebend.Routing, error) {
	if name == "" {
		return oriolebend.Routing{}, usage("routing apply needs -f FILE")
	}
	data, err := readAll(name, os.Stdin)
	if err != nil {
		return oriolebend.Routing{}, &FileError{File: name, Cause: err}
	}
	var declared oriolebend.Routing
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&declared); err != nil {
		return declared, &ExitError{Code: ExitInvalid, Cause: &FileError{File: name, Cause: err}}
	}
	if err := declared.Check(); err != nil {
		return declared, &ExitError{Code: ExitInvalid, Cause: &FileError{File: name, Cause: err}}
	}
	return declared, nil
}

func routingBackendsCommand(out io.Writer) *ff.Command {
	c := newConnectionFlags("backends")
	return &ff.Command{
		Name: "backends", Usage: "oriolebend routing backends [FLAGS]", Flags: c.flags,
		ShortHelp: "print the backend servers that announced themselves to one control VM",
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			return c.run(ctx, func(ctx context.Context, api *client.Client) error {
				list, err := api.Backends(ctx)
				if err != nil {
					return err
				}
				if c.json() {
					return printJSON(out, list)
				}
				return printBackends(out, list)
			})
		},
	}
}

func printRouting(out io.Writer, r oriolebend.Routing) error {
	rows := make([][]string, 0, len(r.Routes))
	for _, route := range r.Routes {
		var targets []string
		for _, t := range route.Targets {
			targets = append(targets, fmt.Sprintf("%s:%g", t.Service, t.Weight))
		}
		rows = append(rows, []string{
			route.Name, route.Host, route.PathPrefix, string(route.Repeat), route.Timeout.String(),
			fmt.Sprint(route.Attempts), strings.Join(targets, ","),
		})
	}
	fmt.Fprintf(out, "version %d\n", r.Version)
	if err := printTable(out, "ROUTE HOST PREFIX REPEAT TIMEOUT ATTEMPTS TARGETS", rows); err != nil {
		return err
	}
	return printOrganisations(out, r.Organisations)
}

// printOrganisations prints the organisations that may send requests. The digests of their
// keys are shortened to a part that still tells the keys apart.
func printOrganisations(out io.Writer, list []oriolebend.Organisation) error {
	if len(list) == 0 {
		return nil
	}
	rows := make([][]string, 0, len(list))
	for _, o := range list {
		rank, quota := "", ""
		if o.Rank != nil {
			rank = strconv.Itoa(*o.Rank)
		}
		if o.Quota.Bounded() {
			quota = fmt.Sprintf("%g %s/s, burst %g", o.Quota.PerSecond, cmp.Or(o.Quota.Unit, oriolebend.QuotaRequests), o.Quota.Burst)
		}
		keys := make([]string, 0, len(o.Keys))
		for _, key := range o.Keys {
			keys = append(keys, key.Short())
		}
		rows = append(rows, []string{o.Name, orDash(rank), orDash(quota), orDash(strings.Join(keys, ","))})
	}
	fmt.Fprintln(out)
	return printTable(out, "ORGANISATION RANK QUOTA KEYS", rows)
}

func printBackends(out io.Writer, list []oriolebend.Backend) error {
	rows := make([][]string, 0, len(list))
	for _, b := range list {
		contact := "heard"
		if b.Silent {
			contact = "silent"
		}
		rows = append(rows, []string{
			b.Instance, b.Service, b.Address, orDash(b.FailureDomain), orDash(string(b.Role)), b.Phase, contact,
			orDash(b.SoftwareVersion),
		})
	}
	return printTable(out, "INSTANCE SERVICE ADDRESS FAILUREDOMAIN ROLE PHASE HEARD SOFTWARE", rows)
}
