package gate

import (
	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Effect is an action for the sidecar. Effects are carried out in order, and
// none of them blocks the reducer.
type Effect interface{ gateEffect() }

// Reply sends a message over a session.
type Reply struct {
	Session SessionID
	Message message.Message
}

// EndSession closes a session once the messages before it are sent.
type EndSession struct{ Session SessionID }

// RunPrefill starts a prefill. EnginePrefilled or WorkFailed follows.
type RunPrefill struct{ Request engine.PrefillRequest }

// RunDecode starts a decode. EnginePart events or WorkFailed follow.
type RunDecode struct{ Request engine.DecodeRequest }

// RunCall starts a call of a plain service. ServiceAnswered or WorkFailed
// follows.
type RunCall struct{ Call message.Call }

// QueryStatus queries the service for the outcome of an earlier call.
// ServiceAnswered or WorkFailed follows.
type QueryStatus struct{ Query message.StatusQuery }

// CancelWork ends the engine's work for an attempt. Cancelled follows.
type CancelWork struct{ Attempt message.Attempt }

// ListWork reads the engine's list of work. WorkListed follows. A single failed
// list does not mean that the engine is lost.
type ListWork struct{}

// ListCache reads the complete cache index. CacheListed follows.
type ListCache struct{}

// Announce reports the server's new state to the control VMs.
type Announce struct{ State oriolebend.ServerState }

// Count adds one to a counter, such as that of refusals, cancellations or
// repairs.
type Count struct {
	What   string
	Reason oriolebend.Reason
}

// Drained reports that a stopping or leaving server has no work left.
type Drained struct{}

func (Reply) gateEffect()       {}
func (EndSession) gateEffect()  {}
func (RunPrefill) gateEffect()  {}
func (RunDecode) gateEffect()   {}
func (RunCall) gateEffect()     {}
func (QueryStatus) gateEffect() {}
func (CancelWork) gateEffect()  {}
func (ListWork) gateEffect()    {}
func (ListCache) gateEffect()   {}
func (Announce) gateEffect()    {}
func (Count) gateEffect()       {}
func (Drained) gateEffect()     {}
