package declared

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// snapshotFormat grows when an older program could not read a snapshot.
const snapshotFormat = 1

type snapshot struct {
	Format    int                     `cbor:"format"`
	Revision  uint64                  `cbor:"revision"`
	Floor     uint64                  `cbor:"floor"`
	Resources []oriolebend.Resource   `cbor:"resources"`
	Servers   []snapshotServer        `cbor:"servers"`
	Buried    []snapshotBuried        `cbor:"buried"`
	Answers   []snapshotAnswer        `cbor:"answers"`
	Audit     []oriolebend.AuditEntry `cbor:"audit"`
}

type snapshotServer struct {
	Revision uint64            `cbor:"revision"`
	Server   oriolebend.Server `cbor:"server"`
}

type snapshotBuried struct {
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

// SnapshotError means that a snapshot can't be read.
type SnapshotError struct {
	// Format is what the snapshot says of itself; zero if unread.
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

// Unwrap returns the error beneath.
func (e *SnapshotError) Unwrap() error { return e.Cause }

// Snapshot encodes the whole state; equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	form := snapshot{
		Format:    snapshotFormat,
		Revision:  s.view.Revision,
		Floor:     s.feed.floor,
		Resources: s.view.List(""),
		Audit:     s.keptAudit(),
	}
	for _, server := range s.view.Members() {
		revision := s.feed.latest[serverFeedKey(server.Name)]
		form.Servers = append(form.Servers, snapshotServer{Revision: revision, Server: server})
	}
	for _, e := range s.feed.buried {
		form.Buried = append(form.Buried, s.buriedForm(e))
	}
	for _, key := range s.answers.queue {
		form.Answers = append(form.Answers, snapshotAnswer{Key: key, Answer: s.answers.byOrder[key]})
	}
	return encoding.Marshal(form)
}

func (s *State) buriedForm(e feedEntry) snapshotBuried {
	return snapshotBuried{
		Revision: e.revision, Kind: e.key.resource.Kind, Name: e.key.resource.Name,
		Server: e.key.server, Incarnation: s.ended[e.key.server],
		Interrupted: s.view.Interrupted[e.key.server],
	}
}

// Restore replaces the whole state; on an error, a *SnapshotError, the state
// is left as it was.
func (s *State) Restore(data []byte) error {
	var form snapshot
	if err := cbor.Unmarshal(data, &form); err != nil {
		return &SnapshotError{Cause: err}
	}
	if form.Format != snapshotFormat {
		return &SnapshotError{Format: form.Format}
	}
	restored := New()
	restored.view.Revision = form.Revision
	restored.audit = form.Audit
	restored.restoreFeed(form)
	for _, kept := range form.Answers {
		restored.answers.put(kept.Key, kept.Answer)
	}
	*s = *restored
	return nil
}

func (s *State) restoreFeed(form snapshot) {
	var entries []feedEntry
	for _, r := range form.Resources {
		s.view.Resources[r.Key()] = r
		entries = append(entries, feedEntry{revision: r.Revision, key: resourceFeedKey(r.Key())})
	}
	for _, held := range form.Servers {
		s.view.Servers[held.Server.Name] = held.Server
		entries = append(entries, feedEntry{revision: held.Revision, key: serverFeedKey(held.Server.Name)})
	}
	for _, b := range form.Buried {
		key := feedKey{resource: oriolebend.ResourceKey{Kind: b.Kind, Name: b.Name}, server: b.Server}
		entry := feedEntry{revision: b.Revision, key: key}
		entries = append(entries, entry)
		s.feed.buried = append(s.feed.buried, entry)
	}
	slices.SortFunc(entries, func(a, b feedEntry) int { return cmp.Compare(a.revision, b.revision) })
	for _, e := range entries {
		s.feed.add(e.key, e.revision)
	}
	for _, b := range form.Buried {
		if b.Server != "" && s.feed.latest[serverFeedKey(b.Server)] == b.Revision {
			s.ended[b.Server] = b.Incarnation
			if b.Interrupted {
				s.view.Interrupted[b.Server] = true
			}
		}
	}
	s.feed.floor = form.Floor
}
