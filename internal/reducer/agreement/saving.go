package agreement

import "github.com/oriolebend/oriolebend/internal/message"

// sendCondition is the state that must be durable before a message may be sent.
type sendCondition string

const (
	// afterNothing is for messages that promise nothing.
	afterNothing sendCondition = "nothing"
	// afterHardState waits for the term and vote.
	afterHardState sendCondition = "hard"
	// afterAll waits for the log as well.
	afterAll sendCondition = "all"
)

// saving tracks the changes that are not durable yet, and the messages that wait for them.
//
// A vote that is sent before it is synced can be forgotten in a crash and granted a second time.
// That would give two leaders in one term, and members that apply different commands at one
// index. Since the message is held until Persisted, no other member has seen a vote that is
// forgotten.
type saving struct {
	// sequence is the Sequence of the newest Persist, hardSequence the one of the newest Persist
	// with the hard state, and syncedSequence the one of the newest Persist that is synced.
	sequence       uint64
	hardSequence   uint64
	syncedSequence uint64

	hardDirty bool
	// dirtyFrom is the index of the first entry to write, zero if there is none.
	dirtyFrom uint64
	snapshot  *Snapshot

	// logs holds, for each Persist in progress, the last index that is durable after it.
	logs []savedLog
	// current are the messages of the current event, held those of earlier ones.
	current []heldMessage
	held    []heldMessage
}

type savedLog struct {
	sequence uint64
	last     uint64
}

type heldMessage struct {
	sequence  uint64
	send      Send
	condition sendCondition
}

// send emits a message as soon as its condition is met.
func (s *State) send(to string, m message.Message, condition sendCondition) {
	member, ok := s.Member(to)
	if !ok {
		// A member that is not, or no longer, in Members is still answered: the runtime may know
		// its address.
		member = message.Member{Name: to}
	}
	send := Send{To: member, Message: m}
	if condition == afterNothing {
		s.emit(send)
		return
	}
	s.saving.current = append(s.saving.current, heldMessage{send: send, condition: condition})
}

// markHardStateDirty marks the hard state as changed.
func (s *State) markHardStateDirty() { s.saving.hardDirty = true }

// appendEntries adds entries to the log and marks them to be written.
func (s *State) appendEntries(entries ...message.LogEntry) {
	if len(entries) == 0 {
		return
	}
	s.log.append(entries...)
	s.markLogDirty(entries[0].Index)
	for _, e := range entries {
		if e.Type == message.EntryMembers {
			s.Members, s.MembersIndex = e.Members, e.Index
		}
	}
}

// truncateLog drops the entries from index from on; the caller appends others at once.
func (s *State) truncateLog(from uint64) {
	s.log.truncate(from)
	s.Synced = min(s.Synced, from-1)
	for i := range s.saving.logs {
		s.saving.logs[i].last = min(s.saving.logs[i].last, from-1)
	}
	s.markLogDirty(from)
	if s.MembersIndex >= from {
		s.adoptMembers()
	}
}

func (s *State) markLogDirty(from uint64) {
	if s.saving.dirtyFrom == 0 || from < s.saving.dirtyFrom {
		s.saving.dirtyFrom = from
	}
}

// save emits one Persist for all changes of the event, and sends the messages that need not wait.
func (s *State) save() {
	v := &s.saving
	if v.hardDirty || v.dirtyFrom != 0 || v.snapshot != nil {
		v.sequence++
		s.emit(s.persist())
	}
	for _, h := range v.current {
		h.sequence = v.requiredSequence(h.condition)
		v.held = append(v.held, h)
	}
	v.current = nil
	s.sendReady()
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

// requiredSequence returns the sequence of the Persist that a message must wait for.
func (v *saving) requiredSequence(condition sendCondition) uint64 {
	if condition == afterHardState {
		return v.hardSequence
	}
	return v.sequence
}

// sendReady sends the held messages whose condition is met, in order.
func (s *State) sendReady() {
	v := &s.saving
	var rest []heldMessage
	for _, h := range v.held {
		if h.sequence > v.syncedSequence {
			rest = append(rest, h)
			continue
		}
		s.emit(h.send)
	}
	v.held = rest
}

func (s *State) handlePersisted(sequence uint64) {
	v := &s.saving
	v.syncedSequence = max(v.syncedSequence, sequence)
	for len(v.logs) > 0 && v.logs[0].sequence <= sequence {
		s.Synced = max(s.Synced, v.logs[0].last)
		v.logs = v.logs[1:]
	}
	s.endRecovery()
	s.countOwnVote()
	if s.Role == Leader {
		s.finishFounding()
		s.advanceCommit()
	}
}
