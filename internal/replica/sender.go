package replica

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
)

const (
	// sendQueue bounds the messages that wait for one member; more are
	// dropped, and the next heartbeat finds out.
	sendQueue = 128
	// openWithin bounds the opening of a stream.
	openWithin = 2 * time.Second
	// openAgainFirst and openAgainMost bound the pause after a failed opening.
	openAgainFirst = 20 * time.Millisecond
	openAgainMost  = time.Second
)

// sender carries messages to one member, over one stream that is opened again
// whenever it breaks. Nothing here waits for the member but its own goroutine.
type sender struct {
	replica *Replica
	name    string
	queue   chan outgoing
	started bool

	mu      sync.Mutex
	address string
	// open is the stream in use.
	open peer.Stream
}

// outgoing is a message; a chunk is filled in from the disk when it leaves.
type outgoing struct {
	message    message.Message
	chunkBytes int
}

// sender returns the sender to a member. A member that the log does not know
// is looked up in the settings.
func (r *Replica) sender(to message.Member) *sender {
	s := r.senders[to.Name]
	if s == nil {
		s = &sender{replica: r, name: to.Name, queue: make(chan outgoing, sendQueue)}
		r.senders[to.Name] = s
	}
	address := to.Address
	for _, m := range r.config.Members {
		if address == "" && m.Name == to.Name {
			address = m.Address
		}
	}
	if address == "" && r.config.AddressOf != nil {
		address = r.config.AddressOf(to.Name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = cmp.Or(address, s.address)
	return s
}

// startSenders starts the goroutines of new senders.
func (r *Replica) startSenders(ctx context.Context, group *sync.WaitGroup) {
	for _, s := range r.senders {
		if !s.started {
			s.started = true
			group.Go(func() { s.run(ctx) })
		}
	}
}

func (s *sender) post(o outgoing) {
	select {
	case s.queue <- o:
	default:
	}
}

func (s *sender) target() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

func (s *sender) run(ctx context.Context) {
	var stream peer.Stream
	defer func() { closeStream(stream) }()
	// A Send may block on a member that does not read; it must not outlive the
	// process's stop.
	defer context.AfterFunc(ctx, func() { s.closeOpen() })()
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-s.queue:
			if stream == nil {
				stream = s.dial(ctx)
			}
			if stream == nil || s.send(stream, o) {
				continue
			}
			closeStream(stream)
			stream = nil
		}
	}
}

func closeStream(s peer.Stream) {
	if s != nil {
		_ = s.Close()
	}
}

// dial opens a stream; the pause after each failure grows. It is nil if the
// context ends. What waits is dropped after a failure: a member that is away
// would be sent old entries on its return, and they would fill the memory here
// until then.
func (s *sender) dial(ctx context.Context) peer.Stream {
	pause := openAgainFirst
	for ctx.Err() == nil {
		if address := s.target(); address != "" {
			opening, cancel := context.WithTimeout(ctx, openWithin)
			stream, err := s.replica.config.Dialer.Open(opening, address)
			cancel()
			if err == nil {
				s.setOpen(stream)
				return stream
			}
		}
		s.drop()
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, openAgainMost)
	}
	return nil
}

func (s *sender) drop() {
	for {
		select {
		case <-s.queue:
		default:
			return
		}
	}
}

func (s *sender) setOpen(stream peer.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = stream
}

func (s *sender) closeOpen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	closeStream(s.open)
}

func (s *sender) send(stream peer.Stream, o outgoing) bool {
	select {
	case <-stream.Done():
		return false
	default:
	}
	m := o.message
	if chunk, ok := m.(message.Chunk); ok {
		data, last, err := s.replica.store.ReadSnapshot(chunk.Index, chunk.Offset, o.chunkBytes)
		if err != nil {
			// A newer snapshot has replaced it; the leader begins anew.
			return true
		}
		chunk.Data, chunk.Last = data, last
		m = chunk
	}
	return stream.Send(m) == nil
}
