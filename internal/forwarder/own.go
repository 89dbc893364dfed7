package forwarder

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Headers of the product's own dialect. docs/routes.md tells what each holds.
const (
	ownRequest  = "Oriolebend-Request"
	ownCall     = "Oriolebend-Call"     // the same for all tries at one request
	ownDeadline = "Oriolebend-Deadline" // milliseconds that are left
	ownPrompt   = "Oriolebend-Prompt-Tokens"
	ownOutput   = "Oriolebend-Output-Tokens"
	ownExpected = "Oriolebend-Expected-Tokens"
	ownInstance = "Oriolebend-Instance"
	ownPhase    = "Oriolebend-Phase"
	ownSource   = "Oriolebend-Source"
	ownHold     = "Oriolebend-Reservation"
	ownRan      = "Oriolebend-Ran"
	ownAfter    = "Last-Event-Id"
	ownLeaving  = "Oriolebend-Leaving" // "1": the server takes no new work
	ownLimit    = "Oriolebend-Limit"   // requests a second from all VMs

	ownOrganisation = "Oriolebend-Organisation" // whose request it is, for servers
	ownCredential   = "Authorization"
	ownScheme       = "Bearer"
)

// ownRouterOnly are set by the router alone.
var ownRouterOnly = []string{ownInstance, ownPhase, ownSource, ownHold}

// Own is the dialect of the product itself. Callers that name no request get a
// name from the forwarder's log alone.
type Own struct{}

var _ Dialect = Own{}

// Ask implements Dialect.
func (Own) Ask(h http.Header) (Ask, error) {
	ids := h[ownRequest]
	if len(ids) > 1 {
		return Ask{}, &IdentityError{Detail: fmt.Sprintf("%d request names", len(ids))}
	}
	ask := Ask{ID: h.Get(ownRequest), Prompt: number(h, ownPrompt), Output: number(h, ownOutput), Expected: number(h, ownExpected)}
	ask.Within = time.Duration(number(h, ownDeadline)) * time.Millisecond
	ask.Resumes = h.Get(ownAfter) != ""
	ask.Credential = CredentialOf(h[ownCredential], ownScheme)
	if call := h.Get(ownCall); call != "" {
		ask.Call = xxhash.Sum64String(call)
	}
	return ask, nil
}

// number reads a header that holds a whole number from 0; what is none counts
// as not given.
func number(h http.Header, name string) int {
	value, err := strconv.Atoi(h.Get(name))
	if err != nil {
		return 0
	}
	return max(0, value)
}

// Outgoing implements Dialect.
func (Own) Outgoing(h http.Header, s Sending) http.Header {
	out := h.Clone()
	for _, name := range ownRouterOnly {
		delete(out, name)
	}
	out.Set(ownDeadline, strconv.FormatInt(max(1, s.Within.Milliseconds()), 10))
	set := func(name, value string) {
		if value != "" {
			out.Set(name, value)
		}
	}
	set(ownInstance, s.Instance)
	set(ownSource, s.Source)
	set(ownHold, s.Hold)
	set(ownAfter, s.After)
	if s.Identified {
		delete(out, ownCredential)
		delete(out, ownOrganisation)
		set(ownOrganisation, s.Organisation)
	}
	if s.PrefillOnly {
		out.Set(ownPhase, string(oriolebend.Prefill))
	}
	return out
}

// Matches implements Dialect.
func (Own) Matches(answer http.Header, id string) bool {
	named := answer.Get(ownRequest)
	return named == "" || named == id
}

// Judge implements Dialect. Servers sign nothing here: the framing of HTTP
// tells whether an answer is whole.
func (Own) Judge(status int, answer http.Header, instance string) Verdict {
	v := Verdict{Ran: oriolebend.RanUnknown, Signed: true}
	if answer.Get(ownRan) == string(oriolebend.RanNo) || status == http.StatusMisdirectedRequest {
		v.Ran = oriolebend.RanNo
	}
	other := answer.Get(ownInstance)
	v.Moved = status == http.StatusMisdirectedRequest && other != "" && other != instance
	return v
}

// Notice implements Dialect.
func (Own) Notice(status int, answer http.Header) (dispatch.Notice, error) {
	return NoticeHeaders{Leaving: ownLeaving, Limit: ownLimit}.Read(status, answer)
}

// PrefillResult implements Dialect.
func (Own) PrefillResult(body []byte) (PrefillResult, error) {
	var answer struct {
		Result string `json:"result"`
		Tokens int    `json:"tokens"`
	}
	if err := json.Unmarshal(body, &answer); err != nil || answer.Result == "" {
		return PrefillResult{}, &NamelessError{What: "prefill result", Cause: err}
	}
	return PrefillResult{Handle: answer.Result, Tokens: answer.Tokens}, nil
}

// Free implements Dialect.
func (Own) Free(r PrefillResult) backend.Request {
	return EngineCall(http.MethodDelete, "/results/"+r.Handle, nil)
}

// Hold implements Dialect.
func (Own) Hold(tokens int, life time.Duration) backend.Request {
	return EngineCall(http.MethodPost, "/reservations", fmt.Appendf(nil, `{"tokens":%d,"lifeMs":%d}`, tokens, life.Milliseconds()))
}

// HoldResult implements Dialect.
func (Own) HoldResult(body []byte) (string, error) {
	var answer struct {
		Reservation string `json:"reservation"`
	}
	if err := json.Unmarshal(body, &answer); err != nil || answer.Reservation == "" {
		return "", &NamelessError{What: "reservation", Cause: err}
	}
	return answer.Reservation, nil
}

// Drop implements Dialect.
func (Own) Drop(hold string) backend.Request {
	return EngineCall(http.MethodDelete, "/reservations/"+hold, nil)
}

// EngineCall is a call of an engine's own interface.
func EngineCall(method, target string, body []byte) backend.Request {
	header := http.Header{}
	if body != nil {
		header.Set("Content-Type", "application/json")
	}
	return backend.Request{Method: method, Target: target, Host: "engine", Header: header, Body: body}
}

// NamelessError is an answer of an engine that names nothing.
type NamelessError struct {
	What  string
	Cause error
}

// Error implements error.
func (e *NamelessError) Error() string {
	return fmt.Sprintf("forwarder: an engine's answer names no %s: %v", e.What, e.Cause)
}

// Unwrap returns the error beneath.
func (e *NamelessError) Unwrap() error { return e.Cause }
