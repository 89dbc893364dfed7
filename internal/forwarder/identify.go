package forwarder

import (
	"github.com/oriolebend/oriolebend/internal/routing"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// identify finds the organisation that holds the caller's key. If the route requires a key and
// there is no such organisation, it returns the reason. On a public route a key is not required,
// but a valid one is honoured: the request then counts for its organisation there as well.
func (w *work) identify(table *routing.Table) oriolebend.Reason {
	w.identified = table.Routing.NeedsKeys()
	if !w.identified {
		return ""
	}
	key := w.info.Credential.Key
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

// rejectUnless rejects a request that refers to something unknown to the routing in force, unless a
// newer routing may exist: a forwarder whose routing is outdated must not reject what was just
// declared.
func (w *work) rejectUnless(status int, reason oriolebend.Reason) {
	if current := w.f.config.Current; current != nil && !current() {
		w.refuse(refusal{reason: oriolebend.ReasonControlAway, after: retryNotReady})
		return
	}
	w.reject(status, reason, nil)
}

// organisationName returns the name of the caller's organisation, empty if there is none.
func (w *work) organisationName() string {
	if w.organisation == nil {
		return ""
	}
	return w.organisation.Name
}

// rank returns the rank of the organisation, or that of the route if the organisation has none.
func (w *work) rank() int {
	if w.organisation != nil && w.organisation.Rank != nil {
		return *w.organisation.Rank
	}
	return w.route.Rank
}
