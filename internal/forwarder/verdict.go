package forwarder

import (
	"net/http"
	"slices"

	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Verdict is what a server's answer states in addition to its body.
type Verdict struct {
	// Ran is "no" if the server states that it did not run the request.
	Ran oriolebend.Ran
	// NotRun holds the values of the header in which the server states that it did not run the
	// request.
	NotRun []string
	// Signed is set if the answer carries the server's signature.
	Signed bool
	// Moved is set if another instance answered.
	Moved bool
	// Doubt is the reason why the statement that the request did not run is not believed, empty if
	// it is believed or there is none.
	Doubt Doubt
}

// Doubt is the reason why a server's refusal is not believed.
type Doubt string

// Reasons for doubt.
const (
	// DoubtUnnamed is an answer that does not name the request.
	DoubtUnnamed Doubt = "unnamed"
	// DoubtTrailing is an answer that further bytes follow at once.
	DoubtTrailing Doubt = "trailingBytes"
	// DoubtContradicted is a statement that the status or another statement contradicts.
	DoubtContradicted Doubt = "contradicted"
)

// ReadNotRun returns the verdict on an answer by its status and the values of the header in which
// servers state that they did not run a request. Another value of the header, or a status that no
// refusal has, contradicts the statement.
func ReadNotRun(status int, values []string, statesNotRun func(value string) bool) Verdict {
	v := Verdict{Ran: oriolebend.RanUnknown, NotRun: values}
	stated := slices.ContainsFunc(values, statesNotRun)
	denied := slices.ContainsFunc(values, func(value string) bool { return !statesNotRun(value) })
	refuses := promisesNotRun(status) || status == http.StatusBadRequest
	switch {
	case stated && (denied || !refuses):
		v.Doubt = DoubtContradicted
	case stated || (status == http.StatusMisdirectedRequest && !denied):
		v.Ran = oriolebend.RanNo
	}
	return v
}

// promisesNotRun reports whether a status tells callers that their request has not run and never
// will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// verdict returns what a server's answer states, once its body has been read. A refusal is believed
// only if it is certainly the answer to the request: a caller whose request has run after all would
// send it again.
func (f *Forwarder) verdict(server message.BackendServer, r *backend.Response) Verdict {
	v := f.config.Dialect.Verdict(r.Status, r.Header, server.Instance)
	switch {
	case v.Ran != oriolebend.RanNo:
	case r.Trace.Owner != backend.OwnerSelf:
		v.Doubt = DoubtUnnamed
	case r.Trailing():
		v.Doubt = DoubtTrailing
	}
	if v.Doubt != "" {
		v.Ran, v.Moved = oriolebend.RanUnknown, false
		f.config.Observer.Count("refusalDoubted", "", "")
	}
	return v
}

// beginsStream reports whether an answer is the stream that was requested.
func (f *Forwarder) beginsStream(server message.BackendServer, r *backend.Response) bool {
	v := f.config.Dialect.Verdict(r.Status, r.Header, server.Instance)
	return r.Status == http.StatusOK && v.Signed && v.Doubt == ""
}

// refused reports whether the server itself refused the request and did not run it.
func (r result) refused() bool {
	return r.err == nil && r.verdict.Ran == oriolebend.RanNo && !r.verdict.Moved
}
