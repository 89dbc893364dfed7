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

// Line is one line of the response to a long call. At most one field is set. An
// empty line only shows that the engine is alive.
type Line struct {
	Part   *LinePart      `json:"part,omitempty"`
	Result *PrefillResult `json:"result,omitempty"`
	Done   bool           `json:"done,omitempty"`
	Error  *Error         `json:"error,omitempty"`
}

// LinePart is a run of output tokens. It does not repeat the attempt, because a
// response belongs to one attempt.
type LinePart struct {
	Offset int                  `json:"offset"`
	Tokens int                  `json:"tokens"`
	Text   string               `json:"text"`
	Finish message.FinishReason `json:"finish,omitempty"`
}

// CancelRequest requests that the work of an attempt is stopped.
type CancelRequest struct {
	Attempt message.Attempt `json:"attempt"`
}

// statusByReason maps each reason that an engine may report to its HTTP status.
// It must not be modified.
var statusByReason = map[oriolebend.Reason]int{
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

// StatusOf returns the HTTP status of a reason, or 500 for a reason that engines do
// not report.
func StatusOf(reason oriolebend.Reason) int {
	if status, ok := statusByReason[reason]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// restrictReason limits the reasons that the router accepts from an engine. Any
// reason that engines do not report becomes engineFailed, with the reported reason in
// the detail.
func restrictReason(e *Error) *Error {
	if _, ok := statusByReason[e.Reason]; ok {
		return e
	}
	return &Error{
		Reason: oriolebend.ReasonEngineFailed,
		Detail: "reported " + string(e.Reason) + ": " + e.Detail,
	}
}
