package quarantine

import "time"

const (
	// requestAnswerPeriod is for how long an answer to a request is a reason to suspect others
	// first when a server crashes. For a part it is evidencePeriod.
	requestAnswerPeriod = time.Minute
	// answeredSlots bounds the memory to 256 KB: enough for the answers of evidencePeriod at
	// eight requests a second with a prompt of three shared parts.
	answeredSlots = 16384
)

// answers records when the last answer to a request, or with a part, began, each in the slot that
// its hash selects. Two of them with the same slot overwrite each other; a crash is then refuted a
// little later, by the next answer.
type answers []answered

type answered struct {
	fingerprint Fingerprint
	at          int64 // Unix milliseconds
}

func newAnswers() answers { return make(answers, answeredSlots) }

func (a answers) record(at time.Time, fingerprint Fingerprint) {
	if len(a) == 0 {
		return
	}
	slot := &a[uint64(fingerprint)%uint64(len(a))]
	if slot.fingerprint != fingerprint || slot.at < at.UnixMilli() {
		*slot = answered{fingerprint: fingerprint, at: at.UnixMilli()}
	}
}

// last returns when the last answer began that is younger than evidencePeriod, zero if none is
// known.
func (a answers) last(at time.Time, fingerprint Fingerprint) time.Time {
	if len(a) == 0 {
		return time.Time{}
	}
	slot := a[uint64(fingerprint)%uint64(len(a))]
	began := time.UnixMilli(slot.at)
	if slot.fingerprint != fingerprint || at.Sub(began) >= evidencePeriod {
		return time.Time{}
	}
	return began
}
