package declared

import (
	"fmt"
	"sort"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// feedKey identifies the subject of a change: a resource or a member.
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

// feed orders resources and members by the revision of their last change. Only
// the last change of each is kept, so that a follower that missed hundreds of
// changes is sent each changed resource or member once, and the history never
// outgrows the state. A limited number of deletions is kept. A follower with a
// revision below that of a removed deletion needs a snapshot.
type feed struct {
	entries   []feedEntry
	latest    map[feedKey]uint64
	deletions []feedEntry
	// floor is the revision of the last deletion that was removed from the feed, or
	// of the last advance. The changes after a lower revision are not all known.
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

// compact removes the entries that a later change of the same key replaced.
func (f *feed) compact() {
	kept := make([]feedEntry, 0, len(f.latest))
	for _, e := range f.entries {
		if f.latest[e.key] == e.revision {
			kept = append(kept, e)
		}
	}
	f.entries = kept
}

// addDeletion notes that the last change of a key is its deletion. It returns the
// keys whose deletions it removed to stay within the limit.
func (f *feed) addDeletion(key feedKey, revision uint64) []feedKey {
	f.deletions = append(f.deletions, feedEntry{revision: revision, key: key})
	var removed []feedKey
	for len(f.deletions) > maxTombstones {
		oldest := f.deletions[0]
		f.deletions = f.deletions[1:]
		if f.latest[oldest.key] != oldest.revision {
			continue
		}
		delete(f.latest, oldest.key)
		f.floor = oldest.revision
		removed = append(removed, oldest.key)
	}
	return removed
}

// after returns the last changes after a revision, oldest first.
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
	// Resource is set for a resource. Its field Deleted is true if the resource was
	// deleted.
	Resource *oriolebend.Resource
	// Server is set for a member. Its state is "gone" if its membership ended.
	Server *oriolebend.Server
}

// AheadError is returned for a follower whose revision this control VM has not
// reached. The VM is disconnected or behind, and the follower must not apply its
// state.
type AheadError struct{ Asked, Have uint64 }

// Error implements error.
func (e *AheadError) Error() string {
	return fmt.Sprintf("revision %d was asked for, %d is here", e.Asked, e.Have)
}

// Since returns the changes after a revision in the order of revisions, each
// resource and member once. known is false if these changes are no longer kept;
// the caller then needs Everything. For a revision that this state has not
// reached, Since returns an *AheadError.
func (s *State) Since(revision uint64) (changes []Change, known bool, err error) {
	if revision > s.view.Revision {
		return nil, false, &AheadError{Asked: revision, Have: s.view.Revision}
	}
	if revision < s.feed.floor {
		return nil, false, nil
	}
	for _, e := range s.feed.after(revision) {
		changes = append(changes, s.lastChange(e))
	}
	return changes, true, nil
}

// Everything returns all resources and members, without deletions, in the order
// of their last changes.
func (s *State) Everything() []Change {
	var changes []Change
	for _, e := range s.feed.after(0) {
		c := s.lastChange(e)
		if c.Resource != nil && c.Resource.Deleted || c.Server != nil && c.Server.State == oriolebend.ServerGone {
			continue
		}
		changes = append(changes, c)
	}
	return changes
}

func (s *State) lastChange(e feedEntry) Change {
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
			Incarnation: s.endedIncarnations[e.key.server],
		}
	}
	return Change{Revision: e.revision, Server: &server}
}

// Update returns the message that brings a follower from a revision to this
// state. It holds the changes, or a snapshot if from is zero or its changes are
// no longer kept. Update returns an *AheadError if the follower is ahead.
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
