package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/oriolebend/oriolebend/internal/logging"
	"github.com/oriolebend/oriolebend/internal/role"
	"github.com/oriolebend/oriolebend/internal/settings"
)

// devReadyTimeout is how long dev may take until it is ready.
const devReadyTimeout = 10 * time.Second

func devCommand(out, errOut io.Writer) *ff.Command {
	flags := ff.NewFlagSet("dev")
	overrides := settings.Flags(flags)
	return &ff.Command{
		Name:      "dev",
		Usage:     "oriolebend dev [--settings FILE]",
		ShortHelp: "run every role and stand-in engines in one process, to try the program",
		LongHelp:  "Example:\n  oriolebend dev --settings examples/lintang.toml",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments("dev", args); err != nil {
				return err
			}
			s, err := overrides.Load(settings.RoleDev)
			if err != nil {
				return err
			}
			return runDev(ctx, out, errOut, s)
		},
	}
}

func runDev(ctx context.Context, out, errOut io.Writer, s settings.Settings) error {
	started := time.Now()
	logger, err := logging.New(s.Log, errOut)
	if err != nil {
		return err
	}
	d, err := role.StartDev(s, logger)
	if err != nil {
		return err
	}
	readyContext, cancel := context.WithTimeout(ctx, devReadyTimeout)
	defer cancel()
	if err := d.Ready(readyContext); err != nil {
		return errors.Join(fmt.Errorf("wait for the stand-ins: %w", err), stop(d))
	}
	printReady(out, d, s, time.Since(started))
	<-ctx.Done()
	fmt.Fprintln(out, "stopping; requests in progress end first")
	return stop(d)
}

// printReady prints the number of running processes and example commands.
func printReady(out io.Writer, d *role.Dev, s settings.Settings, took time.Duration) {
	address := d.Entries[0].Address()
	fmt.Fprintf(out, "ready after %s: %d servers, %d entries\n", took.Round(time.Millisecond), len(d.Sidecars), len(d.Entries))
	model := firstModel(s)
	if model == "" {
		return
	}
	fmt.Fprintf(out, `try, in another terminal:
  curl -s http://%s/v1/completions -H 'Idempotency-Key: first-try' \
    -d '{"model": %q, "prompt": "Plan the corridor from the depot to the camp.", "max_tokens": 40}'
  oriolebend status --control http://%s
  curl -s http://%s/metrics
stop with Ctrl-C
`, address, model, d.Controls[0].OperatorAddress(), d.MetricsAddress())
}

func firstModel(s settings.Settings) string {
	for _, group := range s.Dev.Servers {
		if group.Model != "" {
			return group.Model
		}
	}
	return ""
}
