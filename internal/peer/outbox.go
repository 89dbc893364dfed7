package peer

import (
	"github.com/oriolebend/oriolebend/internal/mailbox"
	"github.com/oriolebend/oriolebend/internal/message"
)

// Outbox sends messages over one stream in the order in which they were put. Put
// never blocks.
type Outbox struct {
	Stream Stream
	// Queue may outlast the stream; messages left in it are sent over the next one.
	Queue *mailbox.Mailbox[message.Message]
}

// NewOutbox returns an outbox for a stream; Write sends the queued messages.
func NewOutbox(s Stream) *Outbox {
	return &Outbox{Stream: s, Queue: mailbox.New[message.Message]()}
}

// Put queues a message.
func (o *Outbox) Put(m message.Message) {
	o.Queue.Put(m)
}

// End closes the stream after the messages queued so far.
func (o *Outbox) End() {
	o.Queue.Put(nil)
}

// Write sends queued messages until the stream ends.
func (o *Outbox) Write() {
	for {
		select {
		case <-o.Stream.Done():
			return
		case <-o.Queue.Wait():
		}
		for _, m := range o.Queue.Take() {
			if m == nil || o.Stream.Send(m) != nil {
				o.Stream.Close()
				return
			}
		}
	}
}
