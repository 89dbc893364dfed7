package record

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Query looks a request of an organisation up. A record of another
// organisation is not found. An owner whose lease ended is told as gone, also
// before a sweep has settled what it held.
func (s *State) Query(q message.Query) message.ClaimAnswer {
	r, ok := s.ids[hashOf(q.RequestID)]
	if !ok || r.scope.Organisation != q.Organisation {
		return message.ClaimAnswer{
			Outcome:   message.ClaimNone,
			RequestID: q.RequestID,
			Reason:    oriolebend.ReasonUnknownRequest,
			Ticket:    q.Ticket,
		}
	}
	if e, earlier := r.earlierAs(q.RequestID); earlier && e.NotRun {
		return viewEarlier(e, q.Ticket)
	}
	answer := s.view(r, viewOutcome(r), q.Ticket)
	if r.open() {
		s.viewOrphan(r, &answer)
	}
	return answer
}

// viewOrphan shows an open record without a live owner as it will be settled.
func (s *State) viewOrphan(r *request, answer *message.ClaimAnswer) {
	if s.leased(r.owner, s.now) {
		return
	}
	answer.Reason = oriolebend.ReasonLeaseEnded
	if r.once && r.state == message.RecordRunning {
		answer.Outcome = message.ClaimUnknown
		answer.State = message.RecordUnknown
		answer.Reason = oriolebend.ReasonOutcomeLost
	}
}

// UnknownRequest is a record whose outcome is lost, for those who resolve it.
type UnknownRequest struct {
	RequestID string
	Scope     message.Scope
	Attempt   uint32
	// Server had the attempt.
	Server string
	// Status is how to ask for the outcome; nil if the service can't tell.
	Status *message.StatusCall
	// Since is when the record became unknown.
	Since time.Time
}

// Unknown lists at most limit unknown records, the oldest first. With askable
// it lists only those whose service can tell the outcome.
func (s *State) Unknown(limit int, askable bool) []UnknownRequest {
	var found []UnknownRequest
	for r := s.unknown.head; r != nil && len(found) < limit; r = r.next {
		if askable && r.status == nil {
			continue
		}
		found = append(found, UnknownRequest{
			RequestID: r.requestID,
			Scope:     r.scope,
			Attempt:   r.attempt,
			Server:    r.server,
			Status:    r.status,
			Since:     time.Unix(0, r.changed),
		})
	}
	return found
}
