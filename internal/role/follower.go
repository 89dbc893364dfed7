package role

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// reconnectLeast and reconnectMost bound the random wait before a process
	// tries the next control VM.
	reconnectLeast = 100 * time.Millisecond
	reconnectMost  = 500 * time.Millisecond
	// announceEvery renews the membership lease three times within it.
	announceEvery = memberLease / 3
)

// Follower keeps a process up to date from the control VMs.
type Follower struct {
	Node    string
	Dialer  peer.Dialer
	Control []string
	Apply   func(message.Update)
	Logger  *slog.Logger

	revision uint64
}

// Run follows until ctx ends, one control VM after another.
func (f *Follower) Run(ctx context.Context) {
	for next := 0; ctx.Err() == nil; next++ {
		address := f.Control[next%len(f.Control)]
		if err := f.follow(ctx, address); err != nil && ctx.Err() == nil {
			f.Logger.Debug("a control VM is not followed any longer", "address", address, "error", err)
		}
		pause(ctx)
	}
}

func (f *Follower) follow(ctx context.Context, address string) error {
	s, err := f.Dialer.Open(ctx, address)
	if err != nil {
		return err
	}
	defer s.Close()
	defer context.AfterFunc(ctx, func() { s.Close() })()
	if err := s.Send(message.Watch{Node: f.Node, From: f.revision}); err != nil {
		return err
	}
	for {
		m, err := s.Receive()
		if err != nil {
			return err
		}
		update, ok := m.(message.Update)
		if !ok || update.Revision < f.revision {
			continue
		}
		f.revision = update.Revision
		f.Apply(update)
	}
}

// Announcer keeps the control VMs told of one backend server.
type Announcer struct {
	Dialer  peer.Dialer
	Control []string
	Logger  *slog.Logger

	servers *Mailbox[oriolebend.Server]
}

// Prepare makes the announcer ready for Announce; it must be called before
// Run.
func (a *Announcer) Prepare() {
	a.servers = NewMailbox[oriolebend.Server]()
}

// Announce sends the server's state at once and renews it from then on.
func (a *Announcer) Announce(s oriolebend.Server) {
	a.servers.Put(s)
}

// Run announces until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	var last *oriolebend.Server
	for next := 0; ctx.Err() == nil; next++ {
		address := a.Control[next%len(a.Control)]
		if err := a.announce(ctx, address, &last); err != nil && ctx.Err() == nil {
			a.Logger.Debug("a control VM does not take announcements", "address", address, "error", err)
		}
		pause(ctx)
	}
}

func (a *Announcer) announce(ctx context.Context, address string, last **oriolebend.Server) error {
	s, err := a.Dialer.Open(ctx, address)
	if err != nil {
		return err
	}
	defer s.Close()
	defer context.AfterFunc(ctx, func() { s.Close() })()
	ticker := time.NewTicker(announceEvery)
	defer ticker.Stop()
	for {
		for _, server := range a.servers.Take() {
			*last = &server
		}
		if *last != nil {
			if err := s.Send(message.Announce{Server: **last}); err != nil {
				return err
			}
			if _, err := s.Receive(); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.servers.Wait():
		case <-ticker.C:
		}
	}
}

// pause waits a random while, so that the processes that lost one control VM
// do not all turn to the next at one instant.
func pause(ctx context.Context) {
	wait := reconnectLeast + rand.N(reconnectMost-reconnectLeast)
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
