// Package peercontract holds the tests that every implementation of
// peer.Stream and peer.Dialer passes: the QUIC endpoint and the in-memory
// pair that other packages' tests use.
package peercontract

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
)

// Names that a Factory gives the two processes.
const (
	EntryName = "entry-1"
	GateName  = "gate-1"
)

// Network is two processes that reach each other.
type Network struct {
	// Entry dials.
	Entry peer.Dialer
	// GateAddress is where the other process's handler is reached.
	GateAddress string
	// KillGate ends the other process and its sessions at once. Nil if the
	// implementation has no such thing; the tests that need it are then left
	// out.
	KillGate func()
}

// Factory makes a network whose gate serves sessions with the handler. It
// cleans up by t.Cleanup.
type Factory func(t *testing.T, handler peer.Handler) Network

// Run runs the contract against the networks of a factory.
func Run(t *testing.T, f Factory) {
	cases := []struct {
		name string
		run  func(*testing.T, Factory)
	}{
		{"echo", echo},
		{"order", order},
		{"names", names},
		{"closeDelivers", closeDelivers},
		{"closeTwice", closeTwice},
		{"closeBeforeFirstMessage", closeBeforeFirstMessage},
		{"sendAfterClose", sendAfterClose},
		{"doneAfterPeerCloses", doneAfterPeerCloses},
		{"openerCloses", openerCloses},
		{"handlerContextEnds", handlerContextEnds},
		{"gateKilled", gateKilled},
		{"slowReader", slowReader},
		{"closeFreesSend", closeFreesSend},
		{"closeFreesReceive", closeFreesReceive},
		{"unknownAddress", unknownAddress},
		{"openCancelled", openCancelled},
		{"thousandSessions", thousandSessions},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.run(t, f) })
	}
}

// Echo is a handler that sends back what it receives until the end.
func Echo(_ context.Context, s peer.Stream) {
	for {
		m, err := s.Receive()
		if err != nil {
			return
		}
		if err := s.Send(m); err != nil {
			return
		}
	}
}

// part makes a message that can be told from others.
func part(session string, n int) message.Part {
	return message.Part{Attempt: message.Attempt{RequestID: session, Number: 1}, Offset: n, Tokens: 1, Text: "x"}
}

func open(t *testing.T, n Network) peer.Stream {
	t.Helper()
	s, err := n.Entry.Open(t.Context(), n.GateAddress)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func echo(t *testing.T, f Factory) {
	i := is.New(t)
	s := open(t, f(t, Echo))
	sent := []message.Message{
		message.Reserve{Phase: message.PhaseDecode, Prefix: []uint64{1, 1 << 63}, Deadline: time.Second, Once: true},
		message.Part{Text: "cut in two \xe2\x82", Finish: message.FinishStop},
		message.CallAnswer{Status: 200, Header: map[string]string{"Content-Type": "text/plain"}, Body: []byte{0, 255}},
		message.Prefill{Prompt: strings.Repeat("tab ", 1<<16)},
	}
	for _, m := range sent {
		i.NoErr(s.Send(m))
		got, err := s.Receive()
		i.NoErr(err)
		i.Equal(got, m)
	}
}

func order(t *testing.T, f Factory) {
	i := is.New(t)
	const messages = 500
	s := open(t, f(t, Echo))
	go func() {
		for n := range messages {
			if s.Send(part("r", n)) != nil {
				return
			}
		}
	}()
	for n := range messages {
		got, err := s.Receive()
		i.NoErr(err)
		i.Equal(got, part("r", n))
	}
}

func names(t *testing.T, f Factory) {
	i := is.New(t)
	seen := make(chan string, 1)
	s := open(t, f(t, func(_ context.Context, s peer.Stream) {
		seen <- s.Peer()
		_, _ = s.Receive()
	}))
	i.NoErr(s.Send(part("r", 0)))
	i.Equal(s.Peer(), GateName)
	i.Equal(<-seen, EntryName)
}

// Symptom: the last parts of an answer are missing. Sequence: the gate sends
// them and closes at once. Cause: the close overtook what was sent.
func closeDelivers(t *testing.T, f Factory) {
	i := is.New(t)
	const messages = 200
	s := open(t, f(t, func(_ context.Context, s peer.Stream) {
		_, _ = s.Receive()
		for n := range messages {
			_ = s.Send(part("r", n))
		}
		_ = s.Close()
	}))
	i.NoErr(s.Send(part("r", 0)))
	<-s.Done()
	for n := range messages {
		got, err := s.Receive()
		i.NoErr(err)
		i.Equal(got, part("r", n))
	}
	for range 2 {
		_, err := s.Receive()
		i.Equal(err, io.EOF)
	}
}

func closeTwice(t *testing.T, f Factory) {
	i := is.New(t)
	s := open(t, f(t, Echo))
	i.NoErr(s.Send(part("r", 0)))
	i.NoErr(s.Close())
	i.NoErr(s.Close())
	<-s.Done()
}

func closeBeforeFirstMessage(t *testing.T, f Factory) {
	i := is.New(t)
	s := open(t, f(t, Echo))
	i.NoErr(s.Close())
	<-s.Done()
}

func sendAfterClose(t *testing.T, f Factory) {
	i := is.New(t)
	s := open(t, f(t, Echo))
	i.NoErr(s.Close())
	i.True(s.Send(part("r", 0)) != nil)
	_, err := s.Receive()
	i.True(err != nil)
}

// Symptom: an entry goes on to send to a gate that has ended the session.
// Cause: only Receive told of the end, and nobody was receiving.
func doneAfterPeerCloses(t *testing.T, f Factory) {
	i := is.New(t)
	s := open(t, f(t, func(_ context.Context, s peer.Stream) { _, _ = s.Receive() }))
	i.NoErr(s.Send(part("r", 0)))
	<-s.Done()
	i.True(s.Send(part("r", 1)) != nil)
	_, err := s.Receive()
	i.Equal(err, io.EOF)
}

func openerCloses(t *testing.T, f Factory) {
	i := is.New(t)
	received := make(chan message.Message, 2)
	end := make(chan error, 1)
	s := open(t, f(t, func(_ context.Context, s peer.Stream) {
		for {
			m, err := s.Receive()
			if err != nil {
				<-s.Done()
				end <- err
				return
			}
			received <- m
		}
	}))
	i.NoErr(s.Send(part("r", 0)))
	i.NoErr(s.Send(message.Release{}))
	i.NoErr(s.Close())
	i.Equal(<-received, part("r", 0))
	i.Equal(<-received, message.Release{})
	i.Equal(<-end, io.EOF)
}

func handlerContextEnds(t *testing.T, f Factory) {
	i := is.New(t)
	ended := make(chan struct{})
	s := open(t, f(t, func(ctx context.Context, s peer.Stream) {
		_, _ = s.Receive()
		<-ctx.Done()
		close(ended)
	}))
	i.NoErr(s.Send(part("r", 0)))
	i.NoErr(s.Close())
	<-ended
}

// Symptom: an answer that broke off is taken for a whole one. Sequence: the
// gate's process dies between two parts. Cause: the end of the connection
// read like a close.
func gateKilled(t *testing.T, f Factory) {
	i := is.New(t)
	n := f(t, Echo)
	if n.KillGate == nil {
		t.Skip("the implementation has no process to kill")
	}
	s := open(t, n)
	i.NoErr(s.Send(part("r", 0)))
	_, err := s.Receive()
	i.NoErr(err)
	n.KillGate()
	<-s.Done()
	_, err = s.Receive()
	i.True(err != nil)
	i.True(!errors.Is(err, io.EOF))
	i.True(s.Send(part("r", 1)) != nil)
}

// settled waits until a counter stands still for a while and returns it. A
// starved machine can only make it return too early, which passes.
func settled(n *atomic.Int64) int64 {
	const looks, pause = 20, 5 * time.Millisecond
	last, still := n.Load(), 0
	for still < looks {
		time.Sleep(pause)
		if now := n.Load(); now != last {
			last, still = now, 0
			continue
		}
		still++
	}
	return last
}

// Symptom: a process's memory grows by all that its peer generates. Cause:
// Send does not wait for a receiver that falls behind.
func slowReader(t *testing.T, f Factory) {
	i := is.New(t)
	const messages, size, bound = 1024, 16 << 10, 512
	read := make(chan struct{})
	whole := make(chan int, 1)
	s := open(t, f(t, func(_ context.Context, s peer.Stream) {
		<-read
		n := 0
		for ; ; n++ {
			m, err := s.Receive()
			if err != nil || m.(message.Part).Offset != n {
				break
			}
		}
		whole <- n
	}))
	var sent atomic.Int64
	go func() {
		big := part("r", 0)
		big.Text = strings.Repeat("x", size)
		for n := range messages {
			big.Offset = n
			if s.Send(big) != nil {
				return
			}
			sent.Add(1)
		}
		_ = s.Close()
	}()
	i.True(settled(&sent) < bound)
	close(read)
	i.Equal(<-whole, messages)
}

// Symptom: a request that was cancelled holds its goroutine and memory.
// Sequence: the peer stops reading, Send waits, the session is closed. Cause:
// Close waited for Send, or did not end it.
func closeFreesSend(t *testing.T, f Factory) {
	i := is.New(t)
	release := make(chan struct{})
	defer close(release)
	s := open(t, f(t, func(context.Context, peer.Stream) { <-release }))
	var sent atomic.Int64
	failed := make(chan error, 1)
	go func() {
		big := part("r", 0)
		big.Text = strings.Repeat("x", 64<<10)
		for {
			if err := s.Send(big); err != nil {
				failed <- err
				return
			}
			sent.Add(1)
		}
	}()
	settled(&sent)
	i.NoErr(s.Close())
	i.True(<-failed != nil)
}

func closeFreesReceive(t *testing.T, f Factory) {
	i := is.New(t)
	s := open(t, f(t, Echo))
	failed := make(chan error, 1)
	go func() {
		_, err := s.Receive()
		failed <- err
	}()
	i.NoErr(s.Close())
	i.True(<-failed != nil)
}

func unknownAddress(t *testing.T, f Factory) {
	i := is.New(t)
	n := f(t, Echo)
	_, err := n.Entry.Open(t.Context(), "nowhere")
	i.True(err != nil)
}

func openCancelled(t *testing.T, f Factory) {
	i := is.New(t)
	n := f(t, Echo)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s, err := n.Entry.Open(ctx, n.GateAddress)
	i.True(err != nil)
	i.True(s == nil)
}

// Symptom: a caller gets a part of another's answer. Cause: sessions that
// share a connection were mixed up.
func thousandSessions(t *testing.T, f Factory) {
	i := is.New(t)
	const sessions, messages = 1000, 3
	n := f(t, Echo)
	failures := make(chan error, sessions)
	var group sync.WaitGroup
	for number := range sessions {
		group.Go(func() {
			if err := converse(t.Context(), n, fmt.Sprint(number), messages); err != nil {
				failures <- err
			}
		})
	}
	group.Wait()
	close(failures)
	for err := range failures {
		i.NoErr(err)
	}
}

// MixedUpError tells of a message that belongs to another session.
type MixedUpError struct {
	Want, Got message.Message
}

// Error implements error.
func (e *MixedUpError) Error() string {
	return fmt.Sprintf("got %+v in place of %+v", e.Got, e.Want)
}

func converse(ctx context.Context, n Network, name string, messages int) error {
	s, err := n.Entry.Open(ctx, n.GateAddress)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	for k := range messages {
		if err := s.Send(part(name, k)); err != nil {
			return err
		}
		got, err := s.Receive()
		if err != nil {
			return err
		}
		if got != message.Message(part(name, k)) {
			return &MixedUpError{Want: part(name, k), Got: got}
		}
	}
	return nil
}
