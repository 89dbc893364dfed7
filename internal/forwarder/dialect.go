// Package forwarder carries routed requests: it finds a request's route, asks
// the reducer of package dispatch where to send it, sends it, judges the answer
// and gives the caller exactly one.
package forwarder

import (
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/logging"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Dialect reads and writes the headers by which callers, forwarders and backend
// servers tell each other what HTTP itself has no word for.
type Dialect interface {
	// Ask reads what a caller says of its request.
	Ask(h http.Header) (Ask, error)
	// Outgoing returns the header of one sending of a request.
	Outgoing(h http.Header, s Sending) http.Header
	// Matches reports whether an answer belongs to the request with the ID.
	Matches(answer http.Header, id string) bool
	// Judge reads what a server says of its answer.
	Judge(status int, answer http.Header, instance string) Verdict
	// Notice reads what a server says of itself with an answer. The error is a
	// *NoticeError if a part of it can't be read; the rest holds.
	Notice(status int, answer http.Header) (dispatch.Notice, error)
	// PrefillResult reads the body of the answer to a prefill.
	PrefillResult(body []byte) (PrefillResult, error)
	// Free is the request that frees a prefill result at its engine.
	Free(r PrefillResult) backend.Request
	// Hold is the request that reserves memory at an engine, HoldResult reads
	// the name of the reservation from its answer, and Drop is the request that
	// gives the reservation back.
	Hold(tokens int, life time.Duration) backend.Request
	HoldResult(body []byte) (string, error)
	Drop(hold string) backend.Request
}

// Ask is what a caller says of its request.
type Ask struct {
	// ID names the request; each try of a caller has its own.
	ID string
	// Call is the same for all tries of a caller at one request, and differs
	// between requests; zero means that the caller does not say.
	Call uint64
	// Within is how long the caller waits; zero means that it does not say.
	Within time.Duration
	// Prompt and Output are the tokens of a generation, the second at most.
	Prompt, Output int
	// Expected is the caller's estimate of the output's tokens; zero means that
	// there is none.
	Expected int
	// Resumes is set if the caller has a part of the answer already.
	Resumes bool
	// Credential is what the caller shows of itself.
	Credential Credential
}

// Credential is the key that a caller shows. It must not be logged.
type Credential struct {
	// Key is empty if none is shown, or not exactly one that can be read.
	Key string
}

// LogValue implements slog.LogValuer: a key never gets into a log.
func (Credential) LogValue() slog.Value { return slog.StringValue(logging.Withheld) }

// CredentialOf reads the only value of a header as "SCHEME KEY".
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

// expected is the tokens of output that are likely.
func (a Ask) expected() int {
	if a.Expected > 0 {
		return min(a.Expected, a.Output)
	}
	return a.Output
}

// output is the tokens of output that memory is reserved for by a forwarder that
// finds places itself.
func (a Ask) output() int { return a.reserved(aloneMargin) }

// reserved is a part of the expected output, or of the most that there can be if
// nothing is expected.
func (a Ask) reserved(margin float64) int {
	if a.Expected <= 0 {
		return a.Output
	}
	return min(a.Output, int(float64(a.Expected)*margin))
}

const (
	// aloneMargin is how much of the estimated output is reserved while no process
	// knows the places of all forwarders. The engine's reservations are then the
	// only bound: they must cover what its generations will write, or it stops some
	// of them for others and reads their prompts again, which holds up all that it
	// works on. With 1.5 that happened to 3.5 in 100 in peaks, with 2.0 to 1.3.
	aloneMargin = 2.0
	// placedMargin is the same at a place that was given by the process that knows
	// all of them. It grants no more than what the generations of an engine are
	// expected to need, so that one which writes less makes room for one which
	// writes more. Reserved memory can't be shared like that: with 1.0 an engine
	// stopped 6 in 100 in peaks, with 0.4 two, and carried a tenth more than with
	// 2.0 and no such bound.
	placedMargin = 0.4
)

// Sending is what one sending of a request tells the server.
type Sending struct {
	// Within is what is left of the caller's time.
	Within time.Duration
	// Instance is the one instance that may run it.
	Instance string
	// PrefillOnly asks for the KV cache of the prompt and no answer.
	PrefillOnly bool
	// Source is where the KV cache of the prompt is fetched; empty computes it.
	Source string
	// Hold is the reservation that the request uses up; empty means none.
	Hold string
	// After is the last event that the caller has; empty begins anew.
	After string
	// Identified is set if callers show who they are: the server is told Organisation,
	// empty for a caller that needs no key, and neither the key nor what the caller said
	// of its organisation.
	Identified   bool
	Organisation string
}

// Verdict is what a server's answer tells beside its body.
type Verdict struct {
	// Ran is "no" if the server states that it did not run the request.
	Ran oriolebend.Ran
	// Signed is set if the answer carries the server's signature.
	Signed bool
	// Moved is set if another instance answered.
	Moved bool
}

// PrefillResult names a computed KV cache at its engine.
type PrefillResult struct {
	Handle string
	Tokens int
}

// IdentityError is a request that can't be told from others.
type IdentityError struct{ Detail string }

// Error implements error.
func (e *IdentityError) Error() string { return "forwarder: " + e.Detail }
