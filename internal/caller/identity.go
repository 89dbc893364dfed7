package caller

import (
	"net/http"
	"strings"

	"github.com/oriolebend/oriolebend/internal/identity"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// devOrganisation is the organisation of a caller that names none, if the entry is
// open.
const devOrganisation = "dev"

// identities indexes the organisations by name and by token.
type identities struct {
	byName map[string]settings.Organisation
	tokens identity.Keys[settings.Organisation]
}

func newIdentities(organisations []settings.Organisation) identities {
	known := identities{byName: map[string]settings.Organisation{}, tokens: identity.Keys[settings.Organisation]{}}
	for _, o := range organisations {
		known.byName[o.Name] = o
		for _, token := range o.Tokens {
			known.tokens.Add(token, o)
		}
	}
	return known
}

// identify returns the organisation that sent a request. An invalid token is refused
// even if none is required: its sender means to act as one organisation and would
// get the answers of another.
func (h *handler) identify(r *http.Request) (settings.Organisation, error) {
	token := bearerToken(r)
	if owner, found := h.organisations.tokens.Owner(token); found {
		return owner, nil
	}
	if !h.Caller.Open || token != "" {
		return settings.Organisation{}, refuse(oriolebend.ReasonUnauthorized,
			"send the organisation's token as \"Authorization: Bearer TOKEN\"")
	}
	return h.openOrganisation(r)
}

// openOrganisation returns the organisation that the caller names, without a check.
// Only dev sets Caller.Open.
func (h *handler) openOrganisation(r *http.Request) (settings.Organisation, error) {
	name := r.Header.Get(HeaderOrganisation)
	if name == "" {
		name = devOrganisation
	}
	if !validKey(name) {
		return settings.Organisation{}, refuse(oriolebend.ReasonMalformed, HeaderOrganisation+": "+keyRule)
	}
	if known, found := h.organisations.byName[name]; found {
		return known, nil
	}
	return settings.Organisation{Name: name}, nil
}

func bearerToken(r *http.Request) string {
	const scheme = "bearer "
	value := r.Header.Get("Authorization")
	if len(value) < len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) {
		return ""
	}
	return strings.TrimSpace(value[len(scheme):])
}
