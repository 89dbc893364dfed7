package standin

import (
	"net/http"
	"time"

	"github.com/oriolebend/oriolebend/internal/prefix"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Default values of EngineConfig.
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
	// batchSlowdownDivisor sets the slowdown by batching: each further sequence of
	// a batch lengthens the step by DecodeStep/batchSlowdownDivisor.
	batchSlowdownDivisor = 100
	// prefillChunk is the maximum number of tokens of one prompt that are computed
	// in one step. The most urgent prompt is selected again for each step.
	prefillChunk = 512
)

// EngineConfig describes a stand-in engine.
type EngineConfig struct {
	// Name identifies the engine in errors.
	Name string
	// URL is the base URL of prefill results. If it is empty, the handler uses the
	// host that the request was sent to.
	URL string
	// Role is the pool role at the start; empty means prefill.
	Role oriolebend.PoolRole
	// Models are the models loaded at the start.
	Models []oriolebend.LoadedModel
	// PrefillTokens is the prefill rate in prompt tokens per second; zero means
	// 20,000.
	PrefillTokens float64
	// DecodeStep is the time between output tokens of a single request; zero
	// means 25ms. Each further request of the batch adds a hundredth of it.
	DecodeStep time.Duration
	// MaxBatch is the maximum number of requests in one decode step; zero means 64.
	MaxBatch int
	// KVTokens is the size of the KV memory in tokens; zero means 160,000.
	KVTokens int
	// CacheTokens is the size of the prefix cache in tokens; zero means KVTokens.
	CacheTokens int
	// BlockTokens is the length of a prefix block in tokens; zero means 64.
	BlockTokens int
	// LinkBytes is the rate of the link in bytes per second; zero means 2e9.
	LinkBytes float64
	// Link is a link that may be shared with other engines. If it is set, LinkBytes
	// is not used.
	Link *Link
	// KVTokenBytes is the size of one token's KV cache in bytes; zero means 64 KiB.
	// The KV cache of a prompt of 8,000 tokens then has 524 MB, which corresponds to
	// the users' 990 GB/s at 1,900 requests/s.
	KVTokenBytes int64
	// BodyScale is the factor by which the body of a transfer is scaled down. The
	// transfer takes the time of the unscaled size. Zero means 1,000. Both ends must
	// use the same value.
	BodyScale int64
	// ExportLife is the time for which a prefill result can be fetched; zero means
	// 800ms. A transfer in progress at the end of this time may continue for the same
	// time again.
	ExportLife time.Duration
	// LoadPeriod is the maximum lag of load reports; zero means 500ms.
	LoadPeriod time.Duration
	// EventDelay is the delay with which cache events are published; zero means 300ms.
	EventDelay time.Duration
	// EventLoss is the fraction of cache events that are never published.
	EventLoss float64
	// Seed is the random seed for the loss of cache events.
	Seed uint64
	// IgnoresFencing makes the engine accept outdated orders.
	IgnoresFencing bool
	// WeightStore is the base URL of the weight store. If it is empty, a load takes
	// LoadTime.
	WeightStore string
	// LoadTime is the duration of a load without a weight store; zero means 2s.
	LoadTime time.Duration
	// Transport fetches prefill results and weights; nil means a transport that only
	// this engine uses.
	Transport http.RoundTripper
}

// withDefaults replaces zero values with the defaults.
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

// setDefault sets a field to value if it has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
