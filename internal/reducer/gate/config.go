package gate

import (
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Values that stand for a zero in Config.
const (
	defaultLease          = 3 * time.Second
	defaultTickEvery      = 100 * time.Millisecond
	defaultQueueBound     = 1024
	defaultPrefillSlots   = 2
	defaultUrgentSlots    = 4
	defaultPrefillBudget  = 32_768
	defaultDecodeSlots    = 64
	defaultConcurrency    = 64
	defaultBetweenWithin  = 41 * time.Millisecond
	defaultAgeAfter       = 5 * time.Second
	defaultPatientShare   = 0.25
	defaultMargin         = 2.5
	defaultClosedFor      = 10 * time.Minute
	defaultClosedBound    = 65_536
	defaultCancelRetry    = 500 * time.Millisecond
	defaultListEvery      = 2 * time.Second
	defaultRepairEvery    = time.Second
	defaultStartWithin    = 5 * time.Second
	defaultTransferWithin = 600 * time.Millisecond
	defaultCacheBlocks    = 131_072
	defaultPrefillRate    = 20_000
	defaultDecodeStep     = 25 * time.Millisecond
	defaultOutputTokens   = 128
	defaultCallTook       = 50 * time.Millisecond
)

// Config sets the limits and periods of one gate. Every field may be left
// zero; its comment says what a zero means.
type Config struct {
	// Role is "service" for a gate beside a plain service, which is then ready
	// without an EngineKnown. Empty learns the role from the engine.
	Role oriolebend.PoolRole
	// Service is the name of the plain service; empty accepts any name.
	Service string
	// Lease is how long a session lives without renewal; zero means 3s.
	Lease time.Duration
	// TickEvery is the longest time between two Ticked; zero means 100ms.
	TickEvery time.Duration
	// QueueBound is how many reservations may wait; zero means 1,024.
	QueueBound int
	// PrefillSlots is how many prefills the engine is given at once; zero
	// means 2.
	PrefillSlots int
	// UrgentSlots is how many urgent prefills may run beyond PrefillSlots;
	// zero means 4.
	UrgentSlots int
	// PrefillBudget is how many uncached prompt tokens the running prefills
	// may sum up to; a single larger one runs alone. Zero means 32,768.
	PrefillBudget int
	// DecodeSlots is the most decodes at once; the limit adapts below it so
	// that BetweenWithin is kept. Zero means 64.
	DecodeSlots int
	// Concurrency is the most calls of a plain service at once; the limit
	// adapts below it. Zero means 64.
	Concurrency int
	// BetweenWithin is the target of the time between output tokens; zero
	// means 41ms.
	BetweenWithin time.Duration
	// AgeAfter is the age from which a patient reservation has a right to
	// PatientShare; zero means 5s.
	AgeAfter time.Duration
	// PatientShare is the share of the work that aged patient reservations
	// get while urgent ones wait, in (0, 1); zero means 0.25.
	PatientShare float64
	// Shares weighs organisations in the queue; one that is missing weighs 1.
	Shares map[string]float64
	// PromiseMargin is by how many standard deviations the memory that decodes
	// are expected to hold is taken for more when room is promised. Too little,
	// and promised room isn't free in time, which wastes prefills; too much,
	// and memory is left empty. Zero means 2.5.
	PromiseMargin float64
	// ClosedFor and ClosedBound say how long and how many closed attempts are
	// remembered; zero means 10m and 65,536.
	ClosedFor   time.Duration
	ClosedBound int
	// CancelRetry is the time until an unconfirmed cancellation is asked for
	// again; zero means 500ms.
	CancelRetry time.Duration
	// ListEvery is the time between two readings of the engine's work; zero
	// means 2s.
	ListEvery time.Duration
	// RepairEvery is the time between two readings of the cache index while
	// it is doubtful; zero means 1s.
	RepairEvery time.Duration
	// StartWithin is how long a granted reservation may stay without its work
	// from the moment it asked for; zero means 5s.
	StartWithin time.Duration
	// TransferWithin bounds the wait for room of a decode whose message names
	// no bound; zero means 600ms.
	TransferWithin time.Duration
	// DeclaredWithin is how long after its start a gate waits for its declared
	// state before it serves without one; zero doesn't wait.
	DeclaredWithin time.Duration
	// CacheBlocks bounds the cache index; zero means 131,072.
	CacheBlocks int
	// PrefillRate, DecodeStep, OutputTokens and CallTook are the predictions
	// used until something was observed; zero means 20,000 tokens a second,
	// 25ms, 128 tokens and 50ms.
	PrefillRate  float64
	DecodeStep   time.Duration
	OutputTokens int
	CallTook     time.Duration
}

// filled returns c with every zero replaced by what it stands for.
func (c Config) filled() Config {
	setDefault(&c.Lease, defaultLease)
	setDefault(&c.TickEvery, defaultTickEvery)
	setDefault(&c.QueueBound, defaultQueueBound)
	setDefault(&c.PrefillSlots, defaultPrefillSlots)
	setDefault(&c.UrgentSlots, defaultUrgentSlots)
	setDefault(&c.PrefillBudget, defaultPrefillBudget)
	setDefault(&c.DecodeSlots, defaultDecodeSlots)
	setDefault(&c.Concurrency, defaultConcurrency)
	setDefault(&c.BetweenWithin, defaultBetweenWithin)
	setDefault(&c.AgeAfter, defaultAgeAfter)
	setDefault(&c.PatientShare, defaultPatientShare)
	setDefault(&c.PromiseMargin, defaultMargin)
	setDefault(&c.ClosedFor, defaultClosedFor)
	setDefault(&c.ClosedBound, defaultClosedBound)
	setDefault(&c.CancelRetry, defaultCancelRetry)
	setDefault(&c.ListEvery, defaultListEvery)
	setDefault(&c.RepairEvery, defaultRepairEvery)
	setDefault(&c.StartWithin, defaultStartWithin)
	setDefault(&c.TransferWithin, defaultTransferWithin)
	setDefault(&c.CacheBlocks, defaultCacheBlocks)
	setDefault(&c.PrefillRate, defaultPrefillRate)
	setDefault(&c.DecodeStep, defaultDecodeStep)
	setDefault(&c.OutputTokens, defaultOutputTokens)
	setDefault(&c.CallTook, defaultCallTook)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
