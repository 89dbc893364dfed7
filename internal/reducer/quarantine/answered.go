package quarantine

import "time"

const (
	// answeredFor is how long after an answer to a request the end of a server under it
	// is put down to something else. A request that many callers send, such as a list
	// that all of them look at, is under way at each server that ends for whatever
	// cause; it is answered many times a minute. One that has come to crash servers,
	// as their program was replaced, is held that much later.
	answeredFor = time.Minute
	// answeredSlots bounds the memory to 64 KB: the answers of a minute at 60 requests a
	// second, with room to spare.
	answeredSlots = 4096
)

// answers remembers what was answered of late, each in the one slot that its hash names.
// Two that share a slot forget each other: a report is then refuted a little later, by the
// next answer.
type answers []answered

type answered struct {
	fingerprint Fingerprint
	at          int64 // Unix seconds
}

func newAnswers() answers { return make(answers, answeredSlots) }

func (a answers) note(at time.Time, fingerprint Fingerprint) {
	if len(a) > 0 {
		a[uint64(fingerprint)%uint64(len(a))] = answered{fingerprint: fingerprint, at: at.Unix()}
	}
}

// recently reports whether a request was answered a moment ago.
func (a answers) recently(at time.Time, fingerprint Fingerprint) bool {
	if len(a) == 0 {
		return false
	}
	slot := a[uint64(fingerprint)%uint64(len(a))]
	return slot.fingerprint == fingerprint && at.Sub(time.Unix(slot.at, 0)) < answeredFor
}
