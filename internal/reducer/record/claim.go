package record

import (
	"slices"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// claim gives the scope to the claimer or tells what stands in its way.
func (s *State) claim(m message.Claim) message.ClaimAnswer {
	r, ok := s.records[scopeHash(m.Scope)]
	if !ok {
		return s.create(m)
	}
	if !SameCommand(r.fingerprint, m.Fingerprint) {
		return s.conflict(r, m)
	}
	s.renewClaimer(m)
	s.endLease(r)
	if r.requestID == m.RequestID && r.owner == m.Owner {
		return s.claimedAgain(r, m)
	}
	if s.ids[hashOf(m.RequestID)] != nil {
		return s.claimedBefore(r, m)
	}
	if r.reopens(m.Once) {
		return s.takeOver(r, m)
	}
	return s.view(r, viewOutcome(r), m.Ticket)
}

// claimedAgain answers a claim that its owner sent twice, as after a lost
// answer. It reopens nothing: the second copy may arrive after the owner has
// settled the record and told its caller.
func (s *State) claimedAgain(r *request, m message.Claim) message.ClaimAnswer {
	if r.open() {
		return s.view(r, message.ClaimOwned, m.Ticket)
	}
	return s.view(r, viewOutcome(r), m.Ticket)
}

// claimedBefore answers a claim whose id was used before. If it is an earlier
// id of this record it came late: its request was taken over since, and gets
// told what became of it.
func (s *State) claimedBefore(r *request, m message.Claim) message.ClaimAnswer {
	e, ok := r.earlierAs(m.RequestID)
	if !ok {
		return refusedClaim(m, oriolebend.ReasonMalformed)
	}
	if !e.NotRun {
		return s.view(r, viewOutcome(r), m.Ticket)
	}
	return viewEarlier(e, m.Ticket)
}

func refusedClaim(m message.Claim, reason oriolebend.Reason) message.ClaimAnswer {
	return message.ClaimAnswer{
		Outcome:   message.ClaimRefused,
		RequestID: m.RequestID,
		Reason:    reason,
		Ticket:    m.Ticket,
	}
}

func viewEarlier(e earlierID, ticket uint64) message.ClaimAnswer {
	return message.ClaimAnswer{
		Outcome:   message.ClaimReplay,
		RequestID: e.ID,
		State:     message.RecordNotRun,
		Attempt:   e.Attempt,
		Answer:    &message.Answer{Reason: oriolebend.ReasonAttemptClosed, Ran: oriolebend.RanNo},
		Reason:    oriolebend.ReasonAttemptClosed,
		Ticket:    ticket,
	}
}

func (s *State) create(m message.Claim) message.ClaimAnswer {
	if reason := s.refuses(m); reason != "" {
		return refusedClaim(m, reason)
	}
	r := &request{
		scope: message.Scope{
			Organisation: s.intern(m.Scope.Organisation),
			Operation:    s.intern(m.Scope.Operation),
			Key:          m.Scope.Key,
		},
		fingerprint: m.Fingerprint,
		once:        m.Once,
		attempt:     1,
		status:      m.Status,
	}
	s.records[scopeHash(r.scope)] = r
	s.own(r, m)
	s.bytes += r.cost()
	return s.view(r, message.ClaimOwned, m.Ticket)
}

// refuses returns why a new record can't be made, or nothing. At the bound
// new claims are refused: dropping an old record instead would let its retry
// run a second time.
func (s *State) refuses(m message.Claim) oriolebend.Reason {
	if m.RequestID == "" || m.Owner == "" || m.Fingerprint == "" {
		return oriolebend.ReasonMalformed
	}
	if _, used := s.ids[hashOf(m.RequestID)]; used {
		return oriolebend.ReasonMalformed
	}
	if len(s.records) >= s.limits.MaxRecords || s.bytes >= s.limits.MaxBytes {
		return oriolebend.ReasonRecordsFull
	}
	return ""
}

// takeOver gives an existing record to a new owner, behind every attempt that
// was given out before.
func (s *State) takeOver(r *request, m message.Claim) message.ClaimAnswer {
	s.bytes -= r.cost()
	s.rename(r)
	r.nextOwnership()
	r.once = r.once || m.Once
	s.own(r, m)
	s.bytes += r.cost()
	return s.view(r, message.ClaimOwned, m.Ticket)
}

// rename keeps the present id of a record as an earlier one. The list is
// copied, for an image of the state may share it.
func (s *State) rename(r *request) {
	r.earlier = append(slices.Clone(r.earlier), earlierID{
		ID:      r.requestID,
		NotRun:  r.state == message.RecordNotRun,
		Attempt: r.attempt,
	})
	if len(r.earlier) > mostEarlier {
		delete(s.ids, hashOf(r.earlier[0].ID))
		r.earlier = r.earlier[1:]
	}
}

func (s *State) own(r *request, m message.Claim) {
	s.renewClaimer(m)
	s.drop(r)
	r.owner = s.intern(m.Owner)
	r.requestID = m.RequestID
	s.ids[hashOf(r.requestID)] = r
	r.server = ""
	r.reason = ""
	r.retryable = false
	s.move(r, message.RecordClaimed)
}

func (s *State) renewClaimer(m message.Claim) {
	s.renew(message.Renew{Owner: m.Owner, Address: m.OwnerAddress, LeaseFor: m.LeaseFor})
}

// endLease settles an open record whose owner's lease ended before any sweep
// came by.
func (s *State) endLease(r *request) {
	if r.open() && !s.leased(r.owner, s.now) {
		s.orphan(r, &Expired{})
	}
}

func (s *State) conflict(r *request, m message.Claim) message.ClaimAnswer {
	return message.ClaimAnswer{
		Outcome:   message.ClaimConflict,
		RequestID: r.requestID,
		State:     r.state,
		Reason:    oriolebend.ReasonKeyReused,
		Ticket:    m.Ticket,
	}
}

// view is the record as its claimers and askers see it.
func (s *State) view(r *request, outcome message.ClaimOutcome, ticket uint64) message.ClaimAnswer {
	answer := message.ClaimAnswer{
		Outcome:   outcome,
		RequestID: r.requestID,
		State:     r.state,
		Attempt:   r.attempt,
		Answer:    r.answer,
		Reason:    r.reason,
		Once:      r.once,
		Ticket:    ticket,
	}
	if r.open() {
		answer.Owner = r.owner
		answer.OwnerAddress = s.owner(r.owner).address
	}
	if r.answer == nil {
		answer.Answer = reasonOnly(r)
	}
	return answer
}

// reasonOnly is the answer of a record that ended without one.
func reasonOnly(r *request) *message.Answer {
	switch {
	case r.reason == "" || r.reason == oriolebend.ReasonAnswerNotKept:
		return nil
	case r.state == message.RecordNotRun:
		return &message.Answer{Reason: r.reason, Ran: oriolebend.RanNo}
	case r.state == message.RecordFailed:
		return &message.Answer{Reason: r.reason, Ran: oriolebend.RanUnknown}
	default:
		return nil
	}
}

// viewOutcome is the outcome that says what a record holds.
func viewOutcome(r *request) message.ClaimOutcome {
	switch {
	case r.open():
		return message.ClaimAttach
	case r.state == message.RecordUnknown:
		return message.ClaimUnknown
	default:
		return message.ClaimReplay
	}
}
