package forwarder

import (
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/memorybudget"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// overloadBytes is the number of bytes of other requests at a server above which they are as
	// likely to have crashed it as any single request.
	overloadBytes = 1 << 20
	// historyPeriod is how long the past load of a server is kept. Callers' requests take less time.
	historyPeriod = 30 * time.Second
)

// inflightBytes counts the bytes of long requests that this forwarder has in flight at each server,
// and keeps their recent history. Requests of usual length don't count, and cost nothing here.
type inflightBytes struct {
	// limit bounds the bytes in flight at one server; zero means no limit.
	limit int64

	mutex   sync.Mutex
	servers map[string]*serverBytes
}

// serverBytes is the number of bytes in flight at one server, and its samples of the last
// historyPeriod, oldest first.
type serverBytes struct {
	bytes   int64
	samples []byteSample
}

// byteSample is the number of bytes in flight at a server from a time on.
type byteSample struct {
	at    time.Time
	bytes int64
}

// longBytes returns the number of bytes that a request with this body counts for.
func longBytes(body []byte) int64 {
	if len(body) <= memorybudget.SmallBytes {
		return 0
	}
	return int64(len(body))
}

// add counts a request that is sent to a server. It returns false if the server has not yet read
// the requests that it was sent before and must not be sent more.
func (b *inflightBytes) add(address string, n int64) bool {
	if n == 0 {
		return true
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	server := b.servers[address]
	if server == nil {
		if b.servers == nil {
			b.servers = map[string]*serverBytes{}
		}
		server = &serverBytes{}
		b.servers[address] = server
	}
	if b.limit > 0 && server.bytes > 0 && server.bytes+n > b.limit {
		return false
	}
	server.change(n)
	return true
}

// remove uncounts a request that add counted.
func (b *inflightBytes) remove(address string, n int64) {
	if n == 0 {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if server := b.servers[address]; server != nil {
		server.change(-n)
	}
}

func (s *serverBytes) change(n int64) {
	s.bytes += n
	s.samples = append(s.samples, byteSample{at: time.Now(), bytes: s.bytes})
	for len(s.samples) > 1 && time.Since(s.samples[1].at) > historyPeriod {
		s.samples = s.samples[1:]
	}
}

// maxOthers returns the highest number of bytes of other requests that were in flight at a server
// at any moment since a time, given that this request counts for own bytes.
func (b *inflightBytes) maxOthers(address string, since time.Time, own int64) int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	server := b.servers[address]
	if server == nil {
		return 0
	}
	highest := int64(0)
	for i, sample := range server.samples {
		if last := i == len(server.samples)-1; last || server.samples[i+1].at.After(since) {
			highest = max(highest, sample.bytes-own)
		}
	}
	return highest
}

// expire removes servers without long requests in the last historyPeriod.
func (b *inflightBytes) expire() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for address, server := range b.servers {
		if server.bytes == 0 && time.Since(server.samples[len(server.samples)-1].at) > historyPeriod {
			delete(b.servers, address)
		}
	}
}

// backlogError returns the error of a request that is not sent because its server has not yet read
// the requests that it was sent before.
func backlogError() error {
	return &backend.Error{
		Reason: oriolebend.ReasonMemoryShort, Ran: oriolebend.RanNo,
		Detail: "the server has not yet read the requests that it was sent",
	}
}

// overloadedByOthers reports whether a server that crashed under this request had so many bytes of
// other requests in flight that its crash proves nothing about this request.
//
// A server crashes if it can't hold the requests that it is sent. Otherwise a request that was in
// flight during three such crashes would be quarantined and refused to all callers, although it
// harms no server alone.
func (w *work) overloadedByOthers(server message.BackendServer) bool {
	own := longBytes(w.request.Body)
	others := w.f.inflight.maxOthers(server.Address, w.request.Received, own)
	if others < overloadBytes {
		return false
	}
	w.f.config.Logger.Info("server has ended under many long requests", "server", server.Instance,
		"request", w.info.ID, "ownBytes", own, "otherBytes", others)
	return true
}
