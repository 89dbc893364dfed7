package record

import (
	"slices"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// claim makes the claimer the owner of the scope, or returns the state of the
// record that prevents it.
func (s *State) claim(m message.Claim) message.ClaimAnswer {
	r, ok := s.records[scopeDigest(m.Scope)]
	if !ok {
		return s.create(m)
	}
	if !SameCommand(r.fingerprint, m.Fingerprint) {
		return s.conflict(r, m)
	}
	s.renewClaimerLease(m)
	s.settleIfOrphaned(r)
	if r.requestID == m.RequestID && r.owner == m.Owner {
		return s.claimOfOwner(r, m)
	}
	if s.byID[digestOf(m.RequestID)] != nil {
		return s.claimOfUsedID(r, m)
	}
	if r.canReopen(m.Once) {
		return s.takeOver(r, m)
	}
	return s.view(r, viewOutcome(r), m.Ticket)
}

// claimOfOwner answers a claim that the owner sent again, such as after a lost
// answer. It does not reopen the record: the second copy may arrive after the
// owner has settled the record and answered its caller.
func (s *State) claimOfOwner(r *record, m message.Claim) message.ClaimAnswer {
	if r.open() {
		return s.view(r, message.ClaimOwned, m.Ticket)
	}
	return s.view(r, viewOutcome(r), m.Ticket)
}

// claimOfUsedID answers a claim whose request id was used before. If it is an
// earlier id of this record, the claim arrived late: a retry has taken the
// record over since. The claim is answered "not run" if its request was closed
// so, else with the current record. Any other used id is refused as malformed.
func (s *State) claimOfUsedID(r *record, m message.Claim) message.ClaimAnswer {
	e, ok := r.findEarlierID(m.RequestID)
	if !ok {
		return refusedClaim(m, oriolebend.ReasonMalformed)
	}
	if !e.NotRun {
		return s.view(r, viewOutcome(r), m.Ticket)
	}
	return viewEarlierID(e, m.Ticket)
}

func refusedClaim(m message.Claim, reason oriolebend.Reason) message.ClaimAnswer {
	return message.ClaimAnswer{
		Outcome:   message.ClaimRefused,
		RequestID: m.RequestID,
		Reason:    reason,
		Ticket:    m.Ticket,
	}
}

// viewEarlierID returns the answer for an earlier id that was closed as not run.
func viewEarlierID(e earlierID, ticket uint64) message.ClaimAnswer {
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
	if reason := s.refusalReason(m); reason != "" {
		return refusedClaim(m, reason)
	}
	r := &record{
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
	s.records[scopeDigest(r.scope)] = r
	s.assignOwner(r, m)
	s.recordBytes += r.memoryBytes()
	return s.view(r, message.ClaimOwned, m.Ticket)
}

// refusalReason returns why a new record can't be created, or an empty reason.
// At the limit of records new claims are refused: removing an old record instead
// would let a retry of its request run a second time.
func (s *State) refusalReason(m message.Claim) oriolebend.Reason {
	if m.RequestID == "" || m.Owner == "" || m.Fingerprint == "" {
		return oriolebend.ReasonMalformed
	}
	if _, used := s.byID[digestOf(m.RequestID)]; used {
		return oriolebend.ReasonMalformed
	}
	if len(s.records) >= s.limits.MaxRecords || s.recordBytes >= s.limits.MaxBytes {
		return oriolebend.ReasonRecordsFull
	}
	return ""
}

// takeOver makes the claimer the owner of an existing record, with an attempt
// number past all that were assigned before.
func (s *State) takeOver(r *record, m message.Claim) message.ClaimAnswer {
	s.recordBytes -= r.memoryBytes()
	s.keepEarlierID(r)
	r.nextOwnership()
	r.once = r.once || m.Once
	s.assignOwner(r, m)
	s.recordBytes += r.memoryBytes()
	return s.view(r, message.ClaimOwned, m.Ticket)
}

// keepEarlierID adds the current id of a record to its earlier ids. It copies
// the list, because an image of the state may share it.
func (s *State) keepEarlierID(r *record) {
	r.earlierIDs = append(slices.Clone(r.earlierIDs), earlierID{
		ID:      r.requestID,
		NotRun:  r.state == message.RecordNotRun,
		Attempt: r.attempt,
	})
	if len(r.earlierIDs) > maxEarlierIDs {
		delete(s.byID, digestOf(r.earlierIDs[0].ID))
		r.earlierIDs = r.earlierIDs[1:]
	}
}

func (s *State) assignOwner(r *record, m message.Claim) {
	s.renewClaimerLease(m)
	s.clearAnswer(r)
	r.owner = s.intern(m.Owner)
	r.requestID = m.RequestID
	s.byID[digestOf(r.requestID)] = r
	r.server = ""
	r.reason = ""
	r.retryable = false
	s.setState(r, message.RecordClaimed)
}

func (s *State) renewClaimerLease(m message.Claim) {
	s.renewLease(message.Renew{Owner: m.Owner, Address: m.OwnerAddress, LeaseFor: m.LeaseFor})
}

// settleIfOrphaned settles an open record whose owner's lease ended but which no
// Expire has settled yet.
func (s *State) settleIfOrphaned(r *record) {
	if r.open() && !s.hasLease(r.owner, s.now) {
		s.settleOrphan(r, &Expired{})
	}
}

func (s *State) conflict(r *record, m message.Claim) message.ClaimAnswer {
	return message.ClaimAnswer{
		Outcome:   message.ClaimConflict,
		RequestID: r.requestID,
		State:     r.state,
		Reason:    oriolebend.ReasonKeyReused,
		Ticket:    m.Ticket,
	}
}

// view returns the record in the form that claims and queries are answered with.
func (s *State) view(r *record, outcome message.ClaimOutcome, ticket uint64) message.ClaimAnswer {
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
		answer.OwnerAddress = s.findOrAddOwner(r.owner).address
	}
	if r.answer == nil {
		answer.Answer = failureWithoutAnswer(r)
	}
	return answer
}

// failureWithoutAnswer returns the answer for a record that ended without one:
// its reason and whether the request ran.
func failureWithoutAnswer(r *record) *message.Answer {
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

// viewOutcome returns the claim outcome for the state of a record.
func viewOutcome(r *record) message.ClaimOutcome {
	switch {
	case r.open():
		return message.ClaimAttach
	case r.state == message.RecordUnknown:
		return message.ClaimUnknown
	default:
		return message.ClaimReplay
	}
}
