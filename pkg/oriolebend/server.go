package oriolebend

// PoolRole says which phase of a request a backend server runs.
type PoolRole string

const (
	// Prefill servers turn prompts into KV cache.
	Prefill PoolRole = "prefill"
	// Decode servers import KV cache and generate tokens.
	Decode PoolRole = "decode"
	// Service servers run plain services beside the model engines.
	Service PoolRole = "service"
)

// ServerState says whether a backend server takes new work.
type ServerState string

const (
	// ServerServing takes new work.
	ServerServing ServerState = "serving"
	// ServerLoading changes its model, adapter, version or role.
	ServerLoading ServerState = "loading"
	// ServerLeaving takes no new work and ends the work that it has.
	ServerLeaving ServerState = "leaving"
	// ServerStopping leaves, and its sidecar stops once its work has ended.
	ServerStopping ServerState = "stopping"
	// ServerGone no longer holds its membership lease.
	ServerGone ServerState = "gone"
)

// LoadedModel is one model that a backend server holds ready.
type LoadedModel struct {
	Model    string   `json:"model" cbor:"model"`
	Version  string   `json:"version" cbor:"version"`
	Adapters []string `json:"adapters,omitempty" cbor:"adapters,omitempty"`
}

// Server is a backend server as its sidecar announces it.
type Server struct {
	Name          string `json:"name" cbor:"name"`
	Region        string `json:"region" cbor:"region"`
	FailureDomain string `json:"failureDomain" cbor:"failureDomain"`
	// GateAddress is the UDP address of the sidecar, IP:port.
	GateAddress string `json:"gateAddress" cbor:"gateAddress"`
	// Incarnation grows with each start of the sidecar.
	Incarnation uint64        `json:"incarnation" cbor:"incarnation"`
	Role        PoolRole      `json:"role" cbor:"role"`
	State       ServerState   `json:"state" cbor:"state"`
	Models      []LoadedModel `json:"models,omitempty" cbor:"models,omitempty"`
	// Service is the name of the plain service, for servers of that role.
	Service string `json:"service,omitempty" cbor:"service,omitempty"`
	// KVTokens is how many tokens of KV cache the engine's memory holds.
	KVTokens int `json:"kvTokens,omitempty" cbor:"kvTokens,omitempty"`
	// LinkBytes is the rate of the server's link in bytes a second.
	LinkBytes float64 `json:"linkBytes,omitempty" cbor:"linkBytes,omitempty"`
}

// Serves reports whether the server is of the role and holds the model. An
// empty version or adapter matches any.
func (s Server) Serves(role PoolRole, model, version, adapter string) bool {
	if s.Role != role {
		return false
	}
	for _, m := range s.Models {
		if m.Model == model && m.matches(version, adapter) {
			return true
		}
	}
	return false
}

func (m LoadedModel) matches(version, adapter string) bool {
	if version != "" && version != m.Version {
		return false
	}
	if adapter == "" {
		return true
	}
	for _, held := range m.Adapters {
		if held == adapter {
			return true
		}
	}
	return false
}
