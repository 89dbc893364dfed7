package standin

import (
	"net/http"
	"time"

	"github.com/oriolebend/oriolebend/internal/prefix"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Values that stand in for zero values of EngineConfig.
const (
	defaultPrefillTokens = 20_000.0
	defaultDecodeStep    = 25 * time.Millisecond
	defaultKVTokens      = 160_000
	defaultLinkBytes     = 2e9
	defaultKVTokenBytes  = 64 << 10
	defaultBodyScale     = 1_000
	defaultExportLife    = 800 * time.Millisecond
	defaultLoadPeriod    = 500 * time.Millisecond
	defaultEventDelay    = 300 * time.Millisecond
	defaultLoadTime      = 2 * time.Second
	defaultMaxBatch      = 64
	// perSequenceShare is the part of DecodeStep by which each sequence of a
	// batch lengthens the step.
	perSequenceShare = 100
	// prefillChunk is how many tokens of one prompt are computed between two
	// choices of the most urgent one.
	prefillChunk = 512
)

// EngineConfig describes a stand-in engine.
type EngineConfig struct {
	// Name tells engines apart in errors.
	Name string
	// URL is the base URL in the addresses of prefill results; if empty, the
	// handler takes the host that the request was sent to.
	URL string
	// Role is the pool role at start; empty means prefill.
	Role oriolebend.PoolRole
	// Models are held from the start.
	Models []oriolebend.LoadedModel
	// PrefillTokens is how many prompt tokens a second a prefill computes;
	// zero means 20,000.
	PrefillTokens float64
	// DecodeStep is the time between output tokens of a lone request; zero
	// means 25ms. Each further request of the batch adds a hundredth of it.
	DecodeStep time.Duration
	// MaxBatch bounds the requests of one decode step; zero means 64.
	MaxBatch int
	// KVTokens is the size of the KV memory in tokens; zero means 160,000.
	KVTokens int
	// CacheTokens is the size of the prefix cache; zero means as KVTokens.
	CacheTokens int
	// BlockTokens is the length of a prefix block; zero means 64.
	BlockTokens int
	// LinkBytes is the link's rate in bytes a second; zero means 2e9.
	LinkBytes float64
	// Link is shared with other engines if set; LinkBytes is then unused.
	Link *Link
	// KVTokenBytes is the size of one token's KV cache; zero means 64 KiB,
	// so that a prompt of 8,000 tokens has 524 MB, the users' 990 GB/s over 1,900
	// requests/s.
	KVTokenBytes int64
	// BodyScale divides the bytes that a transfer really carries; their time
	// is paid in full. Zero means 1,000. Both ends must agree.
	BodyScale int64
	// ExportLife is how long a prefill result can be fetched; zero means
	// 800ms. A transfer that began in time may go on for as long again.
	ExportLife time.Duration
	// LoadPeriod is how far load reports lag at most; zero means 500ms.
	LoadPeriod time.Duration
	// EventDelay is how late cache events are published; zero means 300ms.
	EventDelay time.Duration
	// EventLoss is the share of cache events that is never published.
	EventLoss float64
	// Seed drives the loss of cache events.
	Seed uint64
	// IgnoresFencing makes the engine accept outdated orders.
	IgnoresFencing bool
	// WeightStore is the base URL of the weight store. If empty, a load takes
	// LoadTime.
	WeightStore string
	// LoadTime is how long a load or role change takes without a weight
	// store; zero means 2s.
	LoadTime time.Duration
	// Transport fetches prefill results and weights; nil means one of the
	// engine's own.
	Transport http.RoundTripper
}

// withDefaults fills in the zero values.
func (c EngineConfig) withDefaults() EngineConfig {
	setDefault(&c.Role, oriolebend.Prefill)
	setDefault(&c.PrefillTokens, defaultPrefillTokens)
	setDefault(&c.DecodeStep, defaultDecodeStep)
	setDefault(&c.MaxBatch, defaultMaxBatch)
	setDefault(&c.KVTokens, defaultKVTokens)
	setDefault(&c.CacheTokens, c.KVTokens)
	setDefault(&c.BlockTokens, prefix.BlockTokens)
	setDefault(&c.LinkBytes, defaultLinkBytes)
	setDefault(&c.KVTokenBytes, defaultKVTokenBytes)
	setDefault(&c.BodyScale, defaultBodyScale)
	setDefault(&c.ExportLife, defaultExportLife)
	setDefault(&c.LoadPeriod, defaultLoadPeriod)
	setDefault(&c.EventDelay, defaultEventDelay)
	setDefault(&c.LoadTime, defaultLoadTime)
	if c.Link == nil {
		c.Link = NewLink(c.LinkBytes)
	}
	if c.Transport == nil {
		c.Transport = &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}
	}
	return c
}

// setDefault replaces a zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
