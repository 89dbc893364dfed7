package forwarder

import (
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/heldbytes"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// crowdBytes is how many bytes of other requests at a server make them as likely a cause
	// of its end as any one request.
	crowdBytes = 1 << 20
	// crowdKept is for how long it is known what was at a server: requests of callers last
	// less.
	crowdKept = 30 * time.Second
)

// crowds knows how many bytes of long requests this forwarder has at each server, and had a
// while ago. Requests of usual length don't count, and cost nothing here.
type crowds struct {
	// most bounds what is at one server, in bytes; zero bounds nothing.
	most int64

	mutex   sync.Mutex
	servers map[string]*crowd
}

// crowd is the bytes at one server, and the sums since crowdKept, oldest first.
type crowd struct {
	bytes int64
	sums  []crowdSum
}

// crowdSum is how many bytes were at a server from a time on.
type crowdSum struct {
	at    time.Time
	bytes int64
}

// longBytes is what a request with a body counts for.
func longBytes(body []byte) int64 {
	if len(body) <= heldbytes.SmallBytes {
		return 0
	}
	return int64(len(body))
}

// enter counts a request that is sent to a server; false means that the server has not taken
// yet what it was sent before, and is not to be sent more.
func (c *crowds) enter(address string, n int64) bool {
	if n == 0 {
		return true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	at := c.servers[address]
	if at == nil {
		if c.servers == nil {
			c.servers = map[string]*crowd{}
		}
		at = &crowd{}
		c.servers[address] = at
	}
	if c.most > 0 && at.bytes > 0 && at.bytes+n > c.most {
		return false
	}
	at.change(n)
	return true
}

// leave ends what enter began.
func (c *crowds) leave(address string, n int64) {
	if n == 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if at := c.servers[address]; at != nil {
		at.change(-n)
	}
}

func (c *crowd) change(n int64) {
	c.bytes += n
	c.sums = append(c.sums, crowdSum{at: time.Now(), bytes: c.bytes})
	for len(c.sums) > 1 && time.Since(c.sums[1].at) > crowdKept {
		c.sums = c.sums[1:]
	}
}

// beside is the most bytes of other requests that were at a server at a moment since a time,
// beside a request that counts for own bytes.
func (c *crowds) beside(address string, since time.Time, own int64) int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	at := c.servers[address]
	if at == nil {
		return 0
	}
	most := int64(0)
	for i, sum := range at.sums {
		if last := i == len(at.sums)-1; last || at.sums[i+1].at.After(since) {
			most = max(most, sum.bytes-own)
		}
	}
	return most
}

// expire forgets servers at which nothing has been for a while.
func (c *crowds) expire() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address, at := range c.servers {
		if at.bytes == 0 && time.Since(at.sums[len(at.sums)-1].at) > crowdKept {
			delete(c.servers, address)
		}
	}
}

// crowdedError is the error of a request that is not sent, as its server has not taken yet
// what it was sent before.
func crowdedError() error {
	return &backend.Error{
		Reason: oriolebend.ReasonMemoryShort, Ran: oriolebend.RanNo,
		Detail: "the server has not taken yet what it was sent",
	}
}

// crowded reports whether a server that ended under a request had so many bytes of others
// that its end tells nothing of this one.
//
// A server ends if it can't hold the requests that it is sent. Each of them would be held
// against the request that was there when it happened three times, and refused to everybody
// though it harms no server alone.
func (w *work) crowded(server message.BackendServer) bool {
	own := longBytes(w.request.Body)
	others := w.f.crowds.beside(server.Address, w.request.Received, own)
	if others < crowdBytes {
		return false
	}
	w.f.config.Logger.Info("server has ended under many long requests", "server", server.Instance,
		"request", w.ask.ID, "ownBytes", own, "otherBytes", others)
	return true
}
