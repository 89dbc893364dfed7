package oriolebend

// Backend is a backend server of a route's service, as it announces itself.
type Backend struct {
	// Instance names the server. One that starts again may keep its name.
	Instance      string   `json:"instance"`
	Service       string   `json:"service"`
	Address       string   `json:"address"`
	FailureDomain string   `json:"failureDomain,omitempty"`
	Slots         int      `json:"slots,omitempty"`
	Role          PoolRole `json:"role,omitempty"`
	// Phase is "ready", "draining" or "gone"; empty means ready.
	Phase string `json:"phase,omitempty"`
	// Incarnation is when this start of the server began, in milliseconds since 1970:
	// what is said by an earlier start than the last one known is passed over. Zero
	// means that the server does not say.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Sequence grows with each announcement of one start; a lower one is passed
	// over as late.
	Sequence uint64   `json:"sequence"`
	SlowFor  Duration `json:"slowFor,omitempty"`
	// Silent is set if the server has not been heard of for a while.
	Silent bool `json:"silent,omitempty"`
}

// RoutingResult tells what became of a declared routing.
type RoutingResult struct {
	// Version is in force.
	Version uint64 `json:"version"`
	// Changed is false if a version as high was in force already.
	Changed bool `json:"changed"`
}
