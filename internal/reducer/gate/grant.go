package gate

import (
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// backfillDepth is the number of reservations that don't fit after which a
	// search of the queue ends.
	backfillDepth = 8
	// passableAges is the age, in multiples of AgeAfter, beyond which urgent
	// prefills no longer pass a patient one that has no capacity.
	passableAges = 4
)

// grantQueued grants the reservations that fit, in the order of the queue.
//
// The first decode that doesn't fit is promised the earliest capacity that is
// predicted for it. Reservations behind it may only take capacity that this
// promise leaves. Without the promise, small reservations would pass a large
// one forever. If they could not pass at all, memory would be idle until the
// large one fits.
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
		if !s.mayBePassed(r) {
			break
		}
		if promise == nil && r.reserve.Phase == message.PhaseDecode {
			promise = s.addPromise(r)
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

// mayBePassed reports whether reservations behind one that has no capacity may
// be tried. Slots become free one at a time and the queue's order decides which
// reservation takes one, so prefills and calls can't be passed, with one
// exception. An aged patient prefill whose turn has come would make pings wait
// for the end of another brief. Pings may therefore pass it while a brief is
// computed or only memory is short. The exception ends when the patient prefill
// is older than passableAges times AgeAfter, or pings could keep the memory
// short forever.
func (s *State) mayBePassed(r *reservation) bool {
	switch r.reserve.Phase {
	case message.PhaseDecode:
		return true
	case message.PhaseCall:
		return false
	}
	if r.reserve.Urgency == oriolebend.Urgent || s.queue.urgent.length == 0 {
		return false
	}
	if s.now.Sub(r.acceptedAt) > passableAges*s.config.AgeAfter {
		return false
	}
	return s.patientHoldsSlot() || s.committed().slots < s.config.PrefillSlots
}

// patientHoldsSlot reports whether a patient prefill occupies a slot now.
func (s *State) patientHoldsSlot() bool {
	for _, held := range s.memory.holders {
		if held.holdsSlot && held.reserve.Urgency == oriolebend.Patient {
			return true
		}
	}
	return false
}

// addPromise holds the earliest capacity that is predicted for r by a
// placeholder, which is removed at the end of the round.
func (s *State) addPromise(r *reservation) *reservation {
	placeholder := *r
	placeholder.stage = stageGranted
	placeholder.heldFrom = s.earliestFit(r)
	s.memory.add(&placeholder)
	return &placeholder
}

// grant gives a waiting reservation its capacity.
func (s *State) grant(r *reservation) {
	s.queue.remove(r)
	s.queue.chargeGrant(r, s.now)
	r.stage = stageGranted
	r.heldFrom = s.now.Add(r.leadTime)
	r.pausedAtGrant = s.paused
	r.holdsSlot = r.reserve.Phase == message.PhasePrefill
	s.memory.add(r)
	s.updateUrgentPeak()
	if r.offerSent {
		s.emit(Reply{Session: r.session, Message: message.Grant{
			Attempt:  r.reserve.Attempt,
			StartIn:  r.leadTime,
			LeaseFor: s.config.Lease,
		}})
	}
}
