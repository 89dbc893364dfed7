package entry

import (
	"cmp"
	"time"

	"github.com/oriolebend/oriolebend/internal/policy"
)

// Config configures an entry. Every field but Name has a useful zero value.
type Config struct {
	// Name is the process name of the entry; each reservation carries it to the
	// gate.
	Name string
	// Owner is the name and incarnation of this process, unique to this run;
	// empty means Name.
	Owner string
	// Region and FailureDomain are the location of the entry.
	Region        string
	FailureDomain string
	// Seed seeds the random numbers of the jitter and of random candidates.
	Seed uint64

	// Route is the policy that picks candidates; empty means reserve.
	Route policy.Name
	// Probes is the largest number of prefill gates or services that are probed
	// for one request; zero means 2.
	Probes int
	// DecodeProbes is the largest number of decode gates that are probed; zero
	// means 2.
	DecodeProbes int
	// ProbeInParallel probes all candidates at the same time. If it is false, the
	// next candidate is probed only if the one before can't serve at once or
	// does not answer.
	ProbeInParallel bool
	// FirstWithin is the target of the time to the first token for requests
	// that carry none; zero means 1.2s.
	FirstWithin time.Duration
	// BetweenWithin is the target of the time between tokens for requests that
	// carry none; zero means 41ms.
	BetweenWithin time.Duration

	// AdmitAll admits requests even if their first token is expected to be
	// late. It is a baseline for comparisons.
	AdmitAll bool

	// MaxRequests bounds the requests that the entry holds; zero means 4,096.
	MaxRequests int
	// MaxWaiting bounds the accepted requests that wait for capacity; zero
	// means 2,048.
	MaxWaiting int
	// MaxWaitingBytes bounds the prompts of waiting requests; zero means
	// 64 MiB.
	MaxWaitingBytes int
	// Organisations sets the share and rate of organisations by name; those
	// not listed have share 1 and no rate limit.
	Organisations map[string]Organisation
	// RetryShare is the number of retries that each success adds to a budget;
	// zero means 0.2.
	RetryShare float64
	// RetryFloor is the number of retries a second that a budget gains without
	// any success, so that accepted work always advances; zero means 1.
	RetryFloor float64
	// RetryBurst is the size of a retry budget; zero means 32, which is more
	// than the requests that one decode server holds.
	RetryBurst float64
	// MaxConcurrency bounds the adaptive concurrency limit of a pool; zero
	// means 1,024.
	MaxConcurrency int

	// ClaimWithin is how long a claim may stay unanswered before its caller is
	// refused. It is longer than an election and than the longest call to the
	// control VMs. Zero means 6s.
	ClaimWithin time.Duration
	// OfferWithin is how long a round waits for an offer before it probes the
	// next candidate, or takes the best offer that it has; zero means 20ms.
	OfferWithin time.Duration
	// ProbeWithin is how long a gate may leave a reservation unanswered; zero
	// means 500ms.
	ProbeWithin time.Duration
	// HoldPrefill is how long a granted prefill reservation is held idle while
	// the request waits for a decode reservation; zero means 100ms.
	HoldPrefill time.Duration
	// StallWithin is how long dispatched work may show no progress before it is
	// run on another server; zero means 10s.
	StallWithin time.Duration
	// CallWithin is how long a call of a plain service may take; zero means
	// 30s.
	CallWithin time.Duration
	// SettleWithin is how long the end of an answer waits for the record to be
	// settled; zero means 2s.
	SettleWithin time.Duration
	// SettleEvery is the pause between two tries to settle a record, and
	// SettleTimeout the timeout of one try; zero means 1s and 6s.
	SettleEvery   time.Duration
	SettleTimeout time.Duration
	// SettleFor is how long the entry tries to settle a record; zero means 1m.
	SettleFor time.Duration
	// StatusWithin is how long the entry queries the outcome of a lost call;
	// zero means 2s.
	StatusWithin time.Duration
	// StatusEvery is the pause before the status of a call that still runs is
	// queried again; zero means 100ms.
	StatusEvery time.Duration
	// RetryBase and RetryMax bound the full jitter of retries; zero means
	// 20ms and 2s.
	RetryBase time.Duration
	RetryMax  time.Duration
	// MaxEngineFailures is the number of failures that engines report in a row,
	// without any progress, after which a request is given up; zero means 8.
	MaxEngineFailures int
}

// Organisation sets the limits of one organisation.
type Organisation struct {
	// Share is the weight of the organisation in the queue; zero means 1.
	Share float64
	// Rate is the largest number of its new requests a second; zero means no
	// bound.
	Rate float64
	// Burst is the number of requests that may arrive at once; zero means Rate,
	// but at least 1.
	Burst float64
}

func (c Config) withDefaults() Config {
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
	c.SettleTimeout = cmp.Or(c.SettleTimeout, 6*time.Second)
	c.SettleFor = cmp.Or(c.SettleFor, time.Minute)
	c.StatusWithin = cmp.Or(c.StatusWithin, 2*time.Second)
	c.StatusEvery = cmp.Or(c.StatusEvery, 100*time.Millisecond)
	c.RetryBase = cmp.Or(c.RetryBase, 20*time.Millisecond)
	c.RetryMax = cmp.Or(c.RetryMax, 2*time.Second)
	c.MaxEngineFailures = cmp.Or(c.MaxEngineFailures, 8)
	return c
}
