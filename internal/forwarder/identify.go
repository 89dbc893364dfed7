package forwarder

import (
	"github.com/oriolebend/oriolebend/internal/routing"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// identify finds the organisation that holds the caller's key. It returns why there is
// none where one is needed. On a public route a key is not needed, but one that is held is
// honoured: its request counts for its organisation there as well.
func (w *work) identify(table *routing.Table) oriolebend.Reason {
	w.identified = table.Routing.NeedsKeys()
	if !w.identified {
		return ""
	}
	key := w.ask.Credential.Key
	w.organisation = table.Owner(key)
	switch {
	case w.organisation != nil || w.route.Public:
		return ""
	case key == "":
		return oriolebend.ReasonMissingKey
	case table.Revoked(key):
		return oriolebend.ReasonRevokedKey
	}
	return oriolebend.ReasonUnknownKey
}

// rejectUnless rejects a request for what the routing in force does not know, unless there
// may be a newer one: a forwarder that is behind must not turn away what was just declared.
func (w *work) rejectUnless(status int, reason oriolebend.Reason) {
	if current := w.f.config.Current; current != nil && !current() {
		w.refuse(refusal{reason: oriolebend.ReasonControlAway, after: retryUnready})
		return
	}
	w.reject(status, reason, nil)
}

// organisationName is empty for a caller that shows no key.
func (w *work) organisationName() string {
	if w.organisation == nil {
		return ""
	}
	return w.organisation.Name
}

// rank orders the request among those that compete with it.
func (w *work) rank() int {
	if w.organisation != nil && w.organisation.Rank != nil {
		return *w.organisation.Rank
	}
	return w.route.Rank
}
