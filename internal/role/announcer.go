package role

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/mailbox"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// minReconnectDelay and maxReconnectDelay bound the random delay before
	// a sidecar tries the next control VM.
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = 300 * time.Millisecond
	// reconnectDelayLimit bounds the growth of that delay.
	reconnectDelayLimit = 5 * time.Second
	// announceInterval is shorter than the membership lease, so that the lease is
	// renewed several times before it expires.
	announceInterval = 1500 * time.Millisecond
	// answerTimeout bounds the leader's answer to an announcement or permit.
	answerTimeout = 2 * time.Second
)

// Announcer announces one backend server to the leading control VM and sends it
// the sidecar's requests for permits.
type Announcer struct {
	Dialer  peer.Dialer
	Control []string
	Logger  *slog.Logger

	// Clean is called when the leader knows that no order of an earlier
	// incarnation of the sidecar can still be in flight; it may be nil.
	Clean func()

	changed chan struct{}
	permits *mailbox.Mailbox[permitRequest]

	mu       sync.Mutex
	announce *message.Announce
}

// permitRequest is a request for a permit. answered is called with the answer, or
// with nil if there is none.
type permitRequest struct {
	permit   message.Permit
	answered func(*message.Permitted)
}

// Prepare initializes the Announcer; it must be called before any other method.
func (a *Announcer) Prepare() {
	a.changed = make(chan struct{}, 1)
	a.permits = mailbox.New[permitRequest]()
}

// SetServer announces the server's state immediately and renews it from then on.
func (a *Announcer) SetServer(s oriolebend.Server) {
	a.update(func(m *message.Announce) { m.Server = s }, true)
}

// SetReached sets the revision in force, which the next announcement reports.
func (a *Announcer) SetReached(revision uint64) {
	a.update(func(m *message.Announce) { m.Reached = revision }, false)
}

// SetProgress announces immediately how far the server has applied its declared
// state.
func (a *Announcer) SetProgress(p message.Progress, detail string) {
	a.update(func(m *message.Announce) { m.Progress, m.Detail = p, detail }, true)
}

func (a *Announcer) update(change func(*message.Announce), atOnce bool) {
	a.mu.Lock()
	next := message.Announce{}
	if a.announce != nil {
		next = *a.announce
	}
	change(&next)
	a.announce = &next
	a.mu.Unlock()
	if !atOnce {
		return
	}
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// RequestPermit requests a permit from the leader; answered is called with its
// answer, or with nil if there is none.
func (a *Announcer) RequestPermit(p message.Permit, answered func(*message.Permitted)) {
	a.permits.Put(permitRequest{permit: p, answered: answered})
}

// Run announces the server until ctx ends. It tries one control VM after the other
// until it finds the leader.
func (a *Announcer) Run(ctx context.Context) {
	failures := 0
	for next := rand.IntN(len(a.Control)); ctx.Err() == nil; next++ {
		address := a.Control[next%len(a.Control)]
		accepted, err := a.announceTo(ctx, address)
		if err != nil && ctx.Err() == nil {
			a.Logger.Debug("control VM accepts no announcements", "address", address, "error", err)
		}
		failures++
		if accepted {
			failures = 0
		}
		for _, r := range a.permits.Take() {
			r.answered(nil)
		}
		wait(ctx, a.retryDelay(failures))
	}
}

// retryDelay returns the delay before the next control VM is tried, after a number
// of control VMs in a row that accepted no announcement. The first round over all
// control VMs has a short delay, to find a new leader quickly; then the delay
// doubles with each round. Without this backoff a sidecar that is refused, for
// example for its certificate, would cost the control VMs a handshake several
// times a second for as long as it runs.
func (a *Announcer) retryDelay(failures int) time.Duration {
	least, most := minReconnectDelay, maxReconnectDelay
	for round := failures / len(a.Control); round > 1 && most < reconnectDelayLimit; round-- {
		least, most = 2*least, 2*most
	}
	return least + rand.N(most-least)
}

// announceTo announces the server to one control VM for as long as that VM leads.
// accepted is true if the VM accepted an announcement as the leader.
func (a *Announcer) announceTo(ctx context.Context, address string) (accepted bool, err error) {
	opening, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	s, err := a.Dialer.Open(opening, address)
	if err != nil {
		return false, err
	}
	defer s.Close()
	defer context.AfterFunc(ctx, func() { s.Close() })()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if leads, err := a.sendAnnouncement(s); err != nil || !leads {
			return accepted, err
		}
		accepted = true
		if err := a.requestPermits(s); err != nil {
			return accepted, err
		}
		select {
		case <-ctx.Done():
			return accepted, ctx.Err()
		case <-a.changed:
		case <-a.permits.Wait():
		case <-ticker.C:
		}
	}
}

// sendAnnouncement sends the announcement. It reports false if the control VM does
// not lead.
func (a *Announcer) sendAnnouncement(s peer.Stream) (bool, error) {
	a.mu.Lock()
	announce := a.announce
	a.mu.Unlock()
	if announce == nil || announce.Server.Name == "" {
		return true, nil
	}
	answer, err := exchange[message.Announced](s, *announce)
	if err != nil {
		return false, err
	}
	if answer.Incarnation >= announce.Server.Incarnation && answer.Incarnation != 0 {
		a.update(func(m *message.Announce) { m.Server.Incarnation = answer.Incarnation + 1 }, true)
		return true, nil
	}
	if answer.Clean && a.Clean != nil {
		a.Clean()
	}
	return answer.LeaseFor > 0, nil
}

// requestPermits sends the queued requests for permits and passes on the answers.
func (a *Announcer) requestPermits(s peer.Stream) error {
	requests := a.permits.Take()
	for i, r := range requests {
		answer, err := exchange[message.Permitted](s, r.permit)
		if err != nil {
			for _, unanswered := range requests[i:] {
				unanswered.answered(nil)
			}
			return err
		}
		r.answered(&answer)
	}
	return nil
}

// UnexpectedError reports a message that is no answer to the request.
type UnexpectedError struct{ Kind message.Kind }

// Error implements error.
func (e *UnexpectedError) Error() string { return "unexpected message " + string(e.Kind) }

// exchange sends a message and waits for its answer. The session is closed if the
// peer does not answer in time.
func exchange[Answer message.Message](s peer.Stream, m message.Message) (Answer, error) {
	var none Answer
	if err := s.Send(m); err != nil {
		return none, err
	}
	timer := time.AfterFunc(answerTimeout, func() { s.Close() })
	defer timer.Stop()
	received, err := s.Receive()
	if err != nil {
		return none, err
	}
	answer, ok := received.(Answer)
	if !ok {
		return none, &UnexpectedError{Kind: received.Kind()}
	}
	return answer, nil
}
