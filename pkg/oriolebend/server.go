package oriolebend

// PoolRole is the phase of a request that a backend server runs.
type PoolRole string

const (
	// Prefill servers compute the KV cache of prompts.
	Prefill PoolRole = "prefill"
	// Decode servers import KV cache and generate tokens.
	Decode PoolRole = "decode"
	// Service servers run plain services instead of model engines.
	Service PoolRole = "service"
)

// ServerState is the state of a backend server; it determines whether the server
// accepts new work.
type ServerState string

const (
	// ServerServing means that the server accepts new work.
	ServerServing ServerState = "serving"
	// ServerLoading means that the server is changing its model, adapter, version or
	// role.
	ServerLoading ServerState = "loading"
	// ServerLeaving means that the server accepts no new work and finishes the work
	// that it has.
	ServerLeaving ServerState = "leaving"
	// ServerStopping is like ServerLeaving, and the sidecar stops once the work has
	// finished.
	ServerStopping ServerState = "stopping"
	// ServerGone means that the server no longer holds its membership lease.
	ServerGone ServerState = "gone"
)

// LoadedModel is one model that a backend server has loaded.
type LoadedModel struct {
	Model    string   `json:"model" cbor:"model"`
	Version  string   `json:"version" cbor:"version"`
	Adapters []string `json:"adapters,omitempty" cbor:"adapters,omitempty"`
}

// Server is a backend server as announced by its sidecar.
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
	// Service is the name of the plain service, for servers with role Service.
	Service string `json:"service,omitempty" cbor:"service,omitempty"`
	// KVTokens is the capacity of the engine's KV memory in tokens.
	KVTokens int `json:"kvTokens,omitempty" cbor:"kvTokens,omitempty"`
	// LinkBytes is the bandwidth of the server's link in bytes per second.
	LinkBytes float64 `json:"linkBytes,omitempty" cbor:"linkBytes,omitempty"`
}

// Serves reports whether the server has the role and has loaded the model. An empty
// version or adapter matches any.
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
