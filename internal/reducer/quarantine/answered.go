package quarantine

import "time"

const (
	// answeredFor is for how long after an answer to a request a server's crash is not
	// attributed to that request. A request that many callers send, such as a list that all
	// of them read, is in progress at every server that crashes for any reason, and is
	// answered many times a minute. A request that begins to crash servers because the
	// servers' program was replaced is quarantined that much later.
	answeredFor = time.Minute
	// answeredSlots bounds the memory to 64 KB: it is enough for the answers of one minute
	// at 60 requests a second, with some reserve.
	answeredSlots = 4096
)

// answers records the requests that were answered recently, each in the slot that its hash
// selects. Two requests with the same slot overwrite each other; a report is then refuted a
// little later, by the next answer.
type answers []answered

type answered struct {
	fingerprint Fingerprint
	at          int64 // Unix seconds
}

func newAnswers() answers { return make(answers, answeredSlots) }

func (a answers) record(at time.Time, fingerprint Fingerprint) {
	if len(a) > 0 {
		a[uint64(fingerprint)%uint64(len(a))] = answered{fingerprint: fingerprint, at: at.Unix()}
	}
}

// recent reports whether a request was answered within answeredFor.
func (a answers) recent(at time.Time, fingerprint Fingerprint) bool {
	if len(a) == 0 {
		return false
	}
	slot := a[uint64(fingerprint)%uint64(len(a))]
	return slot.fingerprint == fingerprint && at.Sub(time.Unix(slot.at, 0)) < answeredFor
}
