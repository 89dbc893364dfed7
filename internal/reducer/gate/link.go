package gate

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// linkBacklog is how much transfer may be due at the server's link at about the
// same time, as the time it takes over the whole link.
//
// Transfers share a link, so that each of n takes n times as long, and all of
// them may outlive the results that they fetch: one would notice retries with
// reason transferStalled, and decode memory that is held and not computed with.
const linkBacklog = 450 * time.Millisecond

// transferAlone predicts how long the KV cache of a prompt takes over the
// whole link; zero until the size of a token's cache was learned.
func (s *State) transferAlone(r *reservation) time.Duration {
	if s.engine.info.LinkBytes <= 0 || s.predict.bytes.below == 0 {
		return 0
	}
	bytes := float64(r.reserve.PromptTokens) * s.predict.bytes.value()
	return seconds(bytes / s.engine.info.LinkBytes)
}

// fitsLink reports whether the transfer of a decode that begins at a moment
// leaves the link to those that are due by then.
func (s *State) fitsLink(r *reservation, from time.Time) bool {
	own := s.transferAlone(r)
	if own == 0 {
		return true
	}
	due := max(s.linkDue()-from.Sub(s.now), 0)
	for _, held := range s.memory.holders {
		if s.transfersAt(held, from, own) {
			due += s.transferAlone(held)
		}
	}
	return due == 0 || due+own <= linkBacklog
}

// transfersAt predicts whether a transfer that has not begun shares the link
// with one that begins at a moment.
func (s *State) transfersAt(held *reservation, from time.Time, own time.Duration) bool {
	if held.reserve.Phase != message.PhaseDecode || held.stage != stageGranted && held.stage != stageArrived {
		return false
	}
	begin := later(held.from, s.now)
	return begin.Before(from.Add(own)) && from.Before(begin.Add(s.transferAlone(held)))
}

// fitsLinkOut reports whether the results that wait to be fetched leave the
// link to the result of one more prefill by its end.
func (s *State) fitsLinkOut(r *reservation) bool {
	own := s.transferAlone(r)
	due := -r.took
	for _, held := range s.memory.holders {
		if held.stage == stagePrefilled {
			due += s.transferAlone(held)
		}
	}
	return due <= 0 || due+own <= linkBacklog
}

// linkFree reports whether the transfer of a decode that has come should begin
// now: those in progress end sooner if it waits a little. It begins at the
// latest while its result can still be fetched.
func (s *State) linkFree(r *reservation) bool {
	if r.reserve.Urgency == oriolebend.Urgent {
		return true
	}
	due := s.linkDue()
	return due == 0 || due+s.transferAlone(r) <= linkBacklog
}

// openPart is the part of a transfer that counts as left until its first output
// shows that it ended: its source may be slower than this server's link.
const openPart = 0.3

// linkDue predicts how long the transfers in progress take over the whole link.
func (s *State) linkDue() time.Duration {
	open := time.Duration(0)
	for _, held := range s.memory.holders {
		if held.stage == stageWorking && held.reserve.Phase == message.PhaseDecode && !held.firstPart {
			open += time.Duration(openPart * float64(s.transferAlone(held)))
		}
	}
	if open == 0 {
		return 0
	}
	return max(open, s.linkUntil.Sub(s.now))
}

// linkTaken notes that a transfer begins.
func (s *State) linkTaken(r *reservation) {
	s.linkUntil = later(s.linkUntil, s.now).Add(s.transferAlone(r))
}
