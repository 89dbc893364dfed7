// Package streamrecord records which backend servers began the streams of all forwarders, so that a
// stream goes on only at a server of the same software version, also if its caller resumes it at
// another forwarder. Forwarders send records to a few control VMs and look them up there.
package streamrecord

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
)

const (
	// DefaultLimit is the default number of entries in a Table, two for each record. The oldest
	// ones yield.
	DefaultLimit = 1 << 16
	// maxResumable bounds how long a record is kept, whatever its sender states.
	maxResumable = 5 * time.Minute
)

// Table holds records for as long as callers may resume their streams. It is pure, as times are
// passed to its methods, and not safe for use by several goroutines.
type Table struct {
	// Limit is the largest number of entries; zero means DefaultLimit.
	Limit int

	// entries holds the entries by streams and by contents of requests.
	entries map[uint64]*entry
	// order lists the keys of the entries by the time at which they were added.
	order []uint64
	// origins holds the origins in use once each, since thousands of records have the same one.
	origins map[message.StreamOrigin]*message.StreamOrigin
}

// entry is the origin of a stream, or of the streams of a content. It is nil if there were different
// origins.
type entry struct {
	origin *message.StreamOrigin
	until  time.Time
	// ofContent is set if the key is a content.
	ofContent bool
}

// Add adds a record. If another one of the stream, or of the same content, has another origin, the
// origin is unknown from then on: which of two streams a caller resumes can't be told.
func (t *Table) Add(at time.Time, r message.StreamRecord) {
	until := at.Add(min(r.ResumableFor, maxResumable))
	if !at.Before(until) {
		return
	}
	t.add(at, r.Stream, r.Origin, until)
	if r.Content != 0 {
		if r.Content != r.Stream {
			t.add(at, r.Content, r.Origin, until)
		}
		t.entries[r.Content].ofContent = true
	}
}

func (t *Table) add(at time.Time, key uint64, o message.StreamOrigin, until time.Time) {
	if known := t.entries[key]; known != nil && at.Before(known.until) {
		if known.origin != nil && *known.origin != o {
			known.origin = nil
		}
		known.until = later(known.until, until)
		return
	}
	t.makeRoom(key)
	t.entries[key] = &entry{origin: t.shared(o), until: until}
	t.order = append(t.order, key)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Find returns the origin of a stream, or of the streams of a content; nil if none is recorded.
// conflict is true if different origins were recorded.
func (t *Table) Find(at time.Time, key uint64) (origin *message.StreamOrigin, conflict bool) {
	known := t.entries[key]
	if known == nil || !at.Before(known.until) {
		return nil, false
	}
	return known.origin, known.origin == nil
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Expire drops the entries whose streams can't be resumed any more.
func (t *Table) Expire(at time.Time) {
	t.order = slices.DeleteFunc(t.order, func(key uint64) bool {
		if at.Before(t.entries[key].until) {
			return false
		}
		delete(t.entries, key)
		return true
	})
	t.origins = nil // those still in use are shared again from the next record on
}

// makeRoom drops the oldest entry if there are as many as allowed, and the expired one of a key.
func (t *Table) makeRoom(key uint64) {
	if t.entries == nil {
		t.entries = map[uint64]*entry{}
	}
	if t.entries[key] != nil {
		t.order = slices.DeleteFunc(t.order, func(other uint64) bool { return other == key })
		delete(t.entries, key)
	}
	if len(t.entries) >= cmp.Or(t.Limit, DefaultLimit) {
		delete(t.entries, t.order[0])
		t.order = t.order[1:]
	}
}

// shared returns the origin that equal origins share.
func (t *Table) shared(o message.StreamOrigin) *message.StreamOrigin {
	if t.origins == nil {
		t.origins = map[message.StreamOrigin]*message.StreamOrigin{}
	}
	if t.origins[o] == nil {
		t.origins[o] = &o
	}
	return t.origins[o]
}
