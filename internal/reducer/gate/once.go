package gate

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// closedAttempt is one attempt that is never let through again.
type closedAttempt struct {
	attempt message.Attempt
	at      time.Time
	// endedAt is when its room was given back.
	endedAt time.Time
	// held is true if a reservation of this incarnation was for it.
	held bool
	// used is true if its work went to the server.
	used bool
}

// ran says whether the attempt ran at this gate. One that no reservation was
// for may have run before the gate restarted.
func (c closedAttempt) ran() oriolebend.Ran {
	if c.held && !c.used {
		return oriolebend.RanNo
	}
	return oriolebend.RanUnknown
}

// reason names why the attempt is refused.
func (c closedAttempt) reason() oriolebend.Reason {
	if c.used {
		return oriolebend.ReasonAttemptUsed
	}
	return oriolebend.ReasonAttemptClosed
}

// closedMemory remembers the attempts that are closed.
//
// Without it a message that was sent before the attempt was given up and
// arrives after it would run work whose caller was told "not run", or run a
// call twice. It is bounded in time and number; within a session messages
// can't overtake each other, so only a session's first message can be late,
// and that is a Reserve, which runs nothing.
//
// It does not survive a restart of the sidecar and needn't: every session dies
// with the process, work is let through only within a session whose Reserve
// this incarnation answered, and an entry sends the work of a Once attempt
// over one session only, the one that granted it.
type closedMemory struct {
	keepFor time.Duration
	bound   int
	known   map[message.Attempt]closedAttempt
	// line holds the attempts in the order in which they were closed, from
	// first on.
	line  []closedAttempt
	first int
}

func newClosedMemory(c Config) closedMemory {
	return closedMemory{
		keepFor: c.ClosedFor,
		bound:   c.ClosedBound,
		known:   map[message.Attempt]closedAttempt{},
	}
}

// find returns what is remembered of an attempt.
func (c *closedMemory) find(a message.Attempt) (closedAttempt, bool) {
	known, found := c.known[a]
	return known, found
}

// add remembers an attempt as closed; one that was used stays used.
func (c *closedMemory) add(s *State, a message.Attempt, used bool) {
	held := s.attempts[a] != nil
	if known, found := c.known[a]; found {
		known.used = known.used || used
		c.known[a] = known
		return
	}
	known := closedAttempt{attempt: a, at: s.now, endedAt: s.now, held: held, used: used}
	c.known[a] = known
	c.line = append(c.line, known)
	if len(c.line)-c.first > c.bound {
		s.count("closedForgotten", "")
		c.drop()
	}
}

// ended notes when the room of a closed attempt was given back.
func (c *closedMemory) ended(a message.Attempt, now time.Time) {
	if known, found := c.known[a]; found {
		known.endedAt = now
		c.known[a] = known
	}
}

// forget drops what is older than the memory keeps.
func (c *closedMemory) forget(s *State) {
	for c.first < len(c.line) && s.now.Sub(c.line[c.first].at) > c.keepFor {
		c.drop()
	}
}

// drop forgets the oldest attempt.
func (c *closedMemory) drop() {
	delete(c.known, c.line[c.first].attempt)
	c.line[c.first] = closedAttempt{}
	c.first++
	if c.first*2 > len(c.line) {
		c.line = append([]closedAttempt(nil), c.line[c.first:]...)
		c.first = 0
	}
}
