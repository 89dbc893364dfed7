package agreement

import "github.com/oriolebend/oriolebend/internal/message"

// after says what must be durable before a message may leave.
type after string

const (
	// afterNothing is for messages that promise nothing.
	afterNothing after = "nothing"
	// afterHard waits for the term and vote.
	afterHard after = "hard"
	// afterAll waits for the log as well.
	afterAll after = "all"
)

// saving tracks what is not durable yet, and the messages that wait for it.
//
// A vote that is told before it is synced can be forgotten in a crash and
// given a second time: two leaders in one term, noticed as two members that
// apply different commands at one index. Holding the message back until
// Persisted makes the forgotten vote one that nobody has seen.
type saving struct {
	sequence     uint64
	hardSequence uint64
	done         uint64

	hardDirty bool
	// dirtyFrom is the first entry to write, zero if there is none.
	dirtyFrom uint64
	snapshot  *Snapshot

	// logs tells, for each Persist on its way, how far the log is durable
	// after it.
	logs []savedLog
	// fresh are the messages of the present event, held those of earlier ones.
	fresh []heldMessage
	held  []heldMessage
}

type savedLog struct {
	sequence uint64
	last     uint64
}

type heldMessage struct {
	sequence uint64
	send     Send
	what     after
}

// send lets a message leave once what it promises is durable.
func (s *State) send(to string, m message.Message, what after) {
	member, ok := s.Member(to)
	if !ok {
		// A member that this one does not know (any more) is still answered:
		// the runtime may know its address.
		member = message.Member{Name: to}
	}
	send := Send{To: member, Message: m}
	if what == afterNothing {
		s.emit(send)
		return
	}
	s.saving.fresh = append(s.saving.fresh, heldMessage{send: send, what: what})
}

// changeHard marks the term, vote or recovery as changed.
func (s *State) changeHard() { s.saving.hardDirty = true }

// appendEntries adds entries to the log, to be written.
func (s *State) appendEntries(entries ...message.LogEntry) {
	if len(entries) == 0 {
		return
	}
	s.log.append(entries...)
	s.markDirty(entries[0].Index)
	for _, e := range entries {
		if e.Type == message.EntryMembers {
			s.Members, s.MembersIndex = e.Members, e.Index
		}
	}
}

// truncateLog drops the entries from index on; others follow at once.
func (s *State) truncateLog(from uint64) {
	s.log.truncate(from)
	s.Synced = min(s.Synced, from-1)
	for i := range s.saving.logs {
		s.saving.logs[i].last = min(s.saving.logs[i].last, from-1)
	}
	s.markDirty(from)
	if s.MembersIndex >= from {
		s.adoptMembers()
	}
}

func (s *State) markDirty(from uint64) {
	if s.saving.dirtyFrom == 0 || from < s.saving.dirtyFrom {
		s.saving.dirtyFrom = from
	}
}

// save emits one Persist for all that the event changed, and lets messages go
// that need not wait.
func (s *State) save() {
	v := &s.saving
	if v.hardDirty || v.dirtyFrom != 0 || v.snapshot != nil {
		v.sequence++
		s.emit(s.persist())
	}
	for _, h := range v.fresh {
		h.sequence = v.needed(h.what)
		v.held = append(v.held, h)
	}
	v.fresh = nil
	s.release()
}

func (s *State) persist() Persist {
	v := &s.saving
	p := Persist{Sequence: v.sequence, Snapshot: v.snapshot}
	if v.hardDirty {
		hard := s.Hard
		p.Hard = &hard
		v.hardSequence = v.sequence
	}
	if v.dirtyFrom != 0 && v.dirtyFrom <= s.log.last() {
		p.Entries = s.log.slice(v.dirtyFrom, maxInt)
	}
	v.logs = append(v.logs, savedLog{sequence: v.sequence, last: s.log.last()})
	v.hardDirty, v.dirtyFrom, v.snapshot = false, 0, nil
	return p
}

const maxInt = int(^uint(0) >> 1)

// needed returns the Persist that a message must wait for.
func (v *saving) needed(what after) uint64 {
	if what == afterHard {
		return v.hardSequence
	}
	return v.sequence
}

// release lets go of the messages whose promise is durable, in order.
func (s *State) release() {
	v := &s.saving
	var rest []heldMessage
	for _, h := range v.held {
		if h.sequence > v.done {
			rest = append(rest, h)
			continue
		}
		s.emit(h.send)
	}
	v.held = rest
}

func (s *State) persisted(sequence uint64) {
	v := &s.saving
	v.done = max(v.done, sequence)
	for len(v.logs) > 0 && v.logs[0].sequence <= sequence {
		s.Synced = max(s.Synced, v.logs[0].last)
		v.logs = v.logs[1:]
	}
	s.endRecovery()
	s.ownVoteSaved()
	if s.Role == Leader {
		s.found()
		s.advanceCommit()
	}
}
