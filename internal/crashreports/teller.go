// Package crashreports carries what is known of requests under which servers ended: from
// process to process, and over restarts.
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
	// collectors is how many control VMs are told of the end of a server under a request.
	// Each request has its own, the same for all forwarders, and each of them alone hears
	// of all its ends; three, so that two may be lost.
	collectors = 3
	// gather is for how long reports are gathered: a server that ends takes some ten
	// requests along, and they are told together.
	gather = 10 * time.Millisecond
	// deliverWithin bounds one delivery, deliverTries how often one is tried, and
	// deliverAgain is the pause between. All of them take less than the three seconds
	// after which a request that crashes servers must be known everywhere.
	deliverWithin = 700 * time.Millisecond
	deliverTries  = 3
	deliverAgain  = 100 * time.Millisecond
)

// Sender tells other processes under which requests servers ended.
//
// Forwarders tell a few control VMs, which count over all forwarders and tell everybody
// once there are several ends. While no control VM is reached, forwarders tell some
// others, which tell on what is new to them.
type Sender struct {
	Dialer peer.Dialer
	// Controls are the control VMs that are reached now, Peers some other forwarders.
	Controls, Peers func() []string
	Logger          *slog.Logger

	queue *mailbox.Mailbox[news]
}

// news is what is to be told: to an address, or to whom it concerns if that is empty.
type news struct {
	address string
	reports []message.CrashReport
	tries   int
}

// Prepare makes the teller ready; it must be called before all else.
func (t *Sender) Prepare() { t.queue = mailbox.New[news]() }

// Send queues reports for those whom they concern.
func (t *Sender) Send(reports []message.CrashReport) {
	t.queue.Put(news{reports: reports})
}

// SendTo queues reports for one process that was just found.
func (t *Sender) SendTo(address string, reports []message.CrashReport) {
	if len(reports) > 0 {
		t.queue.Put(news{address: address, reports: reports})
	}
}

// Run tells what is queued until ctx ends.
func (t *Sender) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.queue.Wait():
		}
		pause.For(ctx, gather)
		for address, n := range t.addressed(t.queue.Take()) {
			go t.deliver(ctx, address, n)
		}
	}
}

// addressed joins what is told to the same process.
func (t *Sender) addressed(list []news) map[string]news {
	all := map[string]news{}
	for _, n := range list {
		if n.address != "" {
			all[n.address] = all[n.address].with(n, n.reports...)
			continue
		}
		for _, report := range n.reports {
			for _, address := range t.concerned(report.Fingerprint) {
				all[address] = all[address].with(n, report)
			}
		}
	}
	return all
}

// with adds reports of other news. A report whose delivery failed at several processes
// comes back from each.
func (n news) with(other news, reports ...message.CrashReport) news {
	n.tries = max(n.tries, other.tries)
	for _, report := range reports {
		if !slices.ContainsFunc(n.reports, report.Same) {
			n.reports = append(n.reports, report)
		}
	}
	return n
}

// concerned is who is told of the end of a server under a request.
func (t *Sender) concerned(fingerprint uint64) []string {
	controls := t.Controls()
	if len(controls) == 0 {
		return t.Peers()
	}
	return policy.Nearest(quarantine.Fingerprint(fingerprint).String(), controls, collectors)
}

// deliver tells one process. If that fails, whoever is reached then is told.
func (t *Sender) deliver(ctx context.Context, address string, n news) {
	err := t.sendTo(ctx, address, n.reports)
	if err == nil {
		return
	}
	n.tries++
	t.Logger.Info("crash reports not delivered", "to", address, "reports", len(n.reports), "tries", n.tries, "error", err)
	if n.tries < deliverTries && pause.For(ctx, deliverAgain) {
		t.queue.Put(news{reports: n.reports, tries: n.tries})
	}
}

// sendTo sends reports; they were taken in once the peer has closed the session.
func (t *Sender) sendTo(ctx context.Context, address string, reports []message.CrashReport) error {
	ctx, cancel := context.WithTimeout(ctx, deliverWithin)
	defer cancel()
	s, err := t.Dialer.Open(ctx, address)
	if err != nil {
		return err
	}
	defer s.Close()
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	if err := s.Send(message.CrashReports{Reports: reports}); err != nil {
		return err
	}
	if _, err = s.Receive(); errors.Is(err, io.EOF) && ctx.Err() == nil {
		return nil
	}
	return cmp.Or(ctx.Err(), err, io.ErrNoProgress)
}

// Serve returns the peer.Handler that takes in what a forwarder tells.
func Serve(store *quarantine.Store) peer.Handler {
	return func(_ context.Context, s peer.Stream) {
		m, err := s.Receive()
		if told, ok := m.(message.CrashReports); err == nil && ok {
			store.ApplyReports(told.Reports, true)
		}
	}
}
