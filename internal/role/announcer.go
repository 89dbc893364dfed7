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
	// reconnectLeast and reconnectMost bound the random wait before a sidecar
	// tries the next control VM.
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = 300 * time.Millisecond
	// reconnectLongest bounds the growth of that wait.
	reconnectDelayLimit = 5 * time.Second
	// announceEvery renews the membership lease several times within it.
	announceInterval = 1500 * time.Millisecond
	// answerWithin bounds the leader's answer to an announcement or permit.
	answerTimeout = 2 * time.Second
)

// Announcer keeps the leading control VM told of one backend server, and
// carries its sidecar's questions for permits.
type Announcer struct {
	Dialer  peer.Dialer
	Control []string
	Logger  *slog.Logger

	// Clean is called when the leader knows that no order of an earlier start
	// of the sidecar can be on its way; it may be nil.
	Clean func()

	changed chan struct{}
	permits *mailbox.Mailbox[permitRequest]

	mu       sync.Mutex
	announce *message.Announce
}

// permitQuestion is a permit that is asked for; answered gets the answer, or
// nil if none came.
type permitRequest struct {
	permit   message.Permit
	answered func(*message.Permitted)
}

// Prepare makes the announcer ready; it must be called before all else.
func (a *Announcer) Prepare() {
	a.changed = make(chan struct{}, 1)
	a.permits = mailbox.New[permitRequest]()
}

// Server has the server's state told at once and renewed from then on.
func (a *Announcer) SetServer(s oriolebend.Server) {
	a.update(func(m *message.Announce) { m.Server = s }, true)
}

// Reached has the revision in force told with the next announcement.
func (a *Announcer) SetReached(revision uint64) {
	a.update(func(m *message.Announce) { m.Reached = revision }, false)
}

// Progress has told at once how far the server is with what is declared.
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

// Ask asks the leader for a permit; answered gets its answer, or nil.
func (a *Announcer) RequestPermit(p message.Permit, answered func(*message.Permitted)) {
	a.permits.Put(permitRequest{permit: p, answered: answered})
}

// Run announces until ctx ends, going from one control VM to the next until it
// finds the leader.
func (a *Announcer) Run(ctx context.Context) {
	unheard := 0
	for next := rand.IntN(len(a.Control)); ctx.Err() == nil; next++ {
		address := a.Control[next%len(a.Control)]
		heard, err := a.announceTo(ctx, address)
		if err != nil && ctx.Err() == nil {
			a.Logger.Debug("a control VM does not take announcements", "address", address, "error", err)
		}
		unheard++
		if heard {
			unheard = 0
		}
		for _, q := range a.permits.Take() {
			q.answered(nil)
		}
		wait(ctx, a.retryDelay(unheard))
	}
}

// pause is the wait before the next control VM is tried, after so many in a row
// that took no announcement. One round of all is made quickly, to find a new
// leader; then the wait doubles. Without that a sidecar that is refused, for
// its certificate say, costs the control VMs a handshake several times a
// second for as long as it lives.
func (a *Announcer) retryDelay(unheard int) time.Duration {
	least, most := minReconnectDelay, maxReconnectDelay
	for round := unheard / len(a.Control); round > 1 && most < reconnectDelayLimit; round-- {
		least, most = 2*least, 2*most
	}
	return least + rand.N(most-least)
}

// serve announces to one control VM for as long as it leads; heard is true if
// it took an announcement as the leader.
func (a *Announcer) announceTo(ctx context.Context, address string) (heard bool, err error) {
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
			return heard, err
		}
		heard = true
		if err := a.requestPermits(s); err != nil {
			return heard, err
		}
		select {
		case <-ctx.Done():
			return heard, ctx.Err()
		case <-a.changed:
		case <-a.permits.Wait():
		case <-ticker.C:
		}
	}
}

// renew sends the announcement; it is false if the control VM does not lead.
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

func (a *Announcer) requestPermits(s peer.Stream) error {
	questions := a.permits.Take()
	for i, q := range questions {
		answer, err := exchange[message.Permitted](s, q.permit)
		if err != nil {
			for _, unanswered := range questions[i:] {
				unanswered.answered(nil)
			}
			return err
		}
		q.answered(&answer)
	}
	return nil
}

// UnexpectedError is a message that does not answer what was asked.
type UnexpectedError struct{ Kind message.Kind }

// Error implements error.
func (e *UnexpectedError) Error() string { return "unexpected message " + string(e.Kind) }

// exchange sends a message and waits for its answer; a peer that does not
// answer in time has its session closed.
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
