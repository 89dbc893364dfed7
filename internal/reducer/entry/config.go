package entry

import (
	"cmp"
	"time"

	"github.com/oriolebend/oriolebend/internal/policy"
)

// Config sets up an entry. Every field but Name has a useful zero value.
type Config struct {
	// Name is the entry's process name; gates see it in each reservation.
	Name string
	// Owner is the name and start of this process, unique to this run; empty
	// means Name.
	Owner string
	// Region and FailureDomain say where the entry stands.
	Region        string
	FailureDomain string
	// Seed starts the random numbers of jitter and of random candidates.
	Seed uint64

	// Route is the policy that picks candidates; empty means reserve.
	Route policy.Name
	// Probes is how many prefill gates or services are asked for one request
	// at most; zero means 2.
	Probes int
	// DecodeProbes is how many decode gates are asked at most; zero means 2.
	DecodeProbes int
	// AskAtOnce asks all of them at the same time; false asks the next one only
	// if the one before can't serve at once or does not answer.
	AskAtOnce bool
	// FirstWithin is the target of the time to the first token for requests
	// that carry none; zero means 1.2s.
	FirstWithin time.Duration
	// BetweenWithin is the target of the time between tokens for requests that
	// carry none; zero means 41ms.
	BetweenWithin time.Duration

	// AdmitAll takes requests in whose first token is expected to be late; it
	// is there to be compared with.
	AdmitAll bool

	// MaxRequests bounds the requests that the entry holds; zero means 4,096.
	MaxRequests int
	// MaxWaiting bounds the accepted requests that wait for room; zero means
	// 2,048.
	MaxWaiting int
	// MaxWaitingBytes bounds the prompts of waiting requests; zero means
	// 64 MiB.
	MaxWaitingBytes int
	// Organisations sets the share and rate of organisations by name; those
	// not listed have share 1 and no rate limit.
	Organisations map[string]Organisation
	// RetryShare is how many retries the budget gains for each success; zero
	// means 0.2.
	RetryShare float64
	// RetryFloor is how many retries a second a budget gains without any
	// success, so that accepted work always advances; zero means 1.
	RetryFloor float64
	// RetryBurst bounds a retry budget; zero means 32, which is more than the
	// requests that one decode server holds.
	RetryBurst float64
	// MaxConcurrency bounds the adaptive concurrency limit of a pool; zero
	// means 1,024.
	MaxConcurrency int

	// ClaimWithin is how long a claim may stay unanswered before its caller is
	// refused; it is longer than an election and than one call to the control
	// VMs may take. Zero means 6s.
	ClaimWithin time.Duration
	// OfferWithin is how long a round waits for an offer before it asks the
	// next candidate, or takes the best one that it has; zero means 20ms.
	OfferWithin time.Duration
	// ProbeWithin is how long a gate may leave a reservation unanswered; zero
	// means 500ms.
	ProbeWithin time.Duration
	// HoldPrefill is how long granted prefill room is held idle while decode
	// room is awaited; zero means 100ms.
	HoldPrefill time.Duration
	// StallWithin is how long dispatched work may show no progress before it
	// is run elsewhere; zero means 10s.
	StallWithin time.Duration
	// CallWithin is how long a call of a plain service may take; zero means
	// 30s.
	CallWithin time.Duration
	// SettleWithin is how long the end of an answer waits for its record;
	// zero means 2s.
	SettleWithin time.Duration
	// SettleEvery is the pause between two tries to settle a record, and
	// SettleSilence how long one try may stay unanswered; zero means 1s and 6s.
	SettleEvery   time.Duration
	SettleSilence time.Duration
	// SettleFor is how long a record is tried to be settled; zero means 1m.
	SettleFor time.Duration
	// StatusWithin is how long the outcome of a lost call is asked for; zero
	// means 2s.
	StatusWithin time.Duration
	// StatusEvery is the pause before a call that still runs is asked for
	// again; zero means 100ms.
	StatusEvery time.Duration
	// RetryBase and RetryMax bound the full jitter of retries; zero means
	// 20ms and 2s.
	RetryBase time.Duration
	RetryMax  time.Duration
	// MaxEngineFailures ends a request after so many failures in a row that
	// engines reported without any progress; zero means 8.
	MaxEngineFailures int
}

// Organisation sets what one organisation may use.
type Organisation struct {
	// Share weighs the organisation in the queue; zero means 1.
	Share float64
	// Rate bounds its new requests a second; zero means no bound.
	Rate float64
	// Burst is how many may come at once; zero means Rate.
	Burst float64
}

func (c Config) filled() Config {
	c.Owner = cmp.Or(c.Owner, c.Name)
	c.Route = cmp.Or(c.Route, policy.Reserve)
	c.Probes = cmp.Or(c.Probes, 2)
	c.DecodeProbes = cmp.Or(c.DecodeProbes, 2)
	c.FirstWithin = cmp.Or(c.FirstWithin, 1200*time.Millisecond)
	c.BetweenWithin = cmp.Or(c.BetweenWithin, 41*time.Millisecond)
	c.MaxRequests = cmp.Or(c.MaxRequests, 4096)
	c.MaxWaiting = cmp.Or(c.MaxWaiting, 2048)
	c.MaxWaitingBytes = cmp.Or(c.MaxWaitingBytes, 64<<20)
	c.RetryShare = cmp.Or(c.RetryShare, 0.2)
	c.RetryFloor = cmp.Or(c.RetryFloor, 1)
	c.RetryBurst = cmp.Or(c.RetryBurst, 32)
	c.MaxConcurrency = cmp.Or(c.MaxConcurrency, 1024)
	c.ClaimWithin = cmp.Or(c.ClaimWithin, 6*time.Second)
	c.OfferWithin = cmp.Or(c.OfferWithin, 20*time.Millisecond)
	c.ProbeWithin = cmp.Or(c.ProbeWithin, 500*time.Millisecond)
	c.HoldPrefill = cmp.Or(c.HoldPrefill, 100*time.Millisecond)
	c.StallWithin = cmp.Or(c.StallWithin, 10*time.Second)
	c.CallWithin = cmp.Or(c.CallWithin, 30*time.Second)
	c.SettleWithin = cmp.Or(c.SettleWithin, 2*time.Second)
	c.SettleEvery = cmp.Or(c.SettleEvery, time.Second)
	c.SettleSilence = cmp.Or(c.SettleSilence, 6*time.Second)
	c.SettleFor = cmp.Or(c.SettleFor, time.Minute)
	c.StatusWithin = cmp.Or(c.StatusWithin, 2*time.Second)
	c.StatusEvery = cmp.Or(c.StatusEvery, 100*time.Millisecond)
	c.RetryBase = cmp.Or(c.RetryBase, 20*time.Millisecond)
	c.RetryMax = cmp.Or(c.RetryMax, 2*time.Second)
	c.MaxEngineFailures = cmp.Or(c.MaxEngineFailures, 8)
	return c
}
