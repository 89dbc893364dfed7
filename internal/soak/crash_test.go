package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	// crashing is the path of a request that ends each server which begins to run it.
	crashing = "crashes"
	// crashLimit servers may end under it; it may then reach servers as often again later
	// than crashSettle after the last of these ends, from forwarders that nothing happened
	// to for as long before.
	crashLimit  = 3
	crashSettle = 3 * time.Second
	// backAfter is how long a server is away that has ended.
	backAfter = 300 * time.Millisecond
)

// crashes is the request that ends servers: who sent it, and which servers ended.
type crashes struct {
	mutex sync.Mutex
	ends  []end
	// sent names the forwarder that each try went to.
	sent map[string]string
}

// end is the end of a server under a try.
type end struct {
	at  time.Time
	try string
}

// noteSent notes where a try goes.
func (c *crashes) noteSent(try, forwarder string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.sent == nil {
		c.sent = map[string]string{}
	}
	c.sent[try] = forwarder
}

func (c *crashes) noteEnd(try string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ends = append(c.ends, end{at: time.Now(), try: try})
}

// sendCrashing has the request come again and again, from callers at all forwarders, and
// sometimes two at once.
func (l *load) sendCrashing(ctx context.Context, s *system, f *fleet, random *rand.Rand) {
	callers := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var group sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		address := s.callers[random.IntN(len(s.callers))]
		try := fmt.Sprintf("crash-%d", n)
		f.crashes.noteSent(try, address)
		group.Go(func() { _, _ = ask(callers, address, crashing, try) })
		if random.IntN(4) > 0 {
			time.Sleep(time.Duration(50+random.IntN(200)) * time.Millisecond)
		}
	}
	group.Wait()
}

// crash ends the server: its connections break and others are refused, until it is back
// as a new instance at its address.
func (v *server) crash(try string) {
	v.fleet.crashes.noteEnd(try)
	if v.ended.Swap(true) {
		return // two tries reached it at the same moment
	}
	v.needs.breaks()
	v.proxy.stop()
	time.AfterFunc(backAfter, func() {
		v.restart()
		v.ended.Store(false)
		if err := v.proxy.listen(); err != nil && v.fleet.t.Context().Err() == nil {
			v.fleet.t.Errorf("%s can't start again: %v", v.name, err)
		}
	})
}

// stop has the proxy refuse connections and breaks those that there are.
func (p *proxy) stop() {
	p.mutex.Lock()
	_ = p.listener.Close()
	p.mutex.Unlock()
	p.reset()
}

// listen takes connections at the proxy's address again.
func (p *proxy) listen() error {
	listener, err := net.Listen("tcp", p.address())
	if err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.listener = listener
	go p.accept(listener)
	return nil
}

// check counts the ends that were late, by forwarders that nothing happened to.
//
// Symptom: server after server ends on a site on which processes are killed, paused and
// restarted all the while. Sequence: a request ends each server that begins to run it; who
// knew that is gone, or was told while it was paused. Cause: knowledge of one process, or
// news that are told once.
func (c *crashes) check(t *testing.T, s *system) {
	t.Helper()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	late := 0
	for i, e := range c.ends {
		if i < crashLimit || e.at.Sub(c.ends[crashLimit-1].at) <= crashSettle {
			continue
		}
		if !s.forwarderAt(c.sent[e.try]).disturbed(e.at) {
			late++
		}
	}
	t.Logf("%d servers ended under one request, %d of them late", len(c.ends), late)
	if late > crashLimit {
		t.Errorf("%d servers ended late under a request, %d are allowed", late, crashLimit)
	}
}
