package role

import (
	"cmp"
	"context"
	"errors"
	"io"
	"log/slog"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/pause"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/internal/quarantine"
)

const (
	// crashCollectors is how many control VMs are told of the end of a server under a
	// request. Each request has its own, the same for all forwarders, and each of them
	// alone hears of all its ends; three, so that two may be lost.
	crashCollectors = 3
	// crashGather is for how long reports are gathered: a server that ends takes some
	// ten requests along, and they are told together.
	crashGather = 10 * time.Millisecond
	// crashWithin bounds one telling, crashTries how often one is tried, and crashAgain
	// is the pause between. All of them take less than the three seconds after which a
	// request that crashes servers must be known everywhere.
	crashWithin = 700 * time.Millisecond
	crashTries  = 3
	crashAgain  = 100 * time.Millisecond
)

// CrashNews tells other processes under which requests servers ended.
//
// Forwarders tell a few control VMs, which count over all forwarders and tell everybody
// once there are several ends. While no control VM is reached, forwarders tell some
// others, which tell on what is new to them.
type CrashNews struct {
	Dialer peer.Dialer
	// Controls are the control VMs that are reached now, Peers some other forwarders.
	Controls, Peers func() []string
	Logger          *slog.Logger

	queue *Mailbox[crashTelling]
}

// crashTelling is what is to be told: to an address, or to whom it concerns if that is
// empty.
type crashTelling struct {
	address string
	reports []message.CrashReport
	tries   int
}

// Prepare makes it ready; it must be called before all else.
func (n *CrashNews) Prepare() { n.queue = NewMailbox[crashTelling]() }

// Tell queues reports for those whom they concern.
func (n *CrashNews) Tell(reports []message.CrashReport) {
	n.queue.Put(crashTelling{reports: reports})
}

// TellOne queues reports for one process that was just found.
func (n *CrashNews) TellOne(address string, reports []message.CrashReport) {
	if len(reports) > 0 {
		n.queue.Put(crashTelling{address: address, reports: reports})
	}
}

// Run tells what is queued until ctx ends.
func (n *CrashNews) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.queue.Wait():
		}
		wait(ctx, crashGather)
		for address, t := range n.addressed(n.queue.Take()) {
			go n.deliver(ctx, address, t)
		}
	}
}

// addressed joins what is told to the same process.
func (n *CrashNews) addressed(list []crashTelling) map[string]crashTelling {
	tellings := map[string]crashTelling{}
	for _, t := range list {
		if t.address != "" {
			tellings[t.address] = tellings[t.address].with(t, t.reports)
			continue
		}
		for _, report := range t.reports {
			for _, address := range n.concerned(report.Content) {
				tellings[address] = tellings[address].with(t, []message.CrashReport{report})
			}
		}
	}
	return tellings
}

func (t crashTelling) with(other crashTelling, reports []message.CrashReport) crashTelling {
	t.tries = max(t.tries, other.tries)
	for _, report := range reports {
		// A report whose telling failed at several processes comes back from each.
		if !slices.ContainsFunc(t.reports, report.Same) {
			t.reports = append(t.reports, report)
		}
	}
	return t
}

// concerned is whom the end of a server under a request is told.
func (n *CrashNews) concerned(content uint64) []string {
	controls := n.Controls()
	if len(controls) == 0 {
		return n.Peers()
	}
	return nearest(quarantine.Content(content).String(), controls, crashCollectors)
}

// nearest are the members that come first for a key by rendezvous hashing.
func nearest(key string, members []string, count int) []string {
	members = slices.SortedFunc(slices.Values(members), func(a, b string) int {
		return cmp.Compare(policy.Rendezvous(key, a), policy.Rendezvous(key, b))
	})
	return members[:min(count, len(members))]
}

// deliver tells one process, and has whoever is reached next told if that fails.
func (n *CrashNews) deliver(background context.Context, address string, t crashTelling) {
	ctx, cancel := context.WithTimeout(background, crashWithin)
	defer cancel()
	err := n.tell(ctx, address, t.reports)
	if err == nil {
		return
	}
	n.Logger.Info("crash reports not delivered", "to", address, "reports", len(t.reports), "tries", t.tries+1, "error", err)
	if t.tries++; t.tries < crashTries && pause.For(background, crashAgain) {
		n.queue.Put(crashTelling{reports: t.reports, tries: t.tries})
	}
}

// tell sends reports; they were taken in once the peer has closed the session.
func (n *CrashNews) tell(ctx context.Context, address string, reports []message.CrashReport) error {
	s, err := n.Dialer.Open(ctx, address)
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

// takeCrashReports is the peer.Handler that takes in what a forwarder tells.
func takeCrashReports(store *quarantine.Store) peer.Handler {
	return func(_ context.Context, s peer.Stream) {
		m, err := s.Receive()
		if told, ok := m.(message.CrashReports); err == nil && ok {
			store.Heard(told.Reports, true)
		}
	}
}
