package agreement

import "github.com/oriolebend/oriolebend/internal/message"

// chunkProgress is the progress of a snapshot transfer to one member. sent is the tick at which
// the last chunk was sent.
type chunkProgress struct {
	meta   SnapshotMeta
	offset int64
	sent   uint64
}

// incoming is a snapshot that is being received in chunks.
type incoming struct {
	index, term uint64
	data        []byte
}

// handleSnapshotMade records a new snapshot of this member and compacts the log.
func (s *State) handleSnapshotMade(meta SnapshotMeta) {
	if meta.Index <= s.Snapshot.Index || meta.Index > s.Applying {
		return
	}
	s.previous, s.Snapshot = s.Snapshot, meta
	through := s.lastCompactable()
	if through <= s.log.base {
		return
	}
	s.log.compact(through)
	s.emit(Compact{Through: through})
}

// lastCompactable returns the index of the last entry that may be dropped.
//
// The entries after a snapshot that is being sent are kept, because the receiver needs them next.
// If they were dropped, it would need the next snapshot, and it would never catch up if snapshots
// are made faster than sent.
func (s *State) lastCompactable() uint64 {
	through := s.Snapshot.Index
	for kept, bytes := uint64(0), 0; through > s.log.base; through-- {
		kept++
		bytes += entryBytes(s.log.at(through))
		if kept > s.Config.TailEntries || bytes > s.Config.TailBytes {
			break
		}
	}
	for _, m := range s.Members {
		p := s.lead.progress[m.Name]
		if p != nil && p.chunk != nil && s.sendable(p.chunk.meta) && s.Active(m.Name) {
			through = min(through, p.chunk.meta.Index)
		}
	}
	return through
}

// sendable reports whether a snapshot is still stored on disk.
func (s *State) sendable(meta SnapshotMeta) bool {
	return meta.Index == s.Snapshot.Index || meta.Index == s.previous.Index
}

// beginChunks starts to send the newest snapshot to a member whose next entry is no longer held.
func (s *State) beginChunks(m message.Member, p *progress) {
	p.chunk = &chunkProgress{meta: s.Snapshot}
	s.sendChunk(m, p)
}

func (s *State) sendChunk(m message.Member, p *progress) {
	p.chunk.sent = s.now
	s.emit(SendChunk{
		To: m,
		Chunk: message.Chunk{
			Agreement: s.header(),
			Index:     p.chunk.meta.Index,
			IndexTerm: p.chunk.meta.Term,
			Members:   p.chunk.meta.Members,
			Offset:    p.chunk.offset,
			LogEnd:    s.log.last(),
			Round:     s.lead.round,
		},
		Bytes: s.Config.ChunkBytes,
	})
}

// retryChunk sends a chunk again that was not answered within the election timeout, or restarts the
// transfer if that snapshot is no longer stored.
func (s *State) retryChunk(m message.Member, p *progress) {
	if s.now < p.chunk.sent+s.electionTicks() {
		return
	}
	if !s.sendable(p.chunk.meta) {
		p.chunk = &chunkProgress{meta: s.Snapshot}
	}
	s.sendChunk(m, p)
}

func (s *State) handleChunkAnswer(m message.ChunkAnswer) {
	p := s.lead.progress[m.From]
	if s.Role != Leader || p == nil {
		return
	}
	s.recordAck(p, m.Agreement, m.Round)
	if p.chunk == nil || p.chunk.meta.Index != m.Index {
		return
	}
	if m.Done {
		p.chunk = nil
		p.match = max(p.match, m.Index)
		p.matchRound = max(p.matchRound, m.Round.Number)
		p.next = p.match + 1
		p.probing = true
		s.matchAdvanced(m.From, p)
		return
	}
	if m.Offset == p.chunk.offset {
		// This is a duplicate answer; a chunk sent for it would duplicate every further chunk.
		return
	}
	p.chunk.offset = m.Offset
	if !s.sendable(p.chunk.meta) {
		p.chunk = &chunkProgress{meta: s.Snapshot}
	}
	member, _ := s.Member(m.From)
	s.sendChunk(member, p)
}

// handleChunk handles a part of a leader's snapshot.
func (s *State) handleChunk(m message.Chunk) {
	if !s.acceptLeader(m.Agreement) {
		return
	}
	answer := message.ChunkAnswer{Agreement: s.header(), Index: m.Index, Round: m.Round}
	if term, ok := s.log.term(m.Index); m.Index <= s.Commit || (ok && term == m.IndexTerm) {
		// The entries after the snapshot may already count for a quorum; replacing the log by the
		// snapshot would lose them.
		s.Commit = max(s.Commit, m.Index)
		answer.Done = true
		s.send(m.From, answer, afterAll)
		return
	}
	in := &s.incoming
	if in.index != m.Index || in.term != m.IndexTerm {
		*in = incoming{index: m.Index, term: m.IndexTerm}
	}
	if m.Offset == int64(len(in.data)) {
		in.data = append(in.data, m.Data...)
		if m.Last {
			s.installSnapshot(m)
			answer.Done = true
		}
	}
	answer.Offset = int64(len(in.data))
	s.send(m.From, answer, afterAll)
}

// installSnapshot replaces the log and the state machine by a complete snapshot.
func (s *State) installSnapshot(m message.Chunk) {
	snapshot := Snapshot{
		Meta: SnapshotMeta{Index: m.Index, Term: m.IndexTerm, Members: m.Members},
		Data: s.incoming.data,
	}
	s.incoming = incoming{}
	s.beginRecovery(m.LogEnd, true)
	s.previous, s.Snapshot = s.Snapshot, snapshot.Meta
	s.log = entryLog{base: m.Index, baseTerm: m.IndexTerm}
	s.Synced = 0
	for i := range s.saving.logs {
		s.saving.logs[i].last = 0
	}
	s.saving.dirtyFrom = 0
	s.saving.snapshot = &snapshot
	s.Commit = m.Index
	s.Applying = m.Index
	s.adoptMembers()
	s.emit(Restore{Snapshot: snapshot})
}
