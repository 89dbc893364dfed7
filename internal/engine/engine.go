// Package engine speaks to model engines over their HTTP protocol.
package engine

import (
	"context"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Engine is one model engine. Errors are *Error values.
type Engine interface {
	// Prefill computes the KV cache of a prompt and exports it. It returns
	// when the result can be fetched.
	Prefill(ctx context.Context, r PrefillRequest) (PrefillResult, error)
	// Decode imports the KV cache and generates; emit is called for each part
	// in order and once with Finish set. An error of emit cancels the work.
	Decode(ctx context.Context, r DecodeRequest, emit func(message.Part) error) error
	// Cancel ends the work of an attempt and frees its memory and exports. It
	// succeeds if there is none.
	Cancel(ctx context.Context, a message.Attempt) error
	// Work lists the attempts for which the engine holds memory.
	Work(ctx context.Context) ([]Work, error)
	// Load reports the load, which lags by the engine's own period.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the events after a sequence number; they come late
	// and may have gaps.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// CacheIndex returns the hashes of all cached blocks and the sequence
	// number they are true for; it repairs an index after a gap.
	CacheIndex(ctx context.Context) (CacheIndex, error)
	// Order has the engine load, unload or change role. Engines that check
	// fencing refuse a number lower than the highest seen.
	Order(ctx context.Context, o Order) error
	// Info tells what the engine is and holds.
	Info(ctx context.Context) (Info, error)
}

// PrefillRequest asks for the KV cache of a prompt.
type PrefillRequest struct {
	Attempt  message.Attempt    `json:"attempt"`
	Model    string             `json:"model"`
	Version  string             `json:"version,omitempty"`
	Adapter  string             `json:"adapter,omitempty"`
	Prompt   string             `json:"prompt"`
	Priority oriolebend.Urgency `json:"priority"`
}

// PrefillResult tells where a computed KV cache can be fetched.
type PrefillResult struct {
	SourceURL    string        `json:"sourceURL"`
	Tokens       int           `json:"tokens"`
	CachedTokens int           `json:"cachedTokens"`
	KVBytes      int64         `json:"kvBytes"`
	LivesFor     time.Duration `json:"livesForNanos"`
	Took         time.Duration `json:"tookNanos"`
}

// DecodeRequest asks to import a KV cache and generate.
type DecodeRequest struct {
	Attempt message.Attempt `json:"attempt"`
	Model   string          `json:"model"`
	Version string          `json:"version,omitempty"`
	Adapter string          `json:"adapter,omitempty"`
	// SourceURL is where the KV cache of Prompt + Delivered is fetched.
	SourceURL string `json:"sourceURL"`
	Prompt    string `json:"prompt"`
	// Delivered is output that exists already; generation goes on behind it.
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

// LoadReport is an engine's own view of its load, as of At.
type LoadReport struct {
	At          time.Time `json:"at"`
	Running     int       `json:"running"`
	Queued      int       `json:"queued"`
	FreeTokens  int       `json:"freeTokens"`
	TotalTokens int       `json:"totalTokens"`
}

// CacheChange says what a cache event reports.
type CacheChange string

const (
	// BlockStored means that a prefix block is cached.
	BlockStored CacheChange = "stored"
	// BlockEvicted means that a prefix block was dropped.
	BlockEvicted CacheChange = "evicted"
)

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	Sequence uint64      `json:"sequence"`
	Change   CacheChange `json:"change"`
	Block    uint64      `json:"block"`
}

// CacheIndex is the whole prefix cache at one sequence number.
type CacheIndex struct {
	Sequence uint64   `json:"sequence"`
	Blocks   []uint64 `json:"blocks"`
}

// OrderAction is what an order asks of an engine.
type OrderAction string

const (
	// OrderLoad loads a model version.
	OrderLoad OrderAction = "load"
	// OrderUnload drops a model version.
	OrderUnload OrderAction = "unload"
	// OrderAdapter loads an adapter of a loaded model.
	OrderAdapter OrderAction = "adapter"
	// OrderRole changes the pool role.
	OrderRole OrderAction = "role"
)

// Order changes what an engine holds or does.
type Order struct {
	Fencing uint64              `json:"fencing"`
	Action  OrderAction         `json:"action"`
	Model   string              `json:"model,omitempty"`
	Version string              `json:"version,omitempty"`
	Adapter string              `json:"adapter,omitempty"`
	Role    oriolebend.PoolRole `json:"role,omitempty"`
}

// Info is what an engine is and holds.
type Info struct {
	Role      oriolebend.PoolRole      `json:"role"`
	Models    []oriolebend.LoadedModel `json:"models"`
	KVTokens  int                      `json:"kvTokens"`
	LinkBytes float64                  `json:"linkBytes"`
	// BlockTokens is the length of one prefix block, in tokens.
	BlockTokens int `json:"blockTokens"`
	// Fencing is the highest order number seen; zero if it ignores them.
	Fencing uint64 `json:"fencing"`
	// Incarnation changes when the engine restarts and its memory is empty.
	Incarnation uint64 `json:"incarnation"`
}

// Error is a failure that an engine reported or that reaching it met.
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

// Unwrap returns the error beneath.
func (e *Error) Unwrap() error { return e.Cause }
