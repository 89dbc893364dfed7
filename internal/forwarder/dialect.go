// Package forwarder forwards routed requests. For each request it finds the route, asks the reducer
// of package dispatch for a server, sends the request, evaluates the answer and gives the caller
// exactly one answer.
package forwarder

import (
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/logging"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
)

// Dialect reads and writes the headers in which callers, forwarders and backend servers exchange
// what HTTP itself has no header for.
type Dialect interface {
	// ParseRequest reads what the headers state about a caller's request.
	ParseRequest(h http.Header) (RequestInfo, error)
	// Outgoing returns the header for one send of a request.
	Outgoing(h http.Header, s SendOptions) http.Header
	// Owner returns whether an answer names the request with the ID.
	Owner(answer http.Header, id string) backend.Owner
	// Verdict reads what a server states about its answer.
	Verdict(status int, answer http.Header, instance string) Verdict
	// Notice reads the state that a server reports in the headers of an answer. The error is a
	// *NoticeError if a part of it can't be parsed; the rest is valid.
	Notice(status int, answer http.Header) (dispatch.Notice, error)
	// PrefillResult parses the body of the answer to a prefill.
	PrefillResult(body []byte) (PrefillResult, error)
	// Free returns the request that frees a prefill result at its engine.
	Free(r PrefillResult) backend.Request
	// Hold returns the request that reserves memory at an engine, HoldResult parses the name of the
	// reservation from its answer, and Drop returns the request that releases the reservation.
	Hold(tokens int, life time.Duration) backend.Request
	HoldResult(body []byte) (string, error)
	Drop(hold string) backend.Request
}

// RequestInfo holds what the headers of a caller's request state about it.
type RequestInfo struct {
	// ID identifies the request; each try of a caller has its own ID.
	ID string
	// Call is the same for all tries of a caller at one request, and differs between requests; zero
	// means that the caller did not state it.
	Call uint64
	// Within is how long the caller waits; zero means that the caller did not state it.
	Within time.Duration
	// Prompt is the number of prompt tokens of a generation, Output the maximum number of its
	// output tokens.
	Prompt, Output int
	// Expected is the caller's estimate of the number of output tokens; zero means that there is
	// none.
	Expected int
	// Parts are the IDs of the parts of the prompt that other requests may share, in order. The part
	// that belongs to this request alone is left out.
	Parts []string
	// Resumes is set if the caller already has a part of the answer.
	Resumes bool
	// FirstTry is the ID of the caller's try whose answer brought the first event of the stream
	// that the request resumes; empty if the caller did not state it.
	FirstTry string
	// Credential is the caller's credential.
	Credential Credential
}

// resumesStream reports whether the request resumes a stream.
func (i RequestInfo) resumesStream() bool { return i.Resumes || i.FirstTry != "" }

// Credential is the key that a caller shows. It must not be logged.
type Credential struct {
	// Key is empty unless the request has exactly one key that can be parsed.
	Key string
}

// LogValue implements slog.LogValuer; it keeps the key out of logs.
func (Credential) LogValue() slog.Value { return slog.StringValue(logging.Withheld) }

// CredentialOf parses the only value of a header as "SCHEME KEY".
func CredentialOf(values []string, scheme string) Credential {
	if len(values) != 1 {
		return Credential{}
	}
	named, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(named, scheme) || strings.ContainsAny(key, " ,\t") {
		key = ""
	}
	return Credential{Key: key}
}

// expected returns the likely number of output tokens.
func (i RequestInfo) expected() int {
	if i.Expected > 0 {
		return min(i.Expected, i.Output)
	}
	return i.Output
}

// output returns the number of output tokens for which a forwarder that chooses engines itself
// reserves memory.
func (i RequestInfo) output() int { return i.reserved(localMargin) }

// reserved returns the expected output times margin, at most the maximum output; without an
// expectation it returns the maximum output.
func (i RequestInfo) reserved(margin float64) int {
	if i.Expected <= 0 {
		return i.Output
	}
	return min(i.Output, int(float64(i.Expected)*margin))
}

const (
	// localMargin is the multiple of the expected output that is reserved while no process knows
	// the placements of all forwarders. Then the engine's reservations are the only limit. They
	// must cover what its generations will write; otherwise the engine preempts some of them for
	// others and reads their prompts again, which delays all its work. In peaks that happened to
	// 3.5 in 100 generations with 1.5, and to 1.3 in 100 with 2.0.
	localMargin = 2.0
	// placedMargin is used in place of localMargin for a placement that was granted by the
	// allocator, which knows all placements. The allocator grants no more than what the generations
	// of an engine are expected to need, so that a generation that writes less leaves room for one
	// that writes more. Reserved memory can't be shared like that: in peaks an engine preempted 6
	// in 100 generations with 1.0 and 2 in 100 with 0.4. With 0.4 it also carried a tenth more than
	// with 2.0 and without the allocator's limit.
	placedMargin = 0.4
)

// SendOptions holds what the headers of one send tell the server.
type SendOptions struct {
	// ID is the ID of the request, which the server's answers name.
	ID string
	// Within is what remains of the caller's time.
	Within time.Duration
	// Instance is the only server instance that may run the request.
	Instance string
	// PrefillOnly requests the KV cache of the prompt and no answer.
	PrefillOnly bool
	// Source is the location from which the KV cache of the prompt is fetched; if empty, the server
	// computes it.
	Source string
	// Hold is the reservation that the request uses up; empty means none.
	Hold string
	// After is the last event that the caller has; if empty, the stream starts from the beginning.
	After string
	// Identified is set if callers are identified by keys. The server then receives Organisation,
	// empty for a caller that needs no key, and neither the key nor an organisation that the caller
	// stated.
	Identified   bool
	Organisation string
}

// PrefillResult identifies a computed KV cache at its engine.
type PrefillResult struct {
	Handle string
	Tokens int
}

// IdentityError is the error of a request without a valid ID, for example with several IDs.
type IdentityError struct{ Detail string }

// Error implements error.
func (e *IdentityError) Error() string { return "forwarder: " + e.Detail }
