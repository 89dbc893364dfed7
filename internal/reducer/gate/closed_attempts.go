package gate

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// closedAttempt is an attempt that must never be let through again.
type closedAttempt struct {
	attempt  message.Attempt
	closedAt time.Time
	// endedAt is when its capacity was freed.
	endedAt time.Time
	// reserved is true if this incarnation of the gate had a reservation for
	// it.
	reserved bool
	// used is true if its work was sent to the server.
	used bool
}

// ran returns whether the attempt ran at this gate. An attempt without a
// reservation may have run before the gate restarted.
func (c closedAttempt) ran() oriolebend.Ran {
	if c.reserved && !c.used {
		return oriolebend.RanNo
	}
	return oriolebend.RanUnknown
}

// reason returns the reason for which the attempt is refused.
func (c closedAttempt) reason() oriolebend.Reason {
	if c.used {
		return oriolebend.ReasonAttemptUsed
	}
	return oriolebend.ReasonAttemptClosed
}

// closedAttempts remembers the attempts that are closed.
//
// Without it, a message that was sent before its attempt was given up and that
// arrives later would run work whose caller was answered "not run", or would
// run a call twice. It is bounded in time and number. Messages of one session
// can't overtake each other, so only a session's first message can be late, and
// that is a Reserve, which runs nothing.
//
// It does not survive a restart of the sidecar and need not: every session ends
// with the process, work is let through only within a session whose Reserve
// this incarnation answered, and an entry sends the work of a Once attempt only
// over the session that granted it.
type closedAttempts struct {
	keepFor    time.Duration
	maxRecords int
	records    map[message.Attempt]closedAttempt
	// ordered holds the attempts in the order in which they were closed,
	// beginning at index first.
	ordered []closedAttempt
	first   int
}

func newClosedAttempts(c Config) closedAttempts {
	return closedAttempts{
		keepFor:    c.ClosedFor,
		maxRecords: c.ClosedBound,
		records:    map[message.Attempt]closedAttempt{},
	}
}

// find returns the record of a closed attempt.
func (c *closedAttempts) find(a message.Attempt) (closedAttempt, bool) {
	record, found := c.records[a]
	return record, found
}

// add records an attempt as closed. One that was used stays used.
func (c *closedAttempts) add(s *State, a message.Attempt, used bool) {
	reserved := s.attempts[a] != nil
	if record, found := c.records[a]; found {
		record.used = record.used || used
		c.records[a] = record
		return
	}
	record := closedAttempt{attempt: a, closedAt: s.now, endedAt: s.now, reserved: reserved, used: used}
	c.records[a] = record
	c.ordered = append(c.ordered, record)
	if len(c.ordered)-c.first > c.maxRecords {
		s.count("closedForgotten", "")
		c.removeOldest()
	}
}

// markEnded records when the capacity of a closed attempt was freed.
func (c *closedAttempts) markEnded(a message.Attempt, now time.Time) {
	if record, found := c.records[a]; found {
		record.endedAt = now
		c.records[a] = record
	}
}

// expire removes the attempts that were closed longer than keepFor ago.
func (c *closedAttempts) expire(s *State) {
	for c.first < len(c.ordered) && s.now.Sub(c.ordered[c.first].closedAt) > c.keepFor {
		c.removeOldest()
	}
}

// removeOldest removes the oldest attempt.
func (c *closedAttempts) removeOldest() {
	delete(c.records, c.ordered[c.first].attempt)
	c.ordered[c.first] = closedAttempt{}
	c.first++
	if c.first*2 > len(c.ordered) {
		c.ordered = append([]closedAttempt(nil), c.ordered[c.first:]...)
		c.first = 0
	}
}
