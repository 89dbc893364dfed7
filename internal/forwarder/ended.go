package forwarder

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// lookAgain is how long after a connection broke, and after each other, a server is
// looked at. The first look can come before the process has given up its port; one that
// has not after a fifth of a second lives, and only the connection was lost.
var lookAgain = []time.Duration{0, 30 * time.Millisecond, 170 * time.Millisecond}

// lookHolds is for how long it is kept that a start of a server has ended. All connections
// to it break at once, and one look serves them.
const lookHolds = 2 * time.Second

// lookWithin bounds one look: several round trips between failure domains.
const lookWithin = 500 * time.Millisecond

// endings finds out whether servers have ended.
type endings struct {
	mutex sync.Mutex
	looks map[message.ServerStart]*look
}

// look is what was found about one start of a server; ended holds once done is closed.
type look struct {
	began time.Time
	done  chan struct{}
	ended bool
}

// find returns the look at a server, and true if the caller has to do it.
func (e *endings) find(server message.BackendServer) (*look, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for start, l := range e.looks {
		if time.Since(l.began) >= lookHolds {
			delete(e.looks, start)
		}
	}
	start := server.Start()
	if l := e.looks[start]; l != nil {
		return l, false
	}
	l := &look{began: time.Now(), done: make(chan struct{})}
	if e.looks == nil {
		e.looks = map[message.ServerStart]*look{}
	}
	e.looks[start] = l
	return l, true
}

// forget has a server be looked at anew.
func (e *endings) forget(server message.BackendServer) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.looks, server.Start())
}

// hasEnded reports whether the process of a server whose connection broke has ended.
//
// A broken connection alone doesn't tell: answers are lost on sound servers too. A
// process that has ended refuses connections from that moment until it is started again,
// which takes seconds; a VM without power, or one that is cut off, does not answer at
// all.
func (f *Forwarder) hasEnded(server message.BackendServer) bool {
	l, mine := f.endings.find(server)
	if !mine {
		<-l.done
		return l.ended
	}
	l.ended = f.refusesSoon(server.Address)
	if l.ended {
		f.config.Logger.Info("server has ended", "server", server.Instance, "incarnation", server.Incarnation, "address", server.Address)
	} else {
		f.endings.forget(server) // it may end a moment later, under another request
	}
	close(l.done)
	return l.ended
}

// refusesSoon looks at an address a few times, until it refuses connections.
func (f *Forwarder) refusesSoon(address string) bool {
	for _, pause := range lookAgain {
		time.Sleep(pause)
		ctx, cancel := context.WithTimeout(context.Background(), lookWithin)
		refuses := f.pool.Refuses(ctx, address)
		cancel()
		if refuses {
			return true
		}
	}
	return false
}

// justBegun is how long after its first event a stream counts as just begun: a server that
// ends so soon may have ended because of it. Streams that are ended by others last longer.
const justBegun = 500 * time.Millisecond

// brokeEarly takes in that a sending broke off when the server had not begun to answer, or
// just so.
func (w *work) brokeEarly(server message.BackendServer, err error) {
	broke, ok := errors.AsType[*backend.Error](err)
	if !ok || broke.Reason != oriolebend.ReasonOutcomeLost {
		return // it answered otherwise, the caller left, or nothing was sent
	}
	w.f.background.Go(func() {
		if w.f.hasEnded(server) && !w.crowded(server) {
			w.f.config.Quarantine.Crashed(w.fingerprint, server, broke.Opened)
		}
	})
}
