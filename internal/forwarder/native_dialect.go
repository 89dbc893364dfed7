package forwarder

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Headers of the native dialect; docs/routes.md describes their values.
const (
	headerRequest  = "Oriolebend-Request"
	headerCall     = "Oriolebend-Call"     // the same for all tries at one request
	headerDeadline = "Oriolebend-Deadline" // remaining milliseconds
	headerPrompt   = "Oriolebend-Prompt-Tokens"
	headerOutput   = "Oriolebend-Output-Tokens"
	headerExpected = "Oriolebend-Expected-Tokens"
	headerParts    = "Oriolebend-Prompt-Parts" // the IDs of the parts that other requests may share
	headerInstance = "Oriolebend-Instance"
	headerPhase    = "Oriolebend-Phase"
	headerSource   = "Oriolebend-Source"
	headerHold     = "Oriolebend-Reservation"
	headerRan      = "Oriolebend-Ran"
	headerAfter    = "Last-Event-Id"
	headerResumes  = "Oriolebend-Resumes" // the request whose answer began the stream that is resumed
	headerLeaving  = "Oriolebend-Leaving" // "1": the server accepts no new work
	headerLimit    = "Oriolebend-Limit"   // requests per second from all VMs

	headerOrganisation = "Oriolebend-Organisation" // the organisation of the request, sent to servers
	headerCredential   = "Authorization"
	credentialScheme   = "Bearer"
)

// routerHeaders are the headers that only the router sets; they are removed from callers' requests.
var routerHeaders = []string{headerInstance, headerPhase, headerSource, headerHold}

// NativeDialect is the router's own dialect. In it, callers may leave out the ID of a request.
type NativeDialect struct{}

var _ Dialect = NativeDialect{}

// ParseRequest implements Dialect.
func (NativeDialect) ParseRequest(h http.Header) (RequestInfo, error) {
	ids := h[headerRequest]
	if len(ids) > 1 {
		return RequestInfo{}, &IdentityError{Detail: fmt.Sprintf("%d request names", len(ids))}
	}
	info := RequestInfo{ID: h.Get(headerRequest), Prompt: number(h, headerPrompt), Output: number(h, headerOutput), Expected: number(h, headerExpected)}
	info.Within = time.Duration(number(h, headerDeadline)) * time.Millisecond
	info.Resumes = h.Get(headerAfter) != ""
	info.FirstTry = h.Get(headerResumes)
	info.Parts = PartIDs(h.Get(headerParts))
	info.Credential = CredentialOf(h[headerCredential], credentialScheme)
	if call := h.Get(headerCall); call != "" {
		info.Call = xxhash.Sum64String(call)
	}
	return info, nil
}

// PartIDs splits a list of IDs that are separated by commas. Empty IDs are left out.
func PartIDs(list string) []string {
	var ids []string
	for id := range strings.SplitSeq(list, ",") {
		if id = strings.TrimSpace(id); id != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// number parses a header that holds a non-negative integer; any other value counts as missing.
func number(h http.Header, name string) int {
	value, err := strconv.Atoi(h.Get(name))
	if err != nil {
		return 0
	}
	return max(0, value)
}

// Outgoing implements Dialect.
func (NativeDialect) Outgoing(h http.Header, s SendOptions) http.Header {
	out := h.Clone()
	for _, name := range routerHeaders {
		delete(out, name)
	}
	out.Set(headerRequest, s.ID)
	out.Set(headerDeadline, strconv.FormatInt(max(1, s.Within.Milliseconds()), 10))
	set := func(name, value string) {
		if value != "" {
			out.Set(name, value)
		}
	}
	set(headerInstance, s.Instance)
	set(headerSource, s.Source)
	set(headerHold, s.Hold)
	set(headerAfter, s.After)
	if s.Identified {
		delete(out, headerCredential)
		delete(out, headerOrganisation)
		set(headerOrganisation, s.Organisation)
	}
	if s.PrefillOnly {
		out.Set(headerPhase, string(oriolebend.Prefill))
	}
	return out
}

// Owner implements Dialect.
func (NativeDialect) Owner(answer http.Header, id string) backend.Owner {
	return OwnerNamed(answer[headerRequest], id)
}

// OwnerNamed returns the owner of an answer from the values of the header that names its request. An
// answer that names several requests belongs to none of them.
func OwnerNamed(values []string, id string) backend.Owner {
	switch {
	case len(values) == 0 || (len(values) == 1 && values[0] == ""):
		return backend.OwnerUnnamed
	case len(values) == 1 && values[0] == id:
		return backend.OwnerSelf
	}
	return backend.OwnerOther
}

// Verdict implements Dialect. Servers sign nothing in this dialect: the framing of HTTP shows
// whether an answer is complete.
func (NativeDialect) Verdict(status int, answer http.Header, instance string) Verdict {
	v := ReadNotRun(status, answer[headerRan], func(value string) bool { return value == string(oriolebend.RanNo) })
	v.Signed = true
	other := answer.Get(headerInstance)
	v.Moved = status == http.StatusMisdirectedRequest && other != "" && other != instance
	return v
}

// Notice implements Dialect.
func (NativeDialect) Notice(status int, answer http.Header) (dispatch.Notice, error) {
	return NoticeHeaders{Leaving: headerLeaving, Limit: headerLimit}.Read(status, answer)
}

// PrefillResult implements Dialect.
func (NativeDialect) PrefillResult(body []byte) (PrefillResult, error) {
	var answer struct {
		Result string `json:"result"`
		Tokens int    `json:"tokens"`
	}
	if err := json.Unmarshal(body, &answer); err != nil || answer.Result == "" {
		return PrefillResult{}, &MissingNameError{Missing: "prefill result", Cause: err}
	}
	return PrefillResult{Handle: answer.Result, Tokens: answer.Tokens}, nil
}

// Free implements Dialect.
func (NativeDialect) Free(r PrefillResult) backend.Request {
	return EngineCall(http.MethodDelete, "/results/"+r.Handle, nil)
}

// Hold implements Dialect.
func (NativeDialect) Hold(tokens int, life time.Duration) backend.Request {
	return EngineCall(http.MethodPost, "/reservations", fmt.Appendf(nil, `{"tokens":%d,"lifeMs":%d}`, tokens, life.Milliseconds()))
}

// HoldResult implements Dialect.
func (NativeDialect) HoldResult(body []byte) (string, error) {
	var answer struct {
		Reservation string `json:"reservation"`
	}
	if err := json.Unmarshal(body, &answer); err != nil || answer.Reservation == "" {
		return "", &MissingNameError{Missing: "reservation", Cause: err}
	}
	return answer.Reservation, nil
}

// Drop implements Dialect.
func (NativeDialect) Drop(hold string) backend.Request {
	return EngineCall(http.MethodDelete, "/reservations/"+hold, nil)
}

// EngineCall returns a call of an engine's own interface.
func EngineCall(method, target string, body []byte) backend.Request {
	header := http.Header{}
	if body != nil {
		header.Set("Content-Type", "application/json")
	}
	return backend.Request{Method: method, Target: target, Host: "engine", Header: header, Body: body}
}

// MissingNameError is the error of an engine's answer that lacks the name of a prefill result or
// reservation.
type MissingNameError struct {
	Missing string
	Cause   error
}

// Error implements error.
func (e *MissingNameError) Error() string {
	return fmt.Sprintf("forwarder: an engine's answer names no %s: %v", e.Missing, e.Cause)
}

// Unwrap returns the cause.
func (e *MissingNameError) Unwrap() error { return e.Cause }
