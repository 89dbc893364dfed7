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

// Limits of the data that is kept besides the resources. At 4,000 changes a day
// they keep the answers of two days and the audit of one day.
const (
	maxAnswers    = 8192
	maxAudit      = 4096
	maxTombstones = 4096
)

// maxAdvance bounds one advance of the revision counter, so that a typing error
// can't exhaust the revisions.
const maxAdvance = 1 << 32

// State is the declared state and the membership.
type State struct {
	view    View
	feed    feed
	answers answers
	audit   []oriolebend.AuditEntry
	// endedIncarnations holds the last incarnation of each server whose
	// membership ended, so that late announcements of earlier incarnations are not
	// applied.
	endedIncarnations map[string]uint64
}

// New returns the empty state.
func New() *State {
	return &State{
		view:              NewView(),
		feed:              newFeed(),
		answers:           newAnswers(),
		endedIncarnations: map[string]uint64{},
	}
}

// Revision returns the revision of the last change.
func (s *State) Revision() uint64 { return s.view.Revision }

// View returns the resources and members. The caller must not change the view
// and must not use it after the next Apply.
func (s *State) View() View { return s.view }

// Audit returns the accepted changes after a revision that are still kept,
// oldest first.
func (s *State) Audit(after uint64) []oriolebend.AuditEntry {
	kept := s.keptAudit()
	first := sort.Search(len(kept), func(i int) bool { return kept[i].Revision > after })
	return kept[first:]
}

// keptAudit returns the part of the audit that a snapshot holds. Older entries
// may still be in memory, but answers must not depend on them: a control VM that
// was restored from a snapshot would otherwise answer differently.
func (s *State) keptAudit() []oriolebend.AuditEntry {
	first := max(0, len(s.audit)-maxAudit)
	return s.audit[first:len(s.audit):len(s.audit)]
}

// Apply applies one command. The first argument is the index in the log, on
// which the state does not depend.
func (s *State) Apply(_ uint64, c Command) oriolebend.ChangeResult {
	switch {
	case c.Order != nil:
		return s.applyOrder(c.At, *c.Order)
	case c.Members != nil:
		return s.applyMembers(*c.Members)
	case c.Advance != nil:
		return s.applyAdvance(c.At, *c.Advance)
	}
	return oriolebend.ChangeResult{Outcome: oriolebend.ChangeUnchanged, Revision: s.view.Revision}
}

// applyOrder applies an order, or returns the answer that the order got before.
//
// If the answers were not kept, an operator whose answer was lost would resend
// the order and lose a race against its own change.
func (s *State) applyOrder(at time.Time, o Order) oriolebend.ChangeResult {
	fingerprint := o.fingerprint()
	if known, found := s.answers.find(o); found {
		return s.repeatAnswer(known, fingerprint, o)
	}
	result := s.decide(o)
	result.OrderID = o.OrderID
	if result.Outcome == oriolebend.ChangeApplied {
		result.Revision = s.applyChange(at, o)
	}
	s.answers.store(o, answer{Fingerprint: fingerprint, Result: result})
	return result
}

func (s *State) repeatAnswer(known answer, fingerprint uint64, o Order) oriolebend.ChangeResult {
	if known.Fingerprint != fingerprint {
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

// Answered returns the answer that an operator's order got, if it is still kept.
func (s *State) Answered(who, orderID string) (oriolebend.ChangeResult, bool) {
	known, found := s.answers.find(Order{Who: who, OrderID: orderID})
	known.Result.Resent = found
	return known.Result, found
}

// DryRun returns the result that an order would have now, without applying it.
func (s *State) DryRun(o Order) oriolebend.ChangeResult {
	if known, found := s.answers.find(o); found {
		return s.repeatAnswer(known, o.fingerprint(), o)
	}
	result := s.decide(o)
	result.OrderID = o.OrderID
	result.DryRun = true
	return result
}

// decide returns the result of an order and changes nothing.
func (s *State) decide(o Order) oriolebend.ChangeResult {
	result := oriolebend.ChangeResult{Revision: s.view.Revision}
	if problems := orderProblems(o); len(problems) > 0 {
		result.Outcome = oriolebend.ChangeInvalid
		result.Problems = problems
		return result
	}
	current, exists := s.view.Resources[o.Key()]
	if o.Expect != nil && *o.Expect != current.Revision {
		return s.raceResult(o, current, exists)
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
	if broken := s.view.brokenReferences(*o.Resource); len(broken) > 0 {
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
	if referrers := s.view.referrers(o.Key()); len(referrers) > 0 {
		result.Outcome = oriolebend.ChangeInUse
		result.Problems = referrers
	}
	return result
}

// raceResult returns the result of an order that lost a race, with the current
// resource and the change that won.
func (s *State) raceResult(o Order, current oriolebend.Resource, exists bool) oriolebend.ChangeResult {
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

// orderProblems checks an order without the state. Orders are also checked
// before they are proposed; this check keeps a faulty leader from corrupting the
// state of all control VMs.
func orderProblems(o Order) []oriolebend.FieldError {
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

// applyChange applies an accepted order and returns its revision.
func (s *State) applyChange(at time.Time, o Order) uint64 {
	s.view.Revision++
	revision := s.view.Revision
	entry := oriolebend.AuditEntry{
		Revision: revision, At: at, Who: o.Who, OrderID: o.OrderID,
		Action: o.Action, Kind: o.Kind, Name: o.Name,
	}
	if o.Action == oriolebend.ActionDelete {
		delete(s.view.Resources, o.Key())
		s.addDeletion(resourceFeedKey(o.Key()), revision)
	} else {
		r := *o.Resource
		r.Revision = revision
		s.view.Resources[o.Key()] = r
		entry.Resource = &r
		s.feed.add(resourceFeedKey(o.Key()), revision)
	}
	s.addAuditEntry(entry)
	return revision
}

func (s *State) applyAdvance(at time.Time, a Advance) oriolebend.ChangeResult {
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
	s.feed.floor = a.To // followers may have lower revisions that this state never had
	s.addAuditEntry(oriolebend.AuditEntry{Revision: a.To, At: at, Who: a.Who, Action: oriolebend.ActionAdvance})
	return oriolebend.ChangeResult{Outcome: oriolebend.ChangeApplied, Revision: a.To}
}

// addAuditEntry adds an entry to the audit and removes the oldest ones beyond
// the limit.
func (s *State) addAuditEntry(entry oriolebend.AuditEntry) {
	s.audit = append(s.audit, entry)
	if len(s.audit) > 2*maxAudit {
		s.audit = slices.Clone(s.keptAudit())
	}
}

// applyMembers applies a change of the membership.
func (s *State) applyMembers(m Members) oriolebend.ChangeResult {
	before := s.view.Revision
	for _, server := range m.Announced {
		s.applyAnnouncement(server)
	}
	for _, ended := range m.Ended {
		s.endMembership(ended)
	}
	result := oriolebend.ChangeResult{Outcome: oriolebend.ChangeApplied, Revision: s.view.Revision}
	if s.view.Revision == before {
		result.Outcome = oriolebend.ChangeUnchanged
	}
	return result
}

// applyAnnouncement applies the announcement of a server. A late announcement of
// an incarnation of the sidecar before the current one, or before the last one
// that ended, is ignored.
func (s *State) applyAnnouncement(server oriolebend.Server) {
	if server.Name == "" || server.State == oriolebend.ServerGone {
		return
	}
	known, member := s.view.Servers[server.Name]
	if member && (server.Incarnation < known.Incarnation || reflect.DeepEqual(known, server)) {
		return
	}
	if server.Incarnation < s.endedIncarnations[server.Name] {
		return
	}
	s.view.Revision++
	s.view.Servers[server.Name] = server
	delete(s.endedIncarnations, server.Name)
	delete(s.view.Interrupted, server.Name)
	s.feed.add(serverFeedKey(server.Name), s.view.Revision)
}

// endMembership ends a membership, unless a later incarnation has announced
// itself since.
func (s *State) endMembership(g EndedMember) {
	known, member := s.view.Servers[g.Name]
	if !member || g.Incarnation < known.Incarnation {
		return
	}
	s.view.Revision++
	delete(s.view.Servers, g.Name)
	s.endedIncarnations[g.Name] = known.Incarnation
	if known.State == oriolebend.ServerLoading {
		s.view.Interrupted[g.Name] = true
	}
	s.addDeletion(serverFeedKey(g.Name), s.view.Revision)
}

// addDeletion adds a deletion to the feed and removes the data of deletions that
// the feed no longer keeps.
func (s *State) addDeletion(key feedKey, revision uint64) {
	s.feed.add(key, revision)
	for _, removed := range s.feed.addDeletion(key, revision) {
		delete(s.endedIncarnations, removed.server)
		delete(s.view.Interrupted, removed.server)
	}
}
