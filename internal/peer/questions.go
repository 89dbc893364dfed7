package peer

import (
	"context"
	"fmt"
	"sync"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Questions asks peers and keeps one session with each of them for all questions: one of its
// own for each question would cost both sides many times what the question does. Its zero
// value with the exported fields set is ready.
type Questions[Q, A message.Message] struct {
	Dialer Dialer
	// Numbered returns a question under a number, and Number is that of the question that
	// an answer answers.
	Numbered func(q Q, number uint64) Q
	Number   func(a A) uint64
	// Unwanted returns what a peer is told whose answer nobody waits for any more.
	Unwanted func(q Q, a A) (message.Message, bool)

	mutex    sync.Mutex
	sessions map[string]*questionSession[Q, A]
}

// SessionEndedError is a session that has ended before its answer came.
type SessionEndedError struct{ Peer string }

// Error implements error.
func (e *SessionEndedError) Error() string {
	return fmt.Sprintf("peer: the session with %s has ended", e.Peer)
}

// Ask asks the peer at an address. Errors are those of the dialer, a *SessionEndedError, and
// that of ctx.
func (q *Questions[Q, A]) Ask(ctx context.Context, address string, question Q) (A, error) {
	s, err := q.session(ctx, address)
	if err != nil {
		var none A
		return none, err
	}
	return s.ask(ctx, question)
}

// Tell sends a message that needs no answer, if there is a session with the peer.
func (q *Questions[Q, A]) Tell(address string, m message.Message) {
	q.mutex.Lock()
	s := q.sessions[address]
	q.mutex.Unlock()
	if s != nil {
		s.out.Put(m)
	}
}

// Drop ends the session with a peer: it may be one with a process that has been replaced.
// Those who wait there are told so.
func (q *Questions[Q, A]) Drop(address string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if s := q.sessions[address]; s != nil {
		delete(q.sessions, address)
		go s.end()
	}
}

// Close ends all sessions.
func (q *Questions[Q, A]) Close() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, s := range q.sessions {
		go s.end()
	}
}

// session returns the open session with a peer, and opens one if there is none.
func (q *Questions[Q, A]) session(ctx context.Context, address string) (*questionSession[Q, A], error) {
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
		q.sessions = map[string]*questionSession[Q, A]{}
	}
	s = &questionSession[Q, A]{questions: q, stream: stream, out: NewOutbox(stream), asked: map[uint64]asked[Q, A]{}}
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

// AnswerQuestions answers the questions of a session until it or ctx ends, or a message comes that
// is no question. The second result of answer is false for one that needs no answer.
func AnswerQuestions[Q, A message.Message](ctx context.Context, s Stream, answer func(Q) (A, bool)) {
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	for {
		m, err := s.Receive()
		question, ok := m.(Q)
		if err != nil || !ok {
			return
		}
		if a, answers := answer(question); answers && s.Send(a) != nil {
			return
		}
	}
}

// questionSession is one open session.
type questionSession[Q, A message.Message] struct {
	questions *Questions[Q, A]
	stream    Stream
	out       *Outbox

	mutex sync.Mutex
	last  uint64
	// asked holds the questions that wait for an answer.
	asked map[uint64]asked[Q, A]
	ended bool
}

// asked is a question that was asked, and where its answer is waited for; nil if nobody does
// any more.
type asked[Q, A message.Message] struct {
	question Q
	answer   chan A
}

// ask asks once. A question that is not waited for any more is remembered until its answer
// comes, which is told to be unwanted.
func (s *questionSession[Q, A]) ask(ctx context.Context, question Q) (A, error) {
	var none A
	number, answers, open := s.put(question)
	if !open {
		return none, &SessionEndedError{Peer: s.stream.Peer()}
	}
	select {
	case answer, came := <-answers:
		if !came {
			return none, &SessionEndedError{Peer: s.stream.Peer()}
		}
		return answer, nil
	case <-ctx.Done():
		s.abandon(number, question, answers)
		return none, ctx.Err()
	}
}

func (s *questionSession[Q, A]) put(question Q) (uint64, <-chan A, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ended {
		return 0, nil, false
	}
	s.last++
	answers := make(chan A, 1)
	s.asked[s.last] = asked[Q, A]{question: question, answer: answers}
	s.out.Put(s.questions.Numbered(question, s.last))
	return s.last, answers, true
}

// abandon lets go of a question that has waited for too long.
func (s *questionSession[Q, A]) abandon(number uint64, question Q, answers <-chan A) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, waits := s.asked[number]; waits {
		s.asked[number] = asked[Q, A]{question: question}
		return
	}
	if answer, came := <-answers; came { // it came in this moment
		s.unwanted(question, answer)
	}
}

func (s *questionSession[Q, A]) unwanted(question Q, answer A) {
	if m, tell := s.questions.Unwanted(question, answer); tell {
		s.out.Put(m)
	}
}

// read takes answers until the session ends.
func (s *questionSession[Q, A]) read() {
	defer s.end()
	for {
		m, err := s.stream.Receive()
		answer, ok := m.(A)
		if err != nil || !ok {
			return
		}
		s.take(answer)
	}
}

func (s *questionSession[Q, A]) take(answer A) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	number := s.questions.Number(answer)
	waiting, found := s.asked[number]
	delete(s.asked, number)
	switch {
	case found && waiting.answer != nil:
		waiting.answer <- answer
	case found:
		s.unwanted(waiting.question, answer)
	}
}

// end tells all that wait that no answer will come.
func (s *questionSession[Q, A]) end() {
	_ = s.stream.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = true
	for number, waiting := range s.asked {
		delete(s.asked, number)
		if waiting.answer != nil {
			close(waiting.answer)
		}
	}
}
