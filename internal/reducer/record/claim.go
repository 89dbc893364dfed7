package record

import (
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
	if r.claimID == m.RequestID && r.owner == m.Owner {
		return s.claimedAgain(r, m)
	}
	switch {
	case r.open():
		return s.view(r, message.ClaimAttach, m.Ticket)
	case r.reopens(m.Once):
		return s.takeOver(r, m)
	case r.state == message.RecordUnknown:
		return s.view(r, message.ClaimUnknown, m.Ticket)
	default:
		return s.view(r, message.ClaimReplay, m.Ticket)
	}
}

// claimedAgain answers a claim that its owner sent twice, as after a lost
// answer. It reopens nothing: the second copy may arrive after the owner has
// settled the record and told its caller.
func (s *State) claimedAgain(r *request, m message.Claim) message.ClaimAnswer {
	switch {
	case r.open():
		return s.view(r, message.ClaimOwned, m.Ticket)
	case r.state == message.RecordUnknown:
		return s.view(r, message.ClaimUnknown, m.Ticket)
	default:
		return s.view(r, message.ClaimReplay, m.Ticket)
	}
}

func (s *State) create(m message.Claim) message.ClaimAnswer {
	if reason := s.refuses(m); reason != "" {
		return message.ClaimAnswer{
			Outcome:   message.ClaimRefused,
			RequestID: m.RequestID,
			Reason:    reason,
			Ticket:    m.Ticket,
		}
	}
	r := &request{
		scope: message.Scope{
			Organisation: s.intern(m.Scope.Organisation),
			Operation:    s.intern(m.Scope.Operation),
			Key:          m.Scope.Key,
		},
		requestID:   m.RequestID,
		fingerprint: m.Fingerprint,
		once:        m.Once,
		attempt:     1,
		status:      m.Status,
	}
	s.records[scopeHash(r.scope)] = r
	s.ids[hashOf(r.requestID)] = r
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
	r.nextOwnership()
	r.once = r.once || m.Once
	s.own(r, m)
	s.bytes += r.cost()
	return s.view(r, message.ClaimOwned, m.Ticket)
}

func (s *State) own(r *request, m message.Claim) {
	s.renewClaimer(m)
	r.owner = s.intern(m.Owner)
	r.claimID = m.RequestID
	if r.claimID == r.requestID {
		r.claimID = r.requestID
	}
	r.server = ""
	r.reason = ""
	r.orphaned = false
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
	return answer
}
