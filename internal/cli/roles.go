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
	return roleCommand(errOut, settings.RoleControl, "store declared state and request records on a control VM", startControl)
}

// startControl starts a control VM, which is a relay if it is found through seeds and has no disk.
func startControl(p role.Process) (stoppable, error) {
	if p.Settings.Control.DataFolder == "" && len(p.Settings.Control.Seeds) > 0 {
		return role.StartRelay(p)
	}
	return role.StartControl(p)
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
			load := func() (settings.Settings, error) { return overrides.Load(r) }
			s, err := load()
			if err != nil {
				return err
			}
			return runRole(ctx, errOut, r, s, load, start)
		},
	}
}

// runRole runs one role until ctx ends. load reads the settings again, at each SIGHUP.
func runRole(ctx context.Context, errOut io.Writer, r settings.Role, s settings.Settings, load func() (settings.Settings, error), start func(role.Process) (stoppable, error)) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // a signal while the process starts would end it
	defer signal.Stop(hangups)
	base, err := logging.New(s.Log, errOut)
	if err != nil {
		return err
	}
	logger := base.With("node", s.Node.Name)
	credentials, files, err := credentials(r, s)
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
	if files != nil {
		go files.Watch(watchContext, 0, logger)
	}
	go reloadOnHangup(watchContext, hangups, logger, func() { reload(files, running, load, logger) })
	<-ctx.Done()
	logger.Info("stopping; work in progress ends first")
	return stop(running)
}

// credentials returns the credentials that the process presents to its peers, and their files if they
// are read from files.
func credentials(r settings.Role, s settings.Settings) (peer.Credentials, *peer.FileCredentials, error) {
	if s.Peer.Trust == settings.TrustNetwork {
		c, err := peer.NetworkCredentials(peer.Identity{Role: string(r), Name: role.MemberName(s)})
		return c, nil, err
	}
	files, err := peer.LoadFiles(peer.Files{Certificate: s.TLS.Certificate, Key: s.TLS.Key, Authority: s.TLS.Authority})
	if err != nil {
		return nil, nil, err
	}
	return files, files, nil
}

// reloadOnHangup calls reload at each SIGHUP until ctx ends.
func reloadOnHangup(ctx context.Context, hangups <-chan os.Signal, logger *slog.Logger, reload func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			logger.Info("reload requested")
			reload()
		}
	}
}

// reloadable is a process that applies changed settings while it runs.
type reloadable interface {
	Reload(s settings.Settings)
}

// reload reads the files of the certificate again, without waiting for their next periodic check, and the
// settings. What can't be read changes nothing.
func reload(files *peer.FileCredentials, running stoppable, load func() (settings.Settings, error), logger *slog.Logger) {
	if files != nil {
		if err := files.Reload(); err != nil {
			logger.Warn("certificate not taken up", "error", err)
		} else {
			logger.Info("certificate taken up", "file", files.Name())
		}
	}
	process, ok := running.(reloadable)
	if !ok {
		return
	}
	s, err := load()
	if err != nil {
		logger.Warn("can't reload settings", "error", err)
		return
	}
	process.Reload(s)
	logger.Info("settings taken up", "seeds", len(s.Control.Seeds))
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
