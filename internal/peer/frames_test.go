package peer_test

import (
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/memorybudget"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
)

// Guards against a process that runs out of memory because many sessions send large frames at once, each
// of them within the bound of a frame.
func TestLargeFramesFitTheMemory(t *testing.T) {
	const limit, frame, sessions = 24 << 20, 6 << 20, 8
	i := is.New(t)
	account := memorybudget.New(memorybudget.Config{Limit: limit, PeerShare: 0.75, SmallShare: 0.01})
	s := newSite(t)
	var received sync.WaitGroup
	received.Add(sessions)
	codes := make(chan peer.Code, sessions)
	gate := s.listen(t, "gate", func(c *peer.Config) {
		c.Frames = account
		c.Handler = func(_ context.Context, s peer.Stream) {
			m, err := s.Receive()
			if _, small := m.(message.Release); small {
				_ = s.Send(m)
				return
			}
			codes <- peer.CodeOf(err)
			received.Done()
		}
	})
	entry := s.listen(t, "entry", func(*peer.Config) {})
	for range sessions {
		go func() {
			session, err := entry.Open(t.Context(), gate.Address())
			if err == nil {
				_ = session.Send(message.Prefill{Prompt: strings.Repeat("x", frame)})
			}
		}()
	}
	received.Wait()
	close(codes)
	outcomes := map[peer.Code]int{}
	for code := range codes {
		outcomes[code]++
	}
	i.True(outcomes[""] > 0)                                    // some frames arrive
	i.Equal(outcomes[""]+outcomes[peer.CodeNoMemory], sessions) // the others are refused by a typed error
	i.Equal(account.Held(memorybudget.Frame), int64(0))         // nothing is lost
	i.Equal(account.Refused(memorybudget.Frame) > 0, outcomes[""] < sessions)
	echoOnce(t, entry, gate.Address()) // small frames pass
}
