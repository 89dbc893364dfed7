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
	// crashing is the path of a request that crashes every server that starts to run it.
	crashing = "crashes"
	// crashLimit is how many servers the request may crash. Later than crashSettle after the
	// last of these crashes, it may crash as many servers again through forwarders that, like
	// all control VMs, were undisturbed for crashSettle.
	crashLimit  = 3
	crashSettle = 3 * time.Second
	// restartDelay is for how long a crashed server is unreachable.
	restartDelay = 300 * time.Millisecond
)

// crashes records the sends of the request that crashes servers, and the crashes.
type crashes struct {
	mutex   sync.Mutex
	crashed []crash
	// sent holds the address of the forwarder to which each try was sent.
	sent map[string]string
}

// crash is the crash of a server under a try.
type crash struct {
	at  time.Time
	try string
}

// noteSent records the forwarder to which a try is sent.
func (c *crashes) noteSent(try, forwarder string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.sent == nil {
		c.sent = map[string]string{}
	}
	c.sent[try] = forwarder
}

func (c *crashes) noteCrash(try string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.crashed = append(c.crashed, crash{at: time.Now(), try: try})
}

// sendCrashing repeats the request through randomly chosen forwarders, sometimes without
// waiting between two tries.
func (l *load) sendCrashing(ctx context.Context, s *system, f *fleet, random *rand.Rand) {
	callers := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var group sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		address := s.callers[random.IntN(len(s.callers))]
		try := fmt.Sprintf("crash-%d", n)
		f.crashes.noteSent(try, address)
		group.Go(func() { _, _ = send(callers, address, crashing, try) })
		if random.IntN(4) > 0 {
			time.Sleep(time.Duration(50+random.IntN(200)) * time.Millisecond)
		}
	}
	group.Wait()
}

// crash simulates a crash of the server: its connections are reset and new ones are
// refused until it restarts as a new instance at the same address.
func (v *server) crash(try string) {
	v.fleet.crashes.noteCrash(try)
	if v.down.Swap(true) {
		return // two tries reached the server at the same moment
	}
	v.notices.noteFault()
	v.proxy.stop()
	time.AfterFunc(restartDelay, func() {
		v.restart()
		v.down.Store(false)
		if err := v.proxy.listen(); err != nil && v.fleet.t.Context().Err() == nil {
			v.fleet.t.Errorf("%s can't start again: %v", v.name, err)
		}
	})
}

// stop makes the proxy refuse new connections and resets the open ones.
func (p *proxy) stop() {
	p.mutex.Lock()
	_ = p.listener.Close()
	p.mutex.Unlock()
	p.reset()
}

// listen accepts connections at the proxy's address again.
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

// check counts the late crashes that came through undisturbed forwarders.
//
// It guards against a request that keeps crashing servers while processes are killed,
// paused and restarted. Only one process knew that the request crashes servers and it has
// exited, or the crashes were reported only once, to a process that was paused.
func (c *crashes) check(t *testing.T, s *system) {
	t.Helper()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	late := 0
	for i, e := range c.crashed {
		if i < crashLimit || e.at.Sub(c.crashed[crashLimit-1].at) <= crashSettle {
			continue
		}
		if !s.forwarderAt(c.sent[e.try]).disturbed(e.at) {
			late++
		}
	}
	t.Logf("%d servers crashed under one request, %d of them late", len(c.crashed), late)
	if late > crashLimit {
		t.Errorf("%d servers crashed late under a request, %d are allowed", late, crashLimit)
	}
}
