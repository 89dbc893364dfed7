package record

import "time"

// Defaults of Limits.
const (
	defaultMaxRecords     = 4 << 20
	defaultMaxBytes       = 2 << 30
	defaultMaxAnswerBytes = 64 << 10
	defaultMaxAnswers     = 512 << 20
	defaultKeepRecords    = 24 * time.Hour
	defaultKeepAnswers    = time.Hour
)

// Limits bounds the memory of the records and sets how long they are kept. The
// limits are part of the log, because two control VMs with different settings
// would otherwise reach different states.
type Limits struct {
	// MaxRecords bounds the number of records; zero means 4,194,304.
	MaxRecords int `cbor:"maxRecords"`
	// MaxBytes bounds the memory of records without answers; zero means 2 GiB.
	MaxBytes int64 `cbor:"maxBytes"`
	// MaxAnswerBytes bounds one stored answer; zero means 64 KiB.
	MaxAnswerBytes int `cbor:"maxAnswerBytes"`
	// MaxAnswersBytes bounds all stored answers. Beyond it the oldest answers are
	// removed before KeepAnswers has passed. Zero means 512 MiB.
	MaxAnswersBytes int64 `cbor:"maxAnswersBytes"`
	// KeepRecords is how long a settled record is kept; zero means 24h.
	KeepRecords time.Duration `cbor:"keepRecords"`
	// KeepRepeatable is how long the settled record of a repeatable request is
	// kept; zero means as long as KeepRecords.
	KeepRepeatable time.Duration `cbor:"keepRepeatable"`
	// KeepAnswers is how long a stored answer is kept; zero means 1h.
	KeepAnswers time.Duration `cbor:"keepAnswers"`
}

func (l Limits) withDefaults() Limits {
	l.MaxRecords = orDefault(l.MaxRecords, defaultMaxRecords)
	l.MaxBytes = orDefault(l.MaxBytes, defaultMaxBytes)
	l.MaxAnswerBytes = orDefault(l.MaxAnswerBytes, defaultMaxAnswerBytes)
	l.MaxAnswersBytes = orDefault(l.MaxAnswersBytes, defaultMaxAnswers)
	l.KeepRecords = orDefault(l.KeepRecords, defaultKeepRecords)
	l.KeepRepeatable = orDefault(l.KeepRepeatable, l.KeepRecords)
	l.KeepAnswers = orDefault(l.KeepAnswers, defaultKeepAnswers)
	return l
}

func orDefault[T int | int64 | time.Duration](value, other T) T {
	if value <= 0 {
		return other
	}
	return value
}
