package gate

import (
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// backfillDepth is how many reservations behind the first that doesn't
	// fit are tried as well.
	backfillDepth = 8
	// passedFor is for how many times AgeAfter urgent prefills may pass an
	// aged patient one that has no room.
	passedFor = 4
)

// grantQueued grants what has room, in the queue's order.
//
// The first that doesn't fit is promised the earliest room that is predicted
// for it, and what waits behind may only take room that this promise leaves.
// Without the promise small reservations would pass a large one for ever; if
// they might not pass at all, memory would lie idle until the large one fits.
func (s *State) grantQueued() {
	if !s.queue.changed {
		return
	}
	s.queue.changed = false
	if !s.ready() {
		return
	}
	var passed []*reservation
	var promise *reservation
	for len(passed) < backfillDepth {
		r := s.queue.next(s.now)
		if r == nil {
			break
		}
		if s.fits(r) {
			s.grant(r)
			continue
		}
		if !s.mayPass(r) {
			break
		}
		if promise == nil && r.reserve.Phase == message.PhaseDecode {
			promise = s.promise(r)
		}
		s.queue.remove(r)
		passed = append(passed, r)
	}
	if promise != nil {
		s.memory.remove(promise)
	}
	for _, r := range passed {
		s.queue.putBack(r)
	}
}

// mayPass reports whether others may be tried behind a reservation that has no
// room. Slots come free one by one and who takes them is the queue's order, so
// prefills and calls aren't passed, with one exception: an aged patient prefill
// whose turn has come would keep pings waiting for the end of another brief, so
// they may pass it while a brief is computed or only memory lacks. This too
// has its end, or pings could keep the memory short for ever.
func (s *State) mayPass(r *reservation) bool {
	switch r.reserve.Phase {
	case message.PhaseDecode:
		return true
	case message.PhaseCall:
		return false
	}
	if r.reserve.Urgency == oriolebend.Urgent || s.queue.urgent.length == 0 {
		return false
	}
	if s.now.Sub(r.acceptedAt) > passedFor*s.config.AgeAfter {
		return false
	}
	return s.computesPatient() || s.committed().slots < s.config.PrefillSlots
}

// computesPatient reports whether a patient prefill takes a slot now.
func (s *State) computesPatient() bool {
	for _, held := range s.memory.holders {
		if held.computing && held.reserve.Urgency == oriolebend.Patient {
			return true
		}
	}
	return false
}

// promise holds the earliest room that is predicted for r, by a stand-in that
// is taken away at the end of the round.
func (s *State) promise(r *reservation) *reservation {
	held := *r
	held.stage = stageGranted
	held.from = s.earliest(r)
	s.memory.add(&held)
	return &held
}

// grant gives a waiting reservation its room.
func (s *State) grant(r *reservation) {
	s.queue.remove(r)
	s.queue.served(r, s.now)
	r.stage = stageGranted
	r.from = s.now.Add(r.lead)
	r.paused = s.paused
	r.computing = r.reserve.Phase == message.PhasePrefill
	s.memory.add(r)
	s.noteUrgent()
	if r.offered {
		s.emit(Reply{Session: r.session, Message: message.Grant{
			Attempt:  r.reserve.Attempt,
			StartIn:  r.lead,
			LeaseFor: s.config.Lease,
		}})
	}
}
