package gate

import (
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Defaults of Config's fields.
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
	defaultPromiseMargin  = 2.5
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

// Config sets the limits and periods of one gate. Every field may be zero; its
// comment gives the default.
type Config struct {
	// Role is "service" for a gate in front of a plain service, which is then
	// ready without an EngineKnown. If it is empty, the engine reports the
	// role.
	Role oriolebend.PoolRole
	// Service is the name of the plain service. If it is empty, any name is
	// accepted.
	Service string
	// Lease is how long a session lives without renewal; zero means 3s.
	Lease time.Duration
	// TickEvery is the longest time between two Ticked events; zero means
	// 100ms.
	TickEvery time.Duration
	// QueueBound is how many reservations may wait; zero means 1,024.
	QueueBound int
	// PrefillSlots is how many prefills the engine is given at once; zero means
	// 2.
	PrefillSlots int
	// UrgentSlots is how many urgent prefills may run in addition to
	// PrefillSlots; zero means 4.
	UrgentSlots int
	// PrefillBudget bounds the sum of the uncached prompt tokens of the running
	// prefills. A single larger prefill runs alone. Zero means 32,768.
	PrefillBudget int
	// DecodeSlots is the maximum number of concurrent decodes. An adaptive
	// limit stays at or below it so that BetweenWithin is kept. Zero means 64.
	DecodeSlots int
	// Concurrency is the maximum number of concurrent calls of a plain service.
	// An adaptive limit stays at or below it. Zero means 64.
	Concurrency int
	// BetweenWithin is the target for the time between output tokens; zero
	// means 41ms.
	BetweenWithin time.Duration
	// AgeAfter is the age from which a patient reservation is entitled to
	// PatientShare; zero means 5s.
	AgeAfter time.Duration
	// PatientShare is the share of the work that aged patient reservations get
	// while urgent ones wait, in (0, 1); zero means 0.25.
	PatientShare float64
	// Shares holds the weights of organisations in the queue. One that is
	// missing has weight 1.
	Shares map[string]float64
	// PromiseMargin is how many standard deviations are added to the memory
	// that decodes are expected to hold when capacity is promised. If it is too
	// small, promised capacity isn't free in time, which wastes prefills. If it
	// is too large, memory stays unused. Zero means 2.5.
	PromiseMargin float64
	// ClosedFor and ClosedBound are how long and how many closed attempts are
	// remembered; zero means 10m and 65,536.
	ClosedFor   time.Duration
	ClosedBound int
	// CancelRetry is the time after which an unconfirmed cancellation is
	// repeated; zero means 500ms.
	CancelRetry time.Duration
	// ListEvery is the time between two reads of the engine's work; zero means
	// 2s.
	ListEvery time.Duration
	// RepairEvery is the time between two reads of the cache index while it is
	// unverified. It is also the shortest time between the last read of the
	// engine's work and one that a load report triggers. Zero means 1s.
	RepairEvery time.Duration
	// StartWithin is how long a granted reservation may stay without its work,
	// from the moment that its Reserve asked for; zero means 5s.
	StartWithin time.Duration
	// TransferWithin bounds the wait for capacity and the transfer of a decode
	// whose message names no bound; zero means 600ms. Transfers are planned by
	// it as well.
	TransferWithin time.Duration
	// DeclaredWithin is how long after its start a gate waits for its declared
	// state before it serves without one; zero means that it doesn't wait.
	DeclaredWithin time.Duration
	// CacheBlocks bounds the cache index; zero means 131,072.
	CacheBlocks int
	// PrefillRate, DecodeStep, OutputTokens and CallTook are the initial
	// predictions, used until something is observed; zero means 20,000 tokens a
	// second, 25ms, 128 tokens and 50ms.
	PrefillRate  float64
	DecodeStep   time.Duration
	OutputTokens int
	CallTook     time.Duration
}

// withDefaults returns c with every zero field replaced by its default.
func (c Config) withDefaults() Config {
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
	setDefault(&c.PromiseMargin, defaultPromiseMargin)
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
