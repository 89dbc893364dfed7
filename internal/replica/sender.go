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
	// sendQueue bounds the messages queued for one member; further ones are dropped, and the answer
	// to the next heartbeat shows what the member lacks.
	sendQueue = 128
	// openTimeout is the timeout for opening a stream.
	openTimeout = 2 * time.Second
	// minOpenDelay and maxOpenDelay bound the delay after a failed attempt to open a stream.
	minOpenDelay = 20 * time.Millisecond
	maxOpenDelay = time.Second
)

// sender sends messages to one member over one stream, which is reopened whenever it breaks. Only
// its own goroutine ever waits for the member.
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

// outgoing is a message; the data of a chunk is read from the disk when the chunk is sent.
type outgoing struct {
	message    message.Message
	chunkBytes int
}

// sender returns the sender to a member. The address of a member that the log does not know is
// taken from the settings.
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

func (s *sender) currentAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

func (s *sender) run(ctx context.Context) {
	var stream peer.Stream
	defer func() { closeStream(stream) }()
	// A Send may block on a member that does not read; it must not outlast the stop of this
	// process.
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

// dial opens a stream; the delay after each failure grows. It returns nil if the context ends.
// Queued messages are dropped after a failure: an unreachable member would be sent old entries on
// its return, and they would fill the memory here until then.
func (s *sender) dial(ctx context.Context) peer.Stream {
	delay := minOpenDelay
	for ctx.Err() == nil {
		if address := s.currentAddress(); address != "" {
			opening, cancel := context.WithTimeout(ctx, openTimeout)
			stream, err := s.replica.config.Dialer.Open(opening, address)
			cancel()
			if err == nil {
				s.setOpen(stream)
				return stream
			}
		}
		s.dropQueued()
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, maxOpenDelay)
	}
	return nil
}

func (s *sender) dropQueued() {
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
			// A newer snapshot has replaced it; the leader starts again with that one.
			return true
		}
		chunk.Data, chunk.Last = data, last
		m = chunk
	}
	return stream.Send(m) == nil
}
