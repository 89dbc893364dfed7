package agreement

import "github.com/oriolebend/oriolebend/internal/message"

// wellFormed reports whether a message is consistent in itself, as a leader would send it.
//
// If a damaged message whose entries are not consecutive entered the log, every index after it
// would denote another entry than on the other members.
func wellFormed(m message.Message) bool {
	switch m := m.(type) {
	case message.Append:
		return consecutiveEntries(m)
	case message.Chunk:
		return m.Index > 0 && m.Offset >= 0 && m.IndexTerm <= m.Term && len(m.Members) > 0
	}
	return true
}

func consecutiveEntries(m message.Append) bool {
	term := m.PrevTerm
	for i, e := range m.Entries {
		if e.Index != m.PrevIndex+1+uint64(i) || e.Term < term || e.Term > m.Term {
			return false
		}
		if e.Type == message.EntryMembers && len(e.Members) == 0 {
			return false
		}
		term = e.Term
	}
	return true
}
