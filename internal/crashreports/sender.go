// Package crashreports sends the reports of requests under which servers crashed from a forwarder to
// control VMs, relays and other forwarders, and receives them there. A control VM saves them in its
// data folder, so that they survive a restart.
package crashreports

import (
	"cmp"
	"context"
	"errors"
	"io"
	"log/slog"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/mailbox"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/pause"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/internal/quarantine"
)

const (
	// collectors is the number of control VMs that receive the reports of one request. The
	// fingerprint selects them, so that all forwarders select the same ones and each of them
	// receives all reports of the request. There are three, so that two may be lost.
	collectors = 3
	// batchDelay is for how long reports are collected before they are sent: about ten requests
	// are lost with a server, and their reports are sent together.
	batchDelay = 10 * time.Millisecond
	// deliveryTimeout bounds one delivery, maxDeliveries the number of attempts, and
	// redeliveryDelay is the pause between them. All attempts together take less than the three
	// seconds after which a request that crashes servers must be known everywhere.
	deliveryTimeout = 700 * time.Millisecond
	maxDeliveries   = 3
	redeliveryDelay = 100 * time.Millisecond
)

// Sender sends crash reports to other processes.
//
// Forwarders send reports to a few control VMs, which count over all forwarders and send the
// reports of a request to all forwarders once there are several crashes. While no control VM is
// connected, forwarders send reports to some other forwarders, which send on the reports that are
// new to them.
type Sender struct {
	Dialer peer.Dialer
	// Controls returns the connected control VMs, Peers some other forwarders.
	Controls, Peers func() []string
	Logger          *slog.Logger

	queue *mailbox.Mailbox[delivery]
}

// delivery holds reports to send: to an address, or to the receivers of each report if the address
// is empty.
type delivery struct {
	address  string
	reports  []message.CrashReport
	attempts int
	// queued is when the ages of the reports were right.
	queued time.Time
}

// Prepare initialises the sender; it must be called before any other method.
func (s *Sender) Prepare() { s.queue = mailbox.New[delivery]() }

// Send queues reports for their receivers.
func (s *Sender) Send(reports []message.CrashReport) {
	s.queue.Put(delivery{reports: reports, queued: time.Now()})
}

// SendTo queues reports for one process that was just discovered.
func (s *Sender) SendTo(address string, reports []message.CrashReport) {
	if len(reports) > 0 {
		s.queue.Put(delivery{address: address, reports: reports, queued: time.Now()})
	}
}

// Run sends the queued reports until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.queue.Wait():
		}
		pause.For(ctx, batchDelay)
		for address, d := range s.byAddress(s.queue.Take()) {
			go s.deliver(ctx, address, d)
		}
	}
}

// byAddress merges the deliveries to the same process.
func (s *Sender) byAddress(list []delivery) map[string]delivery {
	all := map[string]delivery{}
	now := time.Now()
	for _, d := range list {
		d = d.older(now)
		if d.address != "" {
			all[d.address] = all[d.address].merge(d, d.reports...)
			continue
		}
		for _, report := range d.reports {
			for _, address := range s.receivers(report.Fingerprint) {
				all[address] = all[address].merge(d, report)
			}
		}
	}
	return all
}

// older returns the delivery as it is at a later time.
func (d delivery) older(at time.Time) delivery {
	by := at.Sub(d.queued)
	d.queued = at
	d.reports = slices.Clone(d.reports)
	for i := range d.reports {
		d.reports[i] = d.reports[i].Older(by)
	}
	return d
}

// merge adds reports of another delivery. Of two reports of one crash the one with the later answer
// is kept: a report whose delivery to several processes failed is queued once for each of them. What
// either knows of the failure domain is kept in any case.
func (d delivery) merge(other delivery, reports ...message.CrashReport) delivery {
	d.attempts, d.queued = max(d.attempts, other.attempts), other.queued
	for _, report := range reports {
		at := slices.IndexFunc(d.reports, report.SameCrash)
		switch {
		case at < 0:
			d.reports = append(d.reports, report)
		case report.AnsweredAge > 0 && (d.reports[at].AnsweredAge == 0 || report.AnsweredAge < d.reports[at].AnsweredAge),
			len(report.Requests) > len(d.reports[at].Requests):
			report.DomainServes = report.DomainServes || d.reports[at].DomainServes
			d.reports[at] = report
		case report.DomainServes:
			d.reports[at].DomainServes = true
		}
	}
	return d
}

// receivers returns the addresses to which the reports of a request are sent.
func (s *Sender) receivers(fingerprint uint64) []string {
	controls := s.Controls()
	if len(controls) == 0 {
		return s.Peers()
	}
	return policy.Nearest(quarantine.Fingerprint(fingerprint).String(), controls, collectors)
}

// deliver sends reports to one process. If that fails, it queues them again for the receivers that
// are connected then.
func (s *Sender) deliver(ctx context.Context, address string, d delivery) {
	err := s.transmit(ctx, address, d)
	if err == nil {
		return
	}
	d.attempts++
	s.Logger.Info("crash reports not delivered", "to", address, "reports", len(d.reports), "tries", d.attempts, "error", err)
	if d.attempts < maxDeliveries && pause.For(ctx, redeliveryDelay) {
		s.queue.Put(delivery{reports: d.reports, attempts: d.attempts, queued: d.queued})
	}
}

// transmit sends reports over a new session. The peer closes the session once it has applied them.
func (s *Sender) transmit(ctx context.Context, address string, d delivery) error {
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	session, err := s.Dialer.Open(ctx, address)
	if err != nil {
		return err
	}
	defer session.Close()
	defer context.AfterFunc(ctx, func() { _ = session.Close() })()
	if err := session.Send(message.CrashReports{Reports: d.older(time.Now()).reports}); err != nil {
		return err
	}
	if _, err = session.Receive(); errors.Is(err, io.EOF) && ctx.Err() == nil {
		return nil
	}
	return cmp.Or(ctx.Err(), err, io.ErrNoProgress)
}

// Serve returns the peer.Handler that receives crash reports and adds them to a store.
func Serve(store *quarantine.Store) peer.Handler {
	return func(_ context.Context, session peer.Stream) {
		m, err := session.Receive()
		if received, ok := m.(message.CrashReports); err == nil && ok {
			store.ApplyReports(received.Reports, true)
		}
	}
}
