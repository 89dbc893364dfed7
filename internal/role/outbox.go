package role

import (
	"github.com/oriolebend/oriolebend/internal/mailbox"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
)

// outbox sends messages over one stream in the order in which they were put,
// without holding up who puts them.
type outbox struct {
	stream peer.Stream
	queue  *mailbox.Mailbox[message.Message]
}

func newOutbox(s peer.Stream) *outbox {
	return &outbox{stream: s, queue: mailbox.New[message.Message]()}
}

// put queues a message.
func (o *outbox) put(m message.Message) {
	o.queue.Put(m)
}

// end closes the stream after the messages queued so far.
func (o *outbox) end() {
	o.queue.Put(nil)
}

// write sends what is queued until the stream ends.
func (o *outbox) write() {
	for {
		select {
		case <-o.stream.Done():
			return
		case <-o.queue.Wait():
		}
		for _, m := range o.queue.Take() {
			if m == nil || o.stream.Send(m) != nil {
				o.stream.Close()
				return
			}
		}
	}
}
