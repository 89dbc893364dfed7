package forwarder

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// probeDelays are the pauses before each probe of a server whose connection broke. The first probe
// can come before a process that has exited has released its port. A process that has not released
// it after a fifth of a second is alive, and only the connection was lost.
var probeDelays = []time.Duration{0, 30 * time.Millisecond, 170 * time.Millisecond}

// probeLifetime is how long the result of a probe of one incarnation of a server is kept. All
// connections to a server that exits break at the same time, and share one probe.
const probeLifetime = 2 * time.Second

// probeTimeout bounds one connection attempt to several round trips between failure domains.
const probeTimeout = 500 * time.Millisecond

// crashDetector detects whether server processes have exited.
type crashDetector struct {
	mutex  sync.Mutex
	probes map[message.ServerStart]*probe
}

// probe is the result for one incarnation of a server; exited is valid once done is closed.
type probe struct {
	started time.Time
	done    chan struct{}
	exited  bool
}

// find returns the probe of a server, and true if the caller has to carry it out.
func (d *crashDetector) find(server message.BackendServer) (*probe, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for start, p := range d.probes {
		if time.Since(p.started) >= probeLifetime {
			delete(d.probes, start)
		}
	}
	start := server.Start()
	if p := d.probes[start]; p != nil {
		return p, false
	}
	p := &probe{started: time.Now(), done: make(chan struct{})}
	if d.probes == nil {
		d.probes = map[message.ServerStart]*probe{}
	}
	d.probes[start] = p
	return p, true
}

// forget discards the probe of a server, so that the next broken connection starts another one.
func (d *crashDetector) forget(server message.BackendServer) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.probes, server.Start())
}

// hasExited reports whether the process of a server whose connection broke has exited.
//
// A broken connection alone is no proof, since answers of healthy servers are lost as well. A
// process that has exited refuses connections until it is restarted, which takes seconds. A VM
// without power, or one that is cut off, does not answer at all.
func (f *Forwarder) hasExited(server message.BackendServer) bool {
	p, first := f.crashes.find(server)
	if !first {
		<-p.done
		return p.exited
	}
	p.exited = f.refusesConnections(server.Address, probeDelays)
	if p.exited {
		f.reduce(dispatch.ServerExited{At: f.now(), Server: server})
		f.config.Logger.Info("server has ended", "server", server.Instance, "incarnation", server.Incarnation, "address", server.Address)
	} else {
		f.crashes.forget(server) // it may exit a moment later, under another request
	}
	close(p.done)
	return p.exited
}

// The pauses before each probe of a server whose answer ended with its connection. They delay the
// complete answer to a call, and the end of a stream.
var (
	unframedCallDelays   = []time.Duration{0}
	unframedStreamDelays = []time.Duration{0, 30 * time.Millisecond}
)

// cutByCrash reports whether an answer in one piece that has neither a length nor chunks ended because
// its server crashed. The connections of a process that has exited are closed like that of a complete
// answer.
func (f *Forwarder) cutByCrash(server message.BackendServer, response *backend.Response) bool {
	return response.Unframed && f.refusesConnections(server.Address, unframedCallDelays)
}

// refusesConnections probes an address until it refuses connections, at most once for each of the
// delays.
func (f *Forwarder) refusesConnections(address string, delays []time.Duration) bool {
	for _, pause := range delays {
		time.Sleep(pause)
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		refuses := f.pool.Refuses(ctx, address)
		cancel()
		if refuses {
			return true
		}
	}
	return false
}

// earlyStreamPeriod is the time after the first event of a stream in which a crash of the server
// may be caused by the stream's request. Streams that break because of other requests last longer.
const earlyStreamPeriod = 500 * time.Millisecond

// detectCrash reports the request to the quarantine if the server crashed under it, for a send that
// broke before the server began to answer or shortly afterwards.
func (w *work) detectCrash(server message.BackendServer, err error) {
	failure, lost := lostOutcome(err)
	if !lost {
		return
	}
	broken := time.Now()
	w.f.background.Go(func() {
		if w.f.hasExited(server) && !w.overloadedByOthers(server) {
			w.f.config.Quarantine.Crashed(w.suspects(), server, broken, failure.Opened)
			w.f.observeDomain(server, broken, domainDelays)
		}
	})
}

// domainDelays are the pauses before each check whether the failure domain of a server that crashed still
// serves: a domain may be lost over a quarter of a second.
var domainDelays = []time.Duration{300 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, time.Second}

// observeDomain reports to the quarantine once another server of the same service and failure domain has
// answered since a crash.
func (f *Forwarder) observeDomain(server message.BackendServer, crashed time.Time, delays []time.Duration) {
	if len(delays) == 0 {
		return
	}
	time.AfterFunc(delays[0], func() {
		if f.domainServed(server, crashed.Add(domainLossTime)) {
			f.config.Quarantine.DomainServed(server, crashed)
			return
		}
		f.observeDomain(server, crashed, delays[1:])
	})
}

// domainLossTime is how long after the crash of one server the others of a lost failure domain may still
// answer.
const domainLossTime = 250 * time.Millisecond

func (f *Forwarder) domainServed(server message.BackendServer, since time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.DomainServed(f.now().Add(-time.Since(since)), server)
}

// detectExit probes a server whose connection broke in the middle of an answer.
func (w *work) detectExit(server message.BackendServer, err error) {
	if _, lost := lostOutcome(err); lost {
		w.f.background.Go(func() { w.f.hasExited(server) })
	}
}

// lostOutcome returns the error of a connection that broke, and false if the server answered in another
// way, the caller disconnected, or nothing was sent.
func lostOutcome(err error) (*backend.Error, bool) {
	failure, ok := errors.AsType[*backend.Error](err)
	return failure, ok && failure.Reason == oriolebend.ReasonOutcomeLost
}
