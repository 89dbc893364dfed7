package peer

import (
	"context"
	"fmt"
	"sync"

	"github.com/oriolebend/oriolebend/internal/message"
)

// RequestClient sends requests to peers over one session for each peer: a session for each
// request would cost both sides many times as much as the request itself. The zero value
// with the exported fields set is ready to use.
type RequestClient[Q, A message.Message] struct {
	Dialer Dialer
	// Numbered returns a copy of a request with its number set, and Number returns the
	// number of the request that an answer belongs to.
	Numbered func(q Q, number uint64) Q
	Number   func(a A) uint64
	// Unwanted returns the message to send to a peer whose answer arrived after its request
	// was cancelled; false means none.
	Unwanted func(q Q, a A) (message.Message, bool)

	mutex    sync.Mutex
	sessions map[string]*requestSession[Q, A]
}

// SessionEndedError is returned for a request whose session ended before the answer arrived.
type SessionEndedError struct{ Peer string }

// Error implements error.
func (e *SessionEndedError) Error() string {
	return fmt.Sprintf("peer: session with %s has ended", e.Peer)
}

// Request sends a request to the peer at an address and waits for the answer. Its error is
// an error of the dialer, a *SessionEndedError or the error of ctx.
func (q *RequestClient[Q, A]) Request(ctx context.Context, address string, request Q) (A, error) {
	s, err := q.session(ctx, address)
	if err != nil {
		var none A
		return none, err
	}
	return s.send(ctx, request)
}

// Send sends a message that needs no answer, if a session with the peer is open.
func (q *RequestClient[Q, A]) Send(address string, m message.Message) {
	q.mutex.Lock()
	s := q.sessions[address]
	q.mutex.Unlock()
	if s != nil {
		s.out.Put(m)
	}
}

// Drop ends the session with a peer, for example because the process at the address may
// have been replaced. Requests that wait for an answer fail with a *SessionEndedError.
func (q *RequestClient[Q, A]) Drop(address string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if s := q.sessions[address]; s != nil {
		delete(q.sessions, address)
		go s.end()
	}
}

// Close ends all sessions.
func (q *RequestClient[Q, A]) Close() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, s := range q.sessions {
		go s.end()
	}
}

// session returns the open session with a peer, and opens one if there is none.
func (q *RequestClient[Q, A]) session(ctx context.Context, address string) (*requestSession[Q, A], error) {
	q.mutex.Lock()
	s := q.sessions[address]
	q.mutex.Unlock()
	if s != nil {
		return s, nil
	}
	stream, err := q.Dialer.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if other := q.sessions[address]; other != nil {
		_ = stream.Close()
		return other, nil
	}
	if q.sessions == nil {
		q.sessions = map[string]*requestSession[Q, A]{}
	}
	s = &requestSession[Q, A]{client: q, stream: stream, out: NewOutbox(stream), pending: map[uint64]pendingRequest[Q, A]{}}
	q.sessions[address] = s
	go s.out.Write()
	go func() {
		s.read()
		q.mutex.Lock()
		defer q.mutex.Unlock()
		if q.sessions[address] == s {
			delete(q.sessions, address)
		}
	}()
	return s, nil
}

// ServeRequests answers the requests of a session until the session or ctx ends, or a
// message arrives that is not a Q. The second result of answer is false for a request that
// needs no answer.
func ServeRequests[Q, A message.Message](ctx context.Context, s Stream, answer func(Q) (A, bool)) {
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	for {
		m, err := s.Receive()
		request, ok := m.(Q)
		if err != nil || !ok {
			return
		}
		if a, answers := answer(request); answers && s.Send(a) != nil {
			return
		}
	}
}

// requestSession is one open session.
type requestSession[Q, A message.Message] struct {
	client *RequestClient[Q, A]
	stream Stream
	out    *Outbox

	mutex      sync.Mutex
	lastNumber uint64
	// pending holds the requests without an answer, by number.
	pending map[uint64]pendingRequest[Q, A]
	ended   bool
}

// pendingRequest is a request that was sent. Its answer channel is nil once the request was cancelled.
type pendingRequest[Q, A message.Message] struct {
	request Q
	answer  chan A
}

// send sends one request and waits for its answer. A cancelled request is kept until its
// answer arrives, so that the peer can be notified by Unwanted. Once ctx has ended, an answer
// that has arrived is unwanted too.
func (s *requestSession[Q, A]) send(ctx context.Context, request Q) (A, error) {
	var none A
	number, answers, open := s.enqueue(request)
	if !open {
		return none, &SessionEndedError{Peer: s.stream.Peer()}
	}
	select {
	case answer, received := <-answers:
		if !received {
			return none, &SessionEndedError{Peer: s.stream.Peer()}
		}
		if err := ctx.Err(); err != nil { // both cases were ready
			s.notifyUnwanted(request, answer)
			return none, err
		}
		return answer, nil
	case <-ctx.Done():
		s.cancel(number, request, answers)
		return none, ctx.Err()
	}
}

// enqueue queues a request and returns its number and the channel of its answer. It returns false
// if the session has ended.
func (s *requestSession[Q, A]) enqueue(request Q) (uint64, <-chan A, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ended {
		return 0, nil, false
	}
	s.lastNumber++
	answers := make(chan A, 1)
	s.pending[s.lastNumber] = pendingRequest[Q, A]{request: request, answer: answers}
	s.out.Put(s.client.Numbered(request, s.lastNumber))
	return s.lastNumber, answers, true
}

// cancel marks a request as cancelled, or handles the answer that arrived just before.
func (s *requestSession[Q, A]) cancel(number uint64, request Q, answers <-chan A) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, waiting := s.pending[number]; waiting {
		s.pending[number] = pendingRequest[Q, A]{request: request}
		return
	}
	if answer, received := <-answers; received { // the answer arrived just before the request was cancelled
		s.notifyUnwanted(request, answer)
	}
}

// notifyUnwanted notifies the peer that its answer is no longer needed.
func (s *requestSession[Q, A]) notifyUnwanted(request Q, answer A) {
	if m, ok := s.client.Unwanted(request, answer); ok {
		s.out.Put(m)
	}
}

// read receives answers until the session ends.
func (s *requestSession[Q, A]) read() {
	defer s.end()
	for {
		m, err := s.stream.Receive()
		answer, ok := m.(A)
		if err != nil || !ok {
			return
		}
		s.deliver(answer)
	}
}

// deliver delivers an answer to the request that waits for it.
func (s *requestSession[Q, A]) deliver(answer A) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	number := s.client.Number(answer)
	waiting, found := s.pending[number]
	delete(s.pending, number)
	switch {
	case found && waiting.answer != nil:
		waiting.answer <- answer
	case found:
		s.notifyUnwanted(waiting.request, answer)
	}
}

// end closes the session and the answer channels of all waiting requests.
func (s *requestSession[Q, A]) end() {
	_ = s.stream.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = true
	for number, waiting := range s.pending {
		delete(s.pending, number)
		if waiting.answer != nil {
			close(waiting.answer)
		}
	}
}
