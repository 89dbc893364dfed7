package declared

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// snapshotFormat is the version of the snapshot format. It is incremented for a
// change that an older program could not read.
const snapshotFormat = 1

type snapshot struct {
	Format    int                     `cbor:"format"`
	Revision  uint64                  `cbor:"revision"`
	Floor     uint64                  `cbor:"floor"`
	Resources []oriolebend.Resource   `cbor:"resources"`
	Servers   []snapshotServer        `cbor:"servers"`
	Deletions []snapshotDeletion      `cbor:"buried"`
	Answers   []snapshotAnswer        `cbor:"answers"`
	Audit     []oriolebend.AuditEntry `cbor:"audit"`
}

type snapshotServer struct {
	Revision uint64            `cbor:"revision"`
	Server   oriolebend.Server `cbor:"server"`
}

type snapshotDeletion struct {
	Revision    uint64                  `cbor:"revision"`
	Kind        oriolebend.ResourceKind `cbor:"kind,omitempty"`
	Name        string                  `cbor:"name,omitempty"`
	Server      string                  `cbor:"server,omitempty"`
	Incarnation uint64                  `cbor:"incarnation,omitempty"`
	Interrupted bool                    `cbor:"interrupted,omitempty"`
}

type snapshotAnswer struct {
	Key    answerKey `cbor:"key"`
	Answer answer    `cbor:"answer"`
}

// SnapshotError is returned for a snapshot that can't be read.
type SnapshotError struct {
	// Format is the format of the snapshot; zero if it could not be decoded.
	Format int
	Cause  error
}

// Error implements error.
func (e *SnapshotError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("declared snapshot: %v", e.Cause)
	}
	return fmt.Sprintf("declared snapshot of format %d, this program reads %d", e.Format, snapshotFormat)
}

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Cause }

// Snapshot encodes the complete state. Equal states have equal snapshots.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{
		Format:    snapshotFormat,
		Revision:  s.view.Revision,
		Floor:     s.feed.floor,
		Resources: s.view.List(""),
		Audit:     s.keptAudit(),
	}
	for _, server := range s.view.Members() {
		revision := s.feed.latest[serverFeedKey(server.Name)]
		snap.Servers = append(snap.Servers, snapshotServer{Revision: revision, Server: server})
	}
	for _, e := range s.feed.deletions {
		snap.Deletions = append(snap.Deletions, s.deletionOf(e))
	}
	for _, key := range s.answers.queue {
		snap.Answers = append(snap.Answers, snapshotAnswer{Key: key, Answer: s.answers.byOrder[key]})
	}
	return encoding.Marshal(snap)
}

func (s *State) deletionOf(e feedEntry) snapshotDeletion {
	return snapshotDeletion{
		Revision: e.revision, Kind: e.key.resource.Kind, Name: e.key.resource.Name,
		Server: e.key.server, Incarnation: s.endedIncarnations[e.key.server],
		Interrupted: s.view.Interrupted[e.key.server],
	}
}

// Restore replaces the complete state by that of a snapshot. Its error is a
// *SnapshotError and leaves the state unchanged.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := cbor.Unmarshal(data, &snap); err != nil {
		return &SnapshotError{Cause: err}
	}
	if snap.Format != snapshotFormat {
		return &SnapshotError{Format: snap.Format}
	}
	restored := New()
	restored.view.Revision = snap.Revision
	restored.audit = snap.Audit
	restored.restoreFeed(snap)
	for _, kept := range snap.Answers {
		restored.answers.insert(kept.Key, kept.Answer)
	}
	*s = *restored
	return nil
}

func (s *State) restoreFeed(snap snapshot) {
	var entries []feedEntry
	for _, r := range snap.Resources {
		s.view.Resources[r.Key()] = r
		entries = append(entries, feedEntry{revision: r.Revision, key: resourceFeedKey(r.Key())})
	}
	for _, member := range snap.Servers {
		s.view.Servers[member.Server.Name] = member.Server
		entries = append(entries, feedEntry{revision: member.Revision, key: serverFeedKey(member.Server.Name)})
	}
	for _, b := range snap.Deletions {
		key := feedKey{resource: oriolebend.ResourceKey{Kind: b.Kind, Name: b.Name}, server: b.Server}
		entry := feedEntry{revision: b.Revision, key: key}
		entries = append(entries, entry)
		s.feed.deletions = append(s.feed.deletions, entry)
	}
	slices.SortFunc(entries, func(a, b feedEntry) int { return cmp.Compare(a.revision, b.revision) })
	for _, e := range entries {
		s.feed.add(e.key, e.revision)
	}
	for _, b := range snap.Deletions {
		if b.Server != "" && s.feed.latest[serverFeedKey(b.Server)] == b.Revision {
			s.endedIncarnations[b.Server] = b.Incarnation
			if b.Interrupted {
				s.view.Interrupted[b.Server] = true
			}
		}
	}
	s.feed.floor = snap.Floor
}
