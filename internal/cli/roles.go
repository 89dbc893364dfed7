package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/role"
	"github.com/oriolebend/oriolebend/internal/settings"
)

// stopWithin bounds a graceful stop; what is still in progress then is cut.
const stopWithin = 10 * time.Minute

// stoppable is a running process of a role.
type stoppable interface {
	Stop(ctx context.Context) error
}

func entryCommand(out io.Writer) *ff.Command {
	return roleCommand(out, settings.RoleEntry, "take callers' requests on an entry VM", func(p role.Process) (stoppable, error) {
		return role.StartEntry(p)
	})
}

func sidecarCommand(out io.Writer) *ff.Command {
	return roleCommand(out, settings.RoleSidecar, "be the gate of the backend server on this VM", func(p role.Process) (stoppable, error) {
		return role.StartSidecar(p)
	})
}

func controlCommand(out io.Writer) *ff.Command {
	return roleCommand(out, settings.RoleControl, "hold declared state and request records on a control VM", func(p role.Process) (stoppable, error) {
		return role.StartControl(p)
	})
}

// roleCommand is a subcommand that runs one role until it is asked to stop.
func roleCommand(out io.Writer, r settings.Role, help string, start func(role.Process) (stoppable, error)) *ff.Command {
	flags := ff.NewFlagSet(string(r))
	overrides := settings.Flags(flags)
	return &ff.Command{
		Name:      string(r),
		Usage:     fmt.Sprintf("oriolebend %s --settings FILE", r),
		ShortHelp: help,
		LongHelp:  fmt.Sprintf("Example:\n  oriolebend %s --settings examples/production/%s.toml", r, r),
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			s, err := overrides.Load(r)
			if err != nil {
				return err
			}
			return runRole(ctx, out, s, start)
		},
	}
}

func runRole(ctx context.Context, out io.Writer, s settings.Settings, start func(role.Process) (stoppable, error)) error {
	logger := newLogger(s.Log, out).With("node", s.Node.Name)
	files, err := peer.LoadFiles(peer.Files{Certificate: s.TLS.Certificate, Key: s.TLS.Key, Authority: s.TLS.Authority})
	if err != nil {
		return fmt.Errorf("load keys: %w", err)
	}
	running, err := start(role.Process{Settings: s, Credentials: files, Logger: logger})
	if err != nil {
		return err
	}
	logger.Info("started")
	<-ctx.Done()
	logger.Info("stopping; work in progress ends first")
	return stop(running)
}

// stop ends a process gracefully, whatever became of the context that asked
// for it.
func stop(running stoppable) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	return running.Stop(ctx)
}
