package agreement

import "github.com/oriolebend/oriolebend/internal/message"

// entryLog is the part of the log that is held in memory: the entries after base. Messages may
// share slices of it, so it never overwrites an element that it has returned.
type entryLog struct {
	base     uint64
	baseTerm uint64
	entries  []message.LogEntry
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of an entry, and false if the entry is not held.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) at(index uint64) message.LogEntry {
	return l.entries[index-l.base-1]
}

// slice returns the entries from index from on, as many as fit into the given number of bytes but
// at least one.
func (l *entryLog) slice(from uint64, bytes int) []message.LogEntry {
	rest := l.entries[from-l.base-1:]
	size := 0
	for i := range rest {
		size += entryBytes(rest[i])
		if size > bytes && i > 0 {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

func (l *entryLog) append(entries ...message.LogEntry) {
	l.entries = append(l.entries, entries...)
}

// truncate drops the entries from index from on.
func (l *entryLog) truncate(from uint64) {
	keep := from - l.base - 1
	l.entries = l.entries[:keep:keep]
}

// compact drops the entries up to and including through.
func (l *entryLog) compact(through uint64) {
	if through <= l.base {
		return
	}
	term, _ := l.term(through)
	rest := l.entries[through-l.base:]
	l.entries = append([]message.LogEntry(nil), rest...)
	l.base, l.baseTerm = through, term
}

// entryOverheadBytes is the size that an entry counts for besides its command.
const entryOverheadBytes = 48

func entryBytes(e message.LogEntry) int {
	return len(e.Command) + entryOverheadBytes
}
