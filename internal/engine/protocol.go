package engine

import (
	"net/http"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Paths of the engine protocol; docs/engine-protocol.md describes them.
const (
	PathPrefill     = "/engine/v1/prefill"
	PathDecode      = "/engine/v1/decode"
	PathCancel      = "/engine/v1/cancel"
	PathOrders      = "/engine/v1/orders"
	PathWork        = "/engine/v1/work"
	PathLoad        = "/engine/v1/load"
	PathCacheEvents = "/engine/v1/cacheEvents"
	PathCacheIndex  = "/engine/v1/cacheIndex"
	PathInfo        = "/engine/v1/info"
	PathKV          = "/engine/v1/kv/"
)

// Line is one line of a long call's answer. At most one field is set; an
// empty line only tells that the engine is alive.
type Line struct {
	Part   *LinePart      `json:"part,omitempty"`
	Result *PrefillResult `json:"result,omitempty"`
	Done   bool           `json:"done,omitempty"`
	Error  *Error         `json:"error,omitempty"`
}

// LinePart is a run of output tokens. The attempt is not repeated: a
// connection carries one attempt.
type LinePart struct {
	Offset int                  `json:"offset"`
	Tokens int                  `json:"tokens"`
	Text   string               `json:"text"`
	Finish message.FinishReason `json:"finish,omitempty"`
}

// CancelRequest asks for the end of an attempt's work.
type CancelRequest struct {
	Attempt message.Attempt `json:"attempt"`
}

// statusOf gives the HTTP status of each reason that an engine may report.
// It is read and never changed.
var statusOf = map[oriolebend.Reason]int{
	oriolebend.ReasonMalformed:       http.StatusBadRequest,
	oriolebend.ReasonTooLarge:        http.StatusRequestEntityTooLarge,
	oriolebend.ReasonWrongModel:      http.StatusNotFound,
	oriolebend.ReasonWrongRole:       http.StatusMisdirectedRequest,
	oriolebend.ReasonOutdatedOrder:   http.StatusConflict,
	oriolebend.ReasonAttemptUsed:     http.StatusConflict,
	oriolebend.ReasonResultExpired:   http.StatusGone,
	oriolebend.ReasonTransferStalled: http.StatusGatewayTimeout,
	oriolebend.ReasonNoMemory:        http.StatusInsufficientStorage,
	oriolebend.ReasonLoading:         http.StatusServiceUnavailable,
	oriolebend.ReasonCallerCancelled: 499,
	oriolebend.ReasonEngineFailed:    http.StatusInternalServerError,
}

// StatusOf returns the HTTP status that goes with a reason; 500 for a reason
// that engines do not report.
func StatusOf(reason oriolebend.Reason) int {
	if status, ok := statusOf[reason]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// reported bounds what an engine may make the router say: a reason that is
// not one of an engine's own becomes engineFailed, with the word as detail.
func reported(e *Error) *Error {
	if _, ok := statusOf[e.Reason]; ok {
		return e
	}
	return &Error{
		Reason: oriolebend.ReasonEngineFailed,
		Detail: "reported " + string(e.Reason) + ": " + e.Detail,
	}
}
