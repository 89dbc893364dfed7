package role

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/peer/peertest"
)

// slowDialer takes a while for each session, and counts those that are being opened.
type slowDialer struct {
	peer.Dialer
	takes map[string]time.Duration

	mutex         sync.Mutex
	opening, most int
	opened        map[string]time.Time
}

func (d *slowDialer) Open(ctx context.Context, address string) (peer.Stream, error) {
	d.mutex.Lock()
	d.opening++
	d.most = max(d.most, d.opening)
	d.mutex.Unlock()
	select {
	case <-time.After(d.takes[address]):
	case <-ctx.Done():
	}
	d.mutex.Lock()
	d.opening--
	if _, before := d.opened[address]; !before {
		d.opened[address] = time.Now()
	}
	d.mutex.Unlock()
	return d.Dialer.Open(ctx, address)
}

// Symptom: after a restart of everything no request is answered for 8 s on a site of 300
// forwarders. Sequence: each of them opens sessions with all ten control VMs at the same
// moment; most of the handshakes don't fit into the buffers of the control VMs' sockets
// and come again and again. Cause: nobody slowed down with the control VMs. One of them
// that is gone must not hold the others up for the whole time that is allowed for it.
func TestFewSessionsAreOpenedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		d := &slowDialer{
			Dialer: peertest.NewNetwork(1).Dialer("f"), takes: map[string]time.Duration{}, opened: map[string]time.Time{},
		}
		var seeds []string
		for i := range 10 {
			seeds = append(seeds, fmt.Sprintf("10.0.0.%d:1", i))
			d.takes[seeds[i]] = 20 * time.Millisecond
		}
		d.takes[seeds[0]], d.takes[seeds[1]] = time.Minute, time.Minute
		f := &RouteFollower{
			Dialer: d, Seeds: seeds, Watch: message.RouteWatch{Node: "f"},
			Sink: &routingSink{}, Logger: slog.New(slog.DiscardHandler),
		}
		began := time.Now()
		go f.Run(ctx)
		time.Sleep(700 * time.Millisecond)
		d.mutex.Lock()
		most, opened := d.most, maps.Clone(d.opened)
		d.mutex.Unlock()
		cancel()
		time.Sleep(time.Second)
		is.True(most <= 2*openAtOnce) // two that count no more, and two more
		is.Equal(len(opened), 8)
		for _, at := range opened {
			is.True(at.Sub(began) <= 2*openCountsFor)
		}
	})
}
