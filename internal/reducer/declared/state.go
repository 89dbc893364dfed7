package declared

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"sort"
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Bounds of what is kept beside the resources themselves. At 4,000 changes a
// day they keep the answers of two days and the audit of one.
const (
	maxAnswers    = 8192
	maxAudit      = 4096
	maxTombstones = 4096
)

// maxAdvance bounds one lift of the revision counter; a slip of the hand must
// not use the numbers up.
const maxAdvance = 1 << 32

// State is the declared state and the membership.
type State struct {
	view    View
	feed    feed
	answers answers
	audit   []oriolebend.AuditEntry
	// ended holds the incarnation of each server that is gone, so that an
	// announcement of an ended start that comes late is not taken for news.
	ended map[string]uint64
}

// New returns the empty state.
func New() *State {
	return &State{
		view:    NewView(),
		feed:    newFeed(),
		answers: newAnswers(),
		ended:   map[string]uint64{},
	}
}

// Revision returns the revision of the last change.
func (s *State) Revision() uint64 { return s.view.Revision }

// View returns the resources and members; the caller must not change it, nor
// keep it over the next Apply.
func (s *State) View() View { return s.view }

// Audit returns the accepted changes after a revision, oldest first, as far
// as they are kept.
func (s *State) Audit(after uint64) []oriolebend.AuditEntry {
	kept := s.keptAudit()
	first := sort.Search(len(kept), func(i int) bool { return kept[i].Revision > after })
	return kept[first:]
}

// keptAudit is the part of the audit that a snapshot holds. What is older may
// still be in memory, but answers must not depend on it: a control VM that was
// restored from a snapshot would answer otherwise than the rest.
func (s *State) keptAudit() []oriolebend.AuditEntry {
	first := max(0, len(s.audit)-maxAudit)
	return s.audit[first:len(s.audit):len(s.audit)]
}

// Apply carries out one command. The index is that of the log; the state does
// not depend on it.
func (s *State) Apply(_ uint64, c Command) oriolebend.ChangeResult {
	switch {
	case c.Order != nil:
		return s.order(c.At, *c.Order)
	case c.Members != nil:
		return s.members(*c.Members)
	case c.Advance != nil:
		return s.advance(c.At, *c.Advance)
	}
	return oriolebend.ChangeResult{Outcome: oriolebend.ChangeUnchanged, Revision: s.view.Revision}
}

// order answers an order, or gives the answer that it got before.
//
// Without the kept answers an operator whose answer was lost would resend and
// find its own change in the way: a lost race against itself.
func (s *State) order(at time.Time, o Order) oriolebend.ChangeResult {
	mark := o.fingerprint()
	if known, found := s.answers.find(o); found {
		return s.again(known, mark, o)
	}
	result := s.decide(o)
	result.OrderID = o.OrderID
	if result.Outcome == oriolebend.ChangeApplied {
		result.Revision = s.change(at, o)
	}
	s.answers.keep(o, answer{Fingerprint: mark, Result: result})
	return result
}

func (s *State) again(known answer, mark uint64, o Order) oriolebend.ChangeResult {
	if known.Fingerprint != mark {
		return oriolebend.ChangeResult{
			Outcome:  oriolebend.ChangeOrderReused,
			Revision: s.view.Revision,
			OrderID:  o.OrderID,
		}
	}
	result := known.Result
	result.Resent = true
	return result
}

// Answered returns the answer that an operator's order got, if it is kept.
func (s *State) Answered(who, orderID string) (oriolebend.ChangeResult, bool) {
	known, found := s.answers.find(Order{Who: who, OrderID: orderID})
	known.Result.Resent = found
	return known.Result, found
}

// DryRun tells what an order would meet now, without carrying it out.
func (s *State) DryRun(o Order) oriolebend.ChangeResult {
	if known, found := s.answers.find(o); found {
		return s.again(known, o.fingerprint(), o)
	}
	result := s.decide(o)
	result.OrderID = o.OrderID
	result.DryRun = true
	return result
}

// decide says what an order meets; it changes nothing.
func (s *State) decide(o Order) oriolebend.ChangeResult {
	result := oriolebend.ChangeResult{Revision: s.view.Revision}
	if problems := malformed(o); len(problems) > 0 {
		result.Outcome = oriolebend.ChangeInvalid
		result.Problems = problems
		return result
	}
	current, exists := s.view.Resources[o.Key()]
	if o.Expect != nil && *o.Expect != current.Revision {
		return s.raced(o, current, exists)
	}
	if o.Action == oriolebend.ActionDelete {
		return s.decideDelete(o, exists, result)
	}
	if exists && reflect.DeepEqual(current.Spec, o.Resource.Spec) {
		result.Outcome = oriolebend.ChangeUnchanged
		result.Revision = current.Revision
		return result
	}
	result.Outcome = oriolebend.ChangeApplied
	if broken := s.view.broken(*o.Resource); len(broken) > 0 {
		result.Outcome = oriolebend.ChangeInvalid
		result.Problems = broken
	}
	return result
}

func (s *State) decideDelete(o Order, exists bool, result oriolebend.ChangeResult) oriolebend.ChangeResult {
	if !exists {
		result.Outcome = oriolebend.ChangeMissing
		return result
	}
	result.Outcome = oriolebend.ChangeApplied
	if users := s.view.users(o.Key()); len(users) > 0 {
		result.Outcome = oriolebend.ChangeInUse
		result.Problems = users
	}
	return result
}

// raced tells the loser of a race what won.
func (s *State) raced(o Order, current oriolebend.Resource, exists bool) oriolebend.ChangeResult {
	result := oriolebend.ChangeResult{Outcome: oriolebend.ChangeRaced, Revision: s.view.Revision}
	if exists {
		result.Current = &current
		result.Revision = current.Revision
	}
	kept := s.keptAudit()
	for i := len(kept) - 1; i >= 0; i-- {
		entry := kept[i]
		if entry.Kind == o.Kind && entry.Name == o.Name {
			result.Winner = &entry
			break
		}
	}
	return result
}

// malformed checks an order by itself. Orders are checked before they are
// proposed; this keeps a faulty leader from spoiling the state of all.
func malformed(o Order) []oriolebend.FieldError {
	if o.Action == oriolebend.ActionDelete {
		return nil
	}
	if o.Action != oriolebend.ActionApply || o.Resource == nil || o.Resource.Key() != o.Key() || o.Resource.Deleted {
		return []oriolebend.FieldError{{
			Field:   "order",
			Problem: "has no resource of its kind and name",
			Allowed: "apply with a resource, delete without",
		}}
	}
	err := o.Resource.Check()
	if err == nil {
		return nil
	}
	var invalid *oriolebend.InvalidError
	if errors.As(err, &invalid) {
		return invalid.Fields
	}
	return []oriolebend.FieldError{{Field: "order", Problem: err.Error()}}
}

// change carries out an accepted order and returns its revision.
func (s *State) change(at time.Time, o Order) uint64 {
	s.view.Revision++
	revision := s.view.Revision
	entry := oriolebend.AuditEntry{
		Revision: revision, At: at, Who: o.Who, OrderID: o.OrderID,
		Action: o.Action, Kind: o.Kind, Name: o.Name,
	}
	if o.Action == oriolebend.ActionDelete {
		delete(s.view.Resources, o.Key())
		s.buried(resourceFeedKey(o.Key()), revision)
	} else {
		r := *o.Resource
		r.Revision = revision
		s.view.Resources[o.Key()] = r
		entry.Resource = &r
		s.feed.add(resourceFeedKey(o.Key()), revision)
	}
	s.record(entry)
	return revision
}

func (s *State) advance(at time.Time, a Advance) oriolebend.ChangeResult {
	if a.To <= s.view.Revision {
		return oriolebend.ChangeResult{Outcome: oriolebend.ChangeUnchanged, Revision: s.view.Revision}
	}
	if a.To-s.view.Revision > maxAdvance {
		return oriolebend.ChangeResult{
			Outcome: oriolebend.ChangeInvalid, Revision: s.view.Revision,
			Problems: []oriolebend.FieldError{{
				Field: "to", Problem: fmt.Sprintf("%d is too far from %d", a.To, s.view.Revision),
				Allowed: fmt.Sprintf("at most %d more", maxAdvance),
			}},
		}
	}
	s.view.Revision = a.To
	s.feed.floor = a.To // what followers hold from before it may never have been here
	s.record(oriolebend.AuditEntry{Revision: a.To, At: at, Who: a.Who, Action: oriolebend.ActionAdvance})
	return oriolebend.ChangeResult{Outcome: oriolebend.ChangeApplied, Revision: a.To}
}

// record keeps an entry of the audit, and forgets the oldest beyond a bound.
func (s *State) record(entry oriolebend.AuditEntry) {
	s.audit = append(s.audit, entry)
	if len(s.audit) > 2*maxAudit {
		s.audit = slices.Clone(s.keptAudit())
	}
}

// members carries out a change of the membership.
func (s *State) members(m Members) oriolebend.ChangeResult {
	before := s.view.Revision
	for _, server := range m.Announced {
		s.announced(server)
	}
	for _, gone := range m.Gone {
		s.gone(gone)
	}
	result := oriolebend.ChangeResult{Outcome: oriolebend.ChangeApplied, Revision: s.view.Revision}
	if s.view.Revision == before {
		result.Outcome = oriolebend.ChangeUnchanged
	}
	return result
}

// announced takes a server's announcement. One of an earlier start of its
// sidecar, or of a start that has ended, came late and says nothing.
func (s *State) announced(server oriolebend.Server) {
	if server.Name == "" || server.State == oriolebend.ServerGone {
		return
	}
	known, member := s.view.Servers[server.Name]
	if member && (server.Incarnation < known.Incarnation || reflect.DeepEqual(known, server)) {
		return
	}
	if server.Incarnation < s.ended[server.Name] {
		return
	}
	s.view.Revision++
	s.view.Servers[server.Name] = server
	delete(s.ended, server.Name)
	delete(s.view.Interrupted, server.Name)
	s.feed.add(serverFeedKey(server.Name), s.view.Revision)
}

// gone ends a membership, unless a later start has announced itself since.
func (s *State) gone(g GoneServer) {
	known, member := s.view.Servers[g.Name]
	if !member || g.Incarnation < known.Incarnation {
		return
	}
	s.view.Revision++
	delete(s.view.Servers, g.Name)
	s.ended[g.Name] = known.Incarnation
	if known.State == oriolebend.ServerLoading {
		s.view.Interrupted[g.Name] = true
	}
	s.buried(serverFeedKey(g.Name), s.view.Revision)
}

// buried keeps a deletion in the feed and forgets the oldest beyond a bound.
func (s *State) buried(key feedKey, revision uint64) {
	s.feed.add(key, revision)
	for _, forgotten := range s.feed.bury(key, revision) {
		delete(s.ended, forgotten.server)
		delete(s.view.Interrupted, forgotten.server)
	}
}
