package declared

import (
	"fmt"
	"sort"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// feedKey names what a change is about: a resource, or a member.
type feedKey struct {
	resource oriolebend.ResourceKey
	server   string
}

func resourceFeedKey(key oriolebend.ResourceKey) feedKey { return feedKey{resource: key} }

func serverFeedKey(name string) feedKey { return feedKey{server: name} }

type feedEntry struct {
	revision uint64
	key      feedKey
}

// feed orders everything by the revision of its last change. Only the last
// change of each thing is kept, so that a follower which missed hundreds of
// changes is sent each changed thing once, and the history never outgrows the
// state. Deletions are kept up to a bound; a follower from before the oldest
// that was forgotten needs a snapshot.
type feed struct {
	entries []feedEntry
	latest  map[feedKey]uint64
	buried  []feedEntry
	// floor is the revision before which deletions were forgotten.
	floor uint64
}

func newFeed() feed {
	return feed{latest: map[feedKey]uint64{}}
}

const minFeedCompaction = 1024

func (f *feed) add(key feedKey, revision uint64) {
	f.latest[key] = revision
	f.entries = append(f.entries, feedEntry{revision: revision, key: key})
	if len(f.entries) > 2*len(f.latest)+minFeedCompaction {
		f.compact()
	}
}

// compact drops the entries that a later change of the same thing replaced.
func (f *feed) compact() {
	kept := make([]feedEntry, 0, len(f.latest))
	for _, e := range f.entries {
		if f.latest[e.key] == e.revision {
			kept = append(kept, e)
		}
	}
	f.entries = kept
}

// bury notes that the last change of a thing was its deletion, and returns
// the things whose deletion is forgotten for it.
func (f *feed) bury(key feedKey, revision uint64) []feedKey {
	f.buried = append(f.buried, feedEntry{revision: revision, key: key})
	var forgotten []feedKey
	for len(f.buried) > maxTombstones {
		oldest := f.buried[0]
		f.buried = f.buried[1:]
		if f.latest[oldest.key] != oldest.revision {
			continue
		}
		delete(f.latest, oldest.key)
		f.floor = oldest.revision
		forgotten = append(forgotten, oldest.key)
	}
	return forgotten
}

// after returns the things that changed after a revision, oldest first.
func (f *feed) after(revision uint64) []feedEntry {
	first := sort.Search(len(f.entries), func(i int) bool { return f.entries[i].revision > revision })
	var live []feedEntry
	for _, e := range f.entries[first:] {
		if f.latest[e.key] == e.revision {
			live = append(live, e)
		}
	}
	return live
}

// Change is the last change of one resource or member.
type Change struct {
	Revision uint64
	// Resource is set for a resource; it has Deleted set if it is gone.
	Resource *oriolebend.Resource
	// Server is set for a member; its state is "gone" if its lease ended.
	Server *oriolebend.Server
}

// AheadError means that a follower has a revision that this control VM has
// not: the VM is cut off or behind, and its state must not be taken.
type AheadError struct{ Asked, Have uint64 }

// Error implements error.
func (e *AheadError) Error() string {
	return fmt.Sprintf("revision %d was asked for, %d is here", e.Asked, e.Have)
}

// Since returns what changed after a revision, in order of revision, each
// thing once. It reports false if that is no longer known; Everything then
// takes its place. It returns an *AheadError for a revision not reached yet.
func (s *State) Since(revision uint64) (changes []Change, known bool, err error) {
	if revision > s.view.Revision {
		return nil, false, &AheadError{Asked: revision, Have: s.view.Revision}
	}
	if revision < s.feed.floor {
		return nil, false, nil
	}
	for _, e := range s.feed.after(revision) {
		changes = append(changes, s.last(e))
	}
	return changes, true, nil
}

// Everything returns each resource and member, in order of last change,
// without deletions.
func (s *State) Everything() []Change {
	var changes []Change
	for _, e := range s.feed.after(0) {
		c := s.last(e)
		if c.Resource != nil && c.Resource.Deleted || c.Server != nil && c.Server.State == oriolebend.ServerGone {
			continue
		}
		changes = append(changes, c)
	}
	return changes
}

func (s *State) last(e feedEntry) Change {
	if e.key.server == "" {
		r, found := s.view.Resources[e.key.resource]
		if !found {
			r = oriolebend.Resource{
				Kind: e.key.resource.Kind, Name: e.key.resource.Name,
				Revision: e.revision, Deleted: true,
			}
		}
		return Change{Revision: e.revision, Resource: &r}
	}
	server, found := s.view.Servers[e.key.server]
	if !found {
		server = oriolebend.Server{
			Name:        e.key.server,
			State:       oriolebend.ServerGone,
			Incarnation: s.ended[e.key.server],
		}
	}
	return Change{Revision: e.revision, Server: &server}
}

// Update makes the message that brings a follower from a revision to this
// state: the changes, or a snapshot if from is zero or too old. It returns an
// *AheadError if the follower is ahead.
func (s *State) Update(from uint64) (message.Update, error) {
	changes, known, err := s.Since(from)
	if err != nil {
		return message.Update{}, err
	}
	update := message.Update{Revision: s.view.Revision, From: from}
	if from == 0 || !known {
		update.From = 0
		update.Snapshot = true
		changes = s.Everything()
	}
	for _, c := range changes {
		if err := addChange(&update, c); err != nil {
			return message.Update{}, err
		}
	}
	return update, nil
}

func addChange(u *message.Update, c Change) error {
	if c.Server != nil {
		u.Servers = append(u.Servers, *c.Server)
		return nil
	}
	data, err := c.Resource.MarshalCBOR()
	if err != nil {
		return err
	}
	u.Resources = append(u.Resources, data)
	return nil
}
