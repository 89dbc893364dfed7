package record

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// orphan settles a record whose owner's lease ended.
func (s *State) orphan(r *request, e *Expired) {
	switch {
	case !r.once:
		r.retryable = true
		r.reason = oriolebend.ReasonLeaseEnded
		s.move(r, message.RecordFailed)
		e.Failed++
	case r.state == message.RecordClaimed:
		r.reason = oriolebend.ReasonLeaseEnded
		s.move(r, message.RecordNotRun)
		e.NotRun++
	default:
		r.reason = oriolebend.ReasonOutcomeLost
		s.move(r, message.RecordUnknown)
		e.Unknown++
	}
}

// expire ends leases, then drops old answers, then removes old records, each
// within the limit. Records that are open or unknown are in none of the lists
// that it removes from.
func (s *State) expire(x Expire) Expired {
	var e Expired
	s.endLeases(x.Limit, &e)
	s.dropAnswers(s.settledOnce, x.Limit, &e)
	s.dropAnswers(s.settledRepeatable, x.Limit, &e)
	s.removeSettled(s.settledOnce, s.limits.KeepRecords, x.Limit, &e)
	s.removeSettled(s.settledRepeatable, s.limits.KeepRepeatable, x.Limit, &e)
	return e
}

// dropAnswers forgets answers that are older than their retention.
func (s *State) dropAnswers(l *list, limit int, e *Expired) {
	end := s.now - nanos(s.limits.KeepAnswers)
	for r := l.oldestAnswer(); r != nil && r.changed <= end; r = l.oldestAnswer() {
		if limit == 0 {
			e.More = true
			return
		}
		s.dropAnswer(r)
		limit--
		e.Answers++
	}
}

// makeRoom forgets the oldest answers until size more bytes fit: retries come
// soon, so the newest answer is worth more than an old one.
func (s *State) makeRoom(size int64) {
	for s.answerBytes+size > s.limits.MaxAnswersBytes {
		r, other := s.settledOnce.oldestAnswer(), s.settledRepeatable.oldestAnswer()
		if r == nil || (other != nil && other.changed < r.changed) {
			r = other
		}
		if r == nil {
			return
		}
		s.dropAnswer(r)
		s.evicted++
	}
}

// drop gives the memory of an answer back.
func (s *State) drop(r *request) {
	s.answerBytes -= answerBytes(r.answer)
	r.answer = nil
}

func (s *State) dropAnswer(r *request) {
	s.drop(r)
	if r.reason == "" {
		r.reason = oriolebend.ReasonAnswerNotKept
	}
}

func (s *State) removeSettled(l *list, keep time.Duration, limit int, e *Expired) {
	end := s.now - nanos(keep)
	for l.head != nil && l.head.changed <= end {
		if limit == 0 {
			e.More = true
			return
		}
		s.remove(l.head)
		limit--
		e.Records++
	}
}

func (s *State) remove(r *request) {
	r.in.remove(r)
	s.drop(r)
	s.bytes -= r.cost()
	delete(s.records, scopeHash(r.scope))
	delete(s.ids, hashOf(r.requestID))
	for _, e := range r.earlier {
		delete(s.ids, hashOf(e.ID))
	}
}
