package record

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Query returns the record of a request id if it belongs to the organisation,
// else the outcome none. A record whose owner's lease has ended is returned with
// the reason leaseEnded or outcomeLost, even if no Expire has settled it yet.
func (s *State) Query(q message.Query) message.ClaimAnswer {
	r, ok := s.byID[digestOf(q.RequestID)]
	if !ok || r.scope.Organisation != q.Organisation {
		return message.ClaimAnswer{
			Outcome:   message.ClaimNone,
			RequestID: q.RequestID,
			Reason:    oriolebend.ReasonUnknownRequest,
			Ticket:    q.Ticket,
		}
	}
	if e, earlier := r.findEarlierID(q.RequestID); earlier && e.NotRun {
		return viewEarlierID(e, q.Ticket)
	}
	answer := s.view(r, viewOutcome(r), q.Ticket)
	if r.open() {
		s.viewOrphan(r, &answer)
	}
	return answer
}

// viewOrphan adjusts the answer for an open record whose owner's lease has
// ended: a running request that may run at most once is shown as unknown.
func (s *State) viewOrphan(r *record, answer *message.ClaimAnswer) {
	if s.hasLease(r.owner, s.now) {
		return
	}
	answer.Reason = oriolebend.ReasonLeaseEnded
	if r.once && r.state == message.RecordRunning {
		answer.Outcome = message.ClaimUnknown
		answer.State = message.RecordUnknown
		answer.Reason = oriolebend.ReasonOutcomeLost
	}
}

// UnknownRequest is a record whose outcome is lost. The control VMs use it to
// query the outcome.
type UnknownRequest struct {
	RequestID string
	Scope     message.Scope
	Attempt   uint32
	// Server is the server that the attempt was sent to.
	Server string
	// Status is the call that returns the outcome; nil if the service has none.
	Status *message.StatusCall
	// Since is when the record became unknown.
	Since time.Time
}

// Unknown lists at most limit unknown records, the oldest first. If withStatus is
// true, it lists only records whose service has a status call.
func (s *State) Unknown(limit int, withStatus bool) []UnknownRequest {
	var found []UnknownRequest
	for r := s.unknown.head; r != nil && len(found) < limit; r = r.next {
		if withStatus && r.status == nil {
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
