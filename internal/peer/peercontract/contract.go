// Package peercontract holds the tests that every implementation of peer.Stream and
// peer.Dialer must pass: the QUIC endpoint and the in-memory network that the tests of
// other packages use.
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

// Names of the two processes in a Factory's network.
const (
	EntryName = "entry-1"
	GateName  = "gate-1"
)

// Network consists of two processes that can reach each other.
type Network struct {
	// Entry is the dialer of the first process.
	Entry peer.Dialer
	// GateAddress is the address of the second process, which runs the handler.
	GateAddress string
	// KillGate ends the second process and its sessions immediately. It is nil if the
	// implementation does not support it; the tests that need it are then skipped.
	KillGate func()
}

// Factory creates a network whose gate serves sessions with the handler. It cleans up
// with t.Cleanup.
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

// Echo is a handler that sends back each message until the session ends.
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

// part returns a message that differs for each session and number.
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

// Guards against missing last parts of an answer: the gate sends them and closes
// immediately, and the close overtook the messages.
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

// Guards against an entry that keeps sending to a gate that has ended the session: only
// Receive reported the end, and no goroutine was receiving.
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

// Guards against treating a truncated answer as complete: the gate's process crashes
// between two parts, and the end of the connection looked like a close.
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

// settled waits until a counter does not change for 100 ms and returns its value. On an
// overloaded machine it can only return too early, and the test passes then.
func settled(n *atomic.Int64) int64 {
	const checks, pause = 20, 5 * time.Millisecond
	last, unchanged := n.Load(), 0
	for unchanged < checks {
		time.Sleep(pause)
		if now := n.Load(); now != last {
			last, unchanged = now, 0
			continue
		}
		unchanged++
	}
	return last
}

// Guards against memory that grows with everything a peer generates, because Send does
// not wait for a slow receiver.
func slowReader(t *testing.T, f Factory) {
	i := is.New(t)
	const messages, size, bound = 1024, 16 << 10, 512
	read := make(chan struct{})
	inOrder := make(chan int, 1)
	s := open(t, f(t, func(_ context.Context, s peer.Stream) {
		<-read
		n := 0
		for ; ; n++ {
			m, err := s.Receive()
			if err != nil || m.(message.Part).Offset != n {
				break
			}
		}
		inOrder <- n
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
	i.Equal(<-inOrder, messages)
}

// Guards against a cancelled request that keeps its goroutine and memory: the peer stops
// reading, Send blocks, the session is closed, and Close waited for Send or did not end it.
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

// Guards against a caller that receives a part of another caller's answer, because
// sessions on one connection were mixed up.
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

// MixedUpError is returned for a message that belongs to another session.
type MixedUpError struct {
	Want, Got message.Message
}

// Error implements error.
func (e *MixedUpError) Error() string {
	return fmt.Sprintf("got message %+v, want %+v", e.Got, e.Want)
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
