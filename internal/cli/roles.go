package cli

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/oriolebend/oriolebend/internal/forwarder"
	"github.com/oriolebend/oriolebend/internal/logging"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/role"
	"github.com/oriolebend/oriolebend/internal/settings"
)

// stopTimeout limits a graceful stop. Work that is still in progress then is cancelled.
const stopTimeout = 10 * time.Minute

// stoppable is a running process of a role, which can be stopped.
type stoppable interface {
	Stop(ctx context.Context) error
}

func entryCommand(errOut io.Writer) *ff.Command {
	return roleCommand(errOut, settings.RoleEntry, "accept callers' requests on an entry VM", func(p role.Process) (stoppable, error) {
		return role.StartEntry(p)
	})
}

func forwarderCommand(errOut io.Writer) *ff.Command {
	return roleCommand(errOut, settings.RoleForwarder, "forward callers' requests along declared routes", func(p role.Process) (stoppable, error) {
		return role.StartForwarder(p, forwarder.NativeDialect{})
	})
}

func sidecarCommand(errOut io.Writer) *ff.Command {
	return roleCommand(errOut, settings.RoleSidecar, "run the gate in front of the backend server on this VM", func(p role.Process) (stoppable, error) {
		return role.StartSidecar(p)
	})
}

func controlCommand(errOut io.Writer) *ff.Command {
	return roleCommand(errOut, settings.RoleControl, "store declared state and request records on a control VM", func(p role.Process) (stoppable, error) {
		return role.StartControl(p)
	})
}

// roleCommand returns a subcommand that runs one role until its context ends.
func roleCommand(errOut io.Writer, r settings.Role, help string, start func(role.Process) (stoppable, error)) *ff.Command {
	flags := ff.NewFlagSet(string(r))
	overrides := settings.Flags(flags)
	return &ff.Command{
		Name:      string(r),
		Usage:     fmt.Sprintf("oriolebend %s --settings FILE", r),
		ShortHelp: help,
		LongHelp:  fmt.Sprintf("Example:\n  oriolebend %s --settings examples/production/%s.toml", r, r),
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(string(r), args); err != nil {
				return err
			}
			s, err := overrides.Load(r)
			if err != nil {
				return err
			}
			return runRole(ctx, errOut, r, s, start)
		},
	}
}

func runRole(ctx context.Context, errOut io.Writer, r settings.Role, s settings.Settings, start func(role.Process) (stoppable, error)) error {
	base, err := logging.New(s.Log, errOut)
	if err != nil {
		return err
	}
	logger := base.With("node", s.Node.Name)
	credentials, watch, err := credentials(r, s, logger)
	if err != nil {
		return fmt.Errorf("load keys: %w", err)
	}
	role.BoundMemory(s.Node)
	running, err := start(role.Process{Settings: s, Credentials: credentials, Logger: logger})
	if err != nil {
		return err
	}
	logger.Info("started")
	watchContext, cancel := context.WithCancel(ctx)
	defer cancel()
	watch(watchContext)
	<-ctx.Done()
	logger.Info("stopping; work in progress ends first")
	return stop(running)
}

// credentials returns the credentials that the process presents to its peers, and a
// function that applies changes of their files until its context ends.
func credentials(r settings.Role, s settings.Settings, logger *slog.Logger) (peer.Credentials, func(context.Context), error) {
	if s.Peer.Trust == settings.TrustNetwork {
		c, err := peer.NetworkCredentials(peer.Identity{Role: string(r), Name: role.MemberName(s)})
		return c, func(context.Context) {}, err
	}
	files, err := peer.LoadFiles(peer.Files{Certificate: s.TLS.Certificate, Key: s.TLS.Key, Authority: s.TLS.Authority})
	if err != nil {
		return nil, nil, err
	}
	return files, func(ctx context.Context) {
		go files.Watch(ctx, 0, logger)
		go reloadOnHangup(ctx, files, logger)
	}, nil
}

// reloadOnHangup reloads the files of the certificate at each SIGHUP, without waiting for
// their next periodic check.
func reloadOnHangup(ctx context.Context, files *peer.FileCredentials, logger *slog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			if err := files.Reload(); err != nil {
				logger.Warn("certificate not taken up", "error", err)
				continue
			}
			logger.Info("certificate taken up", "file", files.Name())
		}
	}
}

// CutError means that a process was stopped before its work in progress had ended.
type CutError struct{ Cause error }

// Error implements error.
func (e *CutError) Error() string {
	return "stopped at once, work in progress was cut: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Cause }

// stop stops a process gracefully, in a context that does not depend on the context of the
// command. A signal during the stop ends the process at once.
func stop(running stoppable) error {
	bounded, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	ctx, restore := signal.NotifyContext(bounded, syscall.SIGINT, syscall.SIGTERM)
	defer restore()
	defer context.AfterFunc(ctx, restore)()
	err := running.Stop(ctx)
	if ctx.Err() != nil && err != nil {
		return &CutError{Cause: err}
	}
	return err
}
