package agreement

import "github.com/oriolebend/oriolebend/internal/message"

// wellFormed tells whether a message can be what a leader sends.
//
// A damaged message whose entries do not follow each other would be taken into
// the log, and every index after it would name another entry than elsewhere.
func wellFormed(m message.Message) bool {
	switch m := m.(type) {
	case message.Append:
		return followOn(m)
	case message.Chunk:
		return m.Index > 0 && m.Offset >= 0 && m.IndexTerm <= m.Term && len(m.Members) > 0
	}
	return true
}

func followOn(m message.Append) bool {
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
