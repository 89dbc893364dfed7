package entry

import (
	"cmp"

	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// weightsVersion returns the version of the model's weights that the request uses: the one that its
// caller names or, if it names none, the one that was chosen for it.
func (r *request) weightsVersion() string { return cmp.Or(r.Version, r.chosenVersion) }

// chooseVersion chooses the version of the model's weights for a request whose caller names none. A
// KV cache and the output of one version must not be continued by another one, so that the choice
// stands while a decode reservation is open, and for good once there is output.
func (s *State) chooseVersion(r *request) {
	if r.Version != "" || r.output.tokens > 0 || r.decode != nil {
		return
	}
	r.chosenVersion = ""
	members := s.pool(r.pool(oriolebend.Prefill)).Members()
	if len(members) == 0 {
		return
	}
	// Versions are chosen in proportion to their prefill servers.
	first := policy.Rendezvous(r.record, r.Model) % uint64(len(members))
	for i := range members {
		v := members[(int(first)+i)%len(members)]
		if r.chosenVersion = s.decodableVersion(r, v.Server); r.chosenVersion != "" {
			return
		}
	}
}

// decodableVersion returns a version of the request's model that a server has loaded and that a decode
// server has loaded too, empty if there is none.
func (s *State) decodableVersion(r *request, v oriolebend.Server) string {
	for _, m := range v.Models {
		if m.Model != r.Model || !v.Serves(v.Role, m.Model, m.Version, r.Adapter) {
			continue
		}
		decode := poolKey{role: oriolebend.Decode, model: m.Model, version: m.Version, adapter: r.Adapter}
		if s.pool(decode).Len() > 0 {
			return m.Version
		}
	}
	return ""
}
