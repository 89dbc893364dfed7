package record

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// settleOrphan settles a record whose owner's lease ended. A repeatable request
// becomes failed and retryable. One that may run at most once becomes notRun if
// it was not dispatched, else unknown.
func (s *State) settleOrphan(r *record, e *Expired) {
	switch {
	case !r.once:
		r.retryable = true
		r.reason = oriolebend.ReasonLeaseEnded
		s.setState(r, message.RecordFailed)
		e.Failed++
	case r.state == message.RecordClaimed:
		r.reason = oriolebend.ReasonLeaseEnded
		s.setState(r, message.RecordNotRun)
		e.NotRun++
	default:
		r.reason = oriolebend.ReasonOutcomeLost
		s.setState(r, message.RecordUnknown)
		e.Unknown++
	}
}

// expire ends leases, then removes old answers, then removes old records, each
// step within the limit. It removes nothing from the lists of open and unknown
// records.
func (s *State) expire(x Expire) Expired {
	var e Expired
	s.expireLeases(x.Limit, &e)
	s.expireAnswers(s.settledOnce, x.Limit, &e)
	s.expireAnswers(s.settledRepeatable, x.Limit, &e)
	s.removeSettled(s.settledOnce, s.limits.KeepRecords, x.Limit, &e)
	s.removeSettled(s.settledRepeatable, s.limits.KeepRepeatable, x.Limit, &e)
	return e
}

// expireAnswers removes answers that are older than their retention.
func (s *State) expireAnswers(l *list, limit int, e *Expired) {
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

// evictAnswers removes the oldest answers until size more bytes fit. Retries
// come soon, so new answers are more likely to be needed than old ones.
func (s *State) evictAnswers(size int64) {
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

// clearAnswer removes the answer of a record and its bytes from the sum.
func (s *State) clearAnswer(r *record) {
	s.answerBytes -= answerBytes(r.answer)
	r.answer = nil
}

// dropAnswer removes the answer of a record and sets the reason answerNotKept,
// unless the record has another reason.
func (s *State) dropAnswer(r *record) {
	s.clearAnswer(r)
	if r.reason == "" {
		r.reason = oriolebend.ReasonAnswerNotKept
	}
}

// removeSettled removes the records of a list that were settled at least keep
// ago, at most limit records.
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

func (s *State) remove(r *record) {
	r.list.remove(r)
	s.clearAnswer(r)
	s.recordBytes -= r.memoryBytes()
	delete(s.records, scopeDigest(r.scope))
	delete(s.byID, digestOf(r.requestID))
	for _, e := range r.earlierIDs {
		delete(s.byID, digestOf(e.ID))
	}
}
