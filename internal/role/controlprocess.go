package role

import (
	"context"
	"errors"
	"fmt"
	"time"

	controlpeer "github.com/oriolebend/oriolebend/internal/control"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer/control"
	"github.com/oriolebend/oriolebend/internal/reducer/record"
	"github.com/oriolebend/oriolebend/internal/replica"
	"github.com/oriolebend/oriolebend/internal/settings"
)

// expireEvery is how often ended membership leases are looked for.
const expireEvery = 500 * time.Millisecond

// ControlProcess is a running control VM's process with its ports.
type ControlProcess struct {
	process    Process
	endpoint   *peer.Endpoint
	replica    *replica.Replica
	records    *controlpeer.Server
	membership *Membership
	cancel     context.CancelFunc
	done       chan error
}

// StartControl starts a control VM's process; Stop ends it.
func StartControl(p Process) (*ControlProcess, error) {
	process := &ControlProcess{process: p, membership: NewMembership(), done: make(chan error, 1)}
	ready := make(chan struct{})
	endpoint, err := p.listen(process.handlers(ready))
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	process.endpoint = endpoint
	if err := process.build(); err != nil {
		return nil, errors.Join(err, endpoint.Close())
	}
	close(ready)
	ctx, cancel := context.WithCancel(context.Background())
	process.cancel = cancel
	go process.records.Run(ctx)
	go process.expire(ctx)
	go func() { process.done <- process.replica.Run(ctx) }()
	return process, nil
}

// handlers serves peers once the process is built.
func (c *ControlProcess) handlers(ready <-chan struct{}) map[message.Kind]peer.Handler {
	records := func(ctx context.Context, s peer.Stream) { <-ready; c.records.Serve(ctx, s) }
	return map[message.Kind]peer.Handler{
		message.KindClaim:    records,
		message.KindSettle:   records,
		message.KindQuery:    records,
		message.KindRenew:    records,
		message.KindAnnounce: c.membership.ServeAnnounce,
		message.KindWatch:    c.membership.ServeWatch,
	}
}

// build joins the log with the machines that it feeds.
func (c *ControlProcess) build() error {
	records := controlpeer.NewRecords()
	log, err := replica.New(replica.Config{
		Name:       c.process.Settings.Node.Name,
		Members:    members(c.process.Settings.Control.Members),
		DataFolder: c.process.Settings.Control.DataFolder,
		Dialer:     c.endpoint,
		Machine:    control.NewMux(map[control.PartName]control.Machine{control.PartRecords: records}),
		Logger:     c.process.Logger,
	})
	if err != nil {
		return fmt.Errorf("open the data folder: %w", err)
	}
	c.replica = log
	c.records = controlpeer.NewServer(controlpeer.ServerConfig{
		Self:    c.process.Settings.Node.Name,
		Log:     control.PartLog{Log: log, Part: control.PartRecords},
		Records: records,
		Limits:  recordLimits(c.process.Settings.Policy),
	})
	return nil
}

func (c *ControlProcess) expire(ctx context.Context) {
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case at := <-ticker.C:
			c.membership.Expire(at)
		}
	}
}

// Address is where peers reach the process.
func (c *ControlProcess) Address() string { return c.endpoint.Address() }

// Stop hands leadership over and ends the process.
func (c *ControlProcess) Stop(ctx context.Context) error {
	c.cancel()
	var ended error
	select {
	case ended = <-c.done:
	case <-ctx.Done():
		ended = ctx.Err()
	}
	return errors.Join(ended, closeEndpoint(c.endpoint))
}

func members(list []settings.Member) []message.Member {
	var members []message.Member
	for _, m := range list {
		members = append(members, message.Member{Name: m.Name, Address: m.Address, FailureDomain: m.FailureDomain, Voter: true})
	}
	return members
}

func recordLimits(p settings.Policy) record.Limits {
	return record.Limits{
		KeepRecords: time.Duration(p.KeepRecords),
		KeepAnswers: time.Duration(p.KeepAnswers),
	}
}
