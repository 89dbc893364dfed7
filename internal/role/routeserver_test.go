package role

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/routing"
)

// updates is a stream that keeps what is sent, with the time.
type updates struct {
	mutex sync.Mutex
	sent  []message.RouteUpdate
	at    []time.Time
	done  chan struct{}
	first atomic.Bool
}

func (u *updates) Send(m message.Message) error {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.sent, u.at = append(u.sent, m.(message.RouteUpdate)), append(u.at, time.Now())
	return nil
}

func (u *updates) Receive() (message.Message, error) {
	if !u.first.Swap(true) {
		return message.RouteWatch{Node: "f"}, nil
	}
	<-u.done
	return nil, io.EOF
}

func (u *updates) Close() error          { return nil }
func (u *updates) Done() <-chan struct{} { return u.done }
func (u *updates) Peer() string          { return "f" }

// Symptom: after a power loss of all VMs forwarders have the routing in force and count
// as unready for another second. Sequence: the leader is elected and confirms 300 ms
// after a forwarder has begun to watch. Cause: the confirmation told with the next
// regular word.
func TestConfirmationIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var confirmed atomic.Bool
		next := make(chan struct{})
		r := &RouteServer{
			Store:         routing.NewStore(),
			Confirmed:     func() (time.Duration, bool) { return 0, confirmed.Load() },
			NextConfirmed: func() <-chan struct{} { return next },
			Controls:      func() []string { return nil },
			Leader:        func() string { return "" },
			Logger:        slog.New(slog.DiscardHandler),
		}
		r.Prepare()
		u := &updates{done: make(chan struct{})}
		go r.Serve(t.Context(), u)
		began := time.Now()
		time.Sleep(300 * time.Millisecond)
		confirmed.Store(true)
		close(next)
		synctest.Wait()
		u.mutex.Lock()
		defer u.mutex.Unlock()
		last := len(u.sent) - 1
		is.True(u.sent[last].Confirmed)
		is.Equal(u.at[last].Sub(began), 300*time.Millisecond)
		is.Equal(len(u.sent), 2) // one more word, and no others for the closed channel
		close(u.done)
	})
}
