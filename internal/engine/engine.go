// Package engine is the client with which a sidecar calls its model engine over HTTP. It also
// defines the interface Engine and the data of the engine protocol.
package engine

import (
	"context"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Engine is one model engine. Its methods return errors of type *Error.
type Engine interface {
	// Prefill computes the KV cache of a prompt and exports it. It returns
	// when the result can be fetched.
	Prefill(ctx context.Context, r PrefillRequest) (PrefillResult, error)
	// Decode imports the KV cache and generates output. It calls emit for each
	// part in order, and sets Finish in the last part only. An error from emit
	// cancels the work.
	Decode(ctx context.Context, r DecodeRequest, emit func(message.Part) error) error
	// Cancel stops the work of an attempt and frees its memory and exports. It
	// also succeeds if the attempt has no work.
	Cancel(ctx context.Context, a message.Attempt) error
	// Work returns the attempts for which the engine holds memory.
	Work(ctx context.Context) ([]Work, error)
	// Load returns the reported load, which lags by the engine's report period.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the events after a sequence number. Events are
	// published with a delay and may have gaps.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// CacheIndex returns the hashes of all cached blocks and the sequence
	// number for which the list is valid. It repairs an index after a gap.
	CacheIndex(ctx context.Context) (CacheIndex, error)
	// Order makes the engine load or unload a model or change its role. An
	// engine that checks fencing refuses a number lower than the highest seen.
	Order(ctx context.Context, o Order) error
	// Info returns the engine's role, models, capacity and incarnation.
	Info(ctx context.Context) (Info, error)
}

// PrefillRequest requests the KV cache of a prompt.
type PrefillRequest struct {
	Attempt  message.Attempt    `json:"attempt"`
	Model    string             `json:"model"`
	Version  string             `json:"version,omitempty"`
	Adapter  string             `json:"adapter,omitempty"`
	Prompt   string             `json:"prompt"`
	Priority oriolebend.Urgency `json:"priority"`
}

// PrefillResult describes a computed KV cache and the URL to fetch it from.
type PrefillResult struct {
	SourceURL    string        `json:"sourceURL"`
	Tokens       int           `json:"tokens"`
	CachedTokens int           `json:"cachedTokens"`
	KVBytes      int64         `json:"kvBytes"`
	LivesFor     time.Duration `json:"livesForNanos"`
	Took         time.Duration `json:"tookNanos"`
}

// DecodeRequest requests the import of a KV cache and the generation of output.
type DecodeRequest struct {
	Attempt message.Attempt `json:"attempt"`
	Model   string          `json:"model"`
	Version string          `json:"version,omitempty"`
	Adapter string          `json:"adapter,omitempty"`
	// SourceURL is the URL from which the KV cache of Prompt + Delivered is fetched.
	SourceURL string `json:"sourceURL"`
	Prompt    string `json:"prompt"`
	// Delivered is the output that was already generated. Generation continues after it.
	Delivered      string             `json:"delivered,omitempty"`
	Offset         int                `json:"offset,omitempty"`
	MaxTokens      int                `json:"maxTokens"`
	Priority       oriolebend.Urgency `json:"priority"`
	TransferWithin time.Duration      `json:"transferWithinNanos"`
}

// Work is one attempt for which an engine holds memory.
type Work struct {
	Attempt message.Attempt `json:"attempt"`
	Phase   message.Phase   `json:"phase"`
	Tokens  int             `json:"tokens"`
}

// LoadReport is the load that an engine reports, as of At.
type LoadReport struct {
	At          time.Time `json:"at"`
	Running     int       `json:"running"`
	Queued      int       `json:"queued"`
	FreeTokens  int       `json:"freeTokens"`
	TotalTokens int       `json:"totalTokens"`
}

// CacheChange is the kind of change that a cache event reports.
type CacheChange string

const (
	// BlockStored means that a prefix block was added to the cache.
	BlockStored CacheChange = "stored"
	// BlockEvicted means that a prefix block was removed from the cache.
	BlockEvicted CacheChange = "evicted"
)

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	Sequence uint64      `json:"sequence"`
	Change   CacheChange `json:"change"`
	Block    uint64      `json:"block"`
}

// CacheIndex is the complete list of cached prefix blocks at one sequence number.
type CacheIndex struct {
	Sequence uint64   `json:"sequence"`
	Blocks   []uint64 `json:"blocks"`
}

// OrderAction is the action that an order requests.
type OrderAction string

const (
	// OrderLoad loads a model version.
	OrderLoad OrderAction = "load"
	// OrderUnload unloads a model version.
	OrderUnload OrderAction = "unload"
	// OrderAdapter loads an adapter of a loaded model.
	OrderAdapter OrderAction = "adapter"
	// OrderRole changes the pool role.
	OrderRole OrderAction = "role"
)

// Order changes the models, adapters or role of an engine.
type Order struct {
	Fencing uint64              `json:"fencing"`
	Action  OrderAction         `json:"action"`
	Model   string              `json:"model,omitempty"`
	Version string              `json:"version,omitempty"`
	Adapter string              `json:"adapter,omitempty"`
	Role    oriolebend.PoolRole `json:"role,omitempty"`
}

// Info describes an engine's role, models, capacity and incarnation.
type Info struct {
	Role      oriolebend.PoolRole      `json:"role"`
	Models    []oriolebend.LoadedModel `json:"models"`
	KVTokens  int                      `json:"kvTokens"`
	LinkBytes float64                  `json:"linkBytes"`
	// BlockTokens is the length of one prefix block, in tokens.
	BlockTokens int `json:"blockTokens"`
	// Fencing is the highest order number seen, or zero if the engine ignores fencing.
	Fencing uint64 `json:"fencing"`
	// Incarnation changes when the engine restarts with empty memory.
	Incarnation uint64 `json:"incarnation"`
}

// Error is a failure that an engine reported or that occurred on the connection to it.
type Error struct {
	Reason oriolebend.Reason `json:"reason"`
	Detail string            `json:"detail,omitempty"`
	Cause  error             `json:"-"`
}

// Error implements error.
func (e *Error) Error() string {
	text := "engine: " + string(e.Reason)
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
