package quota

import (
	"context"
	"fmt"
	"sync"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
)

// session is one open session with a control VM that counts. A session of its own for each
// question would cost both sides many times what the question does.
type session struct {
	stream peer.Stream
	out    *peer.Outbox

	mutex sync.Mutex
	last  uint64
	// asked holds the questions that wait for an answer.
	asked map[uint64]question
	ended bool
}

// question is one that waits for its answer.
type question struct {
	ask    message.QuotaAsk
	answer chan message.QuotaAnswer
}

func newSession(s peer.Stream) *session {
	return &session{stream: s, out: peer.NewOutbox(s), asked: map[uint64]question{}}
}

// EndedError is a session that has ended before its answer came.
type EndedError struct{ Peer string }

// Error implements error.
func (e *EndedError) Error() string {
	return fmt.Sprintf("quota: the session with %s has ended", e.Peer)
}

// ask asks once. A question that is not waited for any more is remembered: what is granted to
// it is given back.
func (s *session) ask(ctx context.Context, ask message.QuotaAsk) (message.QuotaAnswer, error) {
	q, open := s.put(ask)
	if !open {
		return message.QuotaAnswer{}, &EndedError{Peer: s.stream.Peer()}
	}
	select {
	case answer, came := <-q.answer:
		if !came {
			return answer, &EndedError{Peer: s.stream.Peer()}
		}
		return answer, nil
	case <-ctx.Done():
		return message.QuotaAnswer{}, s.abandon(q)
	}
}

func (s *session) put(ask message.QuotaAsk) (question, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ended {
		return question{}, false
	}
	s.last++
	ask.ID = s.last
	q := question{ask: ask, answer: make(chan message.QuotaAnswer, 1)}
	s.asked[ask.ID] = q
	s.out.Put(ask)
	return q, true
}

// abandon lets go of a question that has waited for too long.
func (s *session) abandon(q question) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if waiting, found := s.asked[q.ask.ID]; found {
		waiting.answer = nil
		s.asked[q.ask.ID] = waiting
		return context.DeadlineExceeded
	}
	if answer, came := <-q.answer; came && answer.Granted { // it came in this moment
		s.out.Put(message.QuotaAsk{Organisation: q.ask.Organisation, Cost: q.ask.Cost, Return: true})
	}
	return context.DeadlineExceeded
}

// read takes answers until the session ends.
func (s *session) read() {
	defer s.end()
	for {
		m, err := s.stream.Receive()
		answer, ok := m.(message.QuotaAnswer)
		if err != nil || !ok {
			return
		}
		s.take(answer)
	}
}

func (s *session) take(answer message.QuotaAnswer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	q, found := s.asked[answer.ID]
	delete(s.asked, answer.ID)
	switch {
	case found && q.answer != nil:
		q.answer <- answer
	case found && answer.Granted:
		s.out.Put(message.QuotaAsk{Organisation: q.ask.Organisation, Cost: q.ask.Cost, Return: true})
	}
}

func (s *session) giveBack(organisation string, cost float64) {
	s.out.Put(message.QuotaAsk{Organisation: organisation, Cost: cost, Return: true})
}

// end tells all that wait that no answer will come.
func (s *session) end() {
	_ = s.stream.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = true
	for id, q := range s.asked {
		delete(s.asked, id)
		if q.answer != nil {
			close(q.answer)
		}
	}
}
