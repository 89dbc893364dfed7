package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crashing is the path of a request that crashes every server that starts to run it.
	crashing = "crashes"
	// crashingPart is a part of prompts that crashes every server that starts to run a request
	// with it, and sharedPart one that is in the same prompts and in those of other callers.
	crashingPart = "crashing-part"
	sharedPart   = "shared-part"
	headerParts  = "Oriolebend-Prompt-Parts"
	// crashLimit and partCrashLimit are how many servers the request and the part may crash. Later
	// than crashSettle after the last of these crashes, allowedLate more may crash through forwarders
	// that, like all control VMs, were undisturbed for crashSettle.
	crashLimit     = 3
	partCrashLimit = 5
	allowedLate    = 3
	crashSettle    = 3 * time.Second
	// restartDelay is for how long a crashed server is unreachable.
	restartDelay = 300 * time.Millisecond
)

// crashes records the sends of requests that crash servers, and the crashes.
type crashes struct {
	// cause names what crashes the servers, limit is the number of crashes after which it is known.
	cause string
	limit int
	// send sends one try.
	send func(callers *http.Client, address, try string)

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

// newRequestCrashes returns the record of one request that is repeated.
func newRequestCrashes() *crashes {
	return &crashes{cause: "request", limit: crashLimit, send: func(callers *http.Client, address, try string) {
		_, _ = send(callers, address, crashing, try)
	}}
}

// newPartCrashes returns the record of different requests with the part that crashes servers.
func newPartCrashes() *crashes {
	header := map[string]string{headerParts: sharedPart + "," + crashingPart}
	return &crashes{cause: "part", limit: partCrashLimit, send: func(callers *http.Client, address, try string) {
		_, _ = sendWithBody(callers, address, "safe", try, keyOf(regular), "body of "+try, header)
	}}
}

// sendCrashing sends requests that crash servers through randomly chosen forwarders, sometimes
// without waiting between two tries.
func (c *crashes) sendCrashing(ctx context.Context, s *system, random *rand.Rand) {
	callers := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var group sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		address := s.callers[random.IntN(len(s.callers))]
		try := fmt.Sprintf("crash-%s-%d", c.cause, n)
		c.noteSent(try, address)
		group.Go(func() { c.send(callers, address, try) })
		if random.IntN(4) > 0 {
			time.Sleep(time.Duration(50+random.IntN(200)) * time.Millisecond)
		}
	}
	group.Wait()
}

// crashesOf returns the record of a request that crashes servers, nil for any other request.
func (f *fleet) crashesOf(r *http.Request) *crashes {
	switch {
	case strings.HasPrefix(r.URL.Path, "/"+crashing+"/"):
		return f.crashes
	case strings.Contains(r.Header.Get(headerParts), crashingPart):
		return f.partCrashes
	}
	return nil
}

// crash simulates a crash of the server: its connections are reset and new ones are
// refused until it restarts as a new instance at the same address.
func (v *server) crash(c *crashes, try string) {
	c.noteCrash(try)
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
// It guards against a request or a part that keeps crashing servers while processes are killed,
// paused and restarted. Only one process knew that it crashes servers and it has
// exited, or the crashes were reported only once, to a process that was paused.
func (c *crashes) check(t *testing.T, s *system) {
	t.Helper()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	late := 0
	for i, e := range c.crashed {
		if i < c.limit || e.at.Sub(c.crashed[c.limit-1].at) <= crashSettle {
			continue
		}
		if !s.forwarderAt(c.sent[e.try]).disturbed(e.at) {
			late++
		}
	}
	t.Logf("%d servers crashed under one %s, %d of them late", len(c.crashed), c.cause, late)
	if late > allowedLate {
		t.Errorf("%d servers crashed late under a %s, %d are allowed", late, c.cause, allowedLate)
	}
}

// checkSharedPart guards against callers who are refused because their prompts share a harmless part
// with those that crash servers. It looks at the requests since a time at which all processes ran.
func (l *load) checkSharedPart(t *testing.T, since time.Time) {
	t.Helper()
	sent, refused := 0, 0
	for _, r := range l.results {
		if !strings.HasPrefix(r.id, "c") || r.began.Before(since) {
			continue
		}
		sent++
		if strings.Contains(r.body, "crashesServers") {
			refused++
		}
	}
	t.Logf("%d of %d requests with the shared part were refused as crashing servers", refused, sent)
	if 2*refused > sent {
		t.Errorf("%d of %d requests with a harmless part were refused as crashing servers", refused, sent)
	}
}
