package oriolebend

// Backend is a backend server of a route's service, as its announcements describe it.
type Backend struct {
	// Instance is the name of the server. A server that restarts may keep its name.
	Instance      string   `json:"instance"`
	Service       string   `json:"service"`
	Address       string   `json:"address"`
	FailureDomain string   `json:"failureDomain,omitempty"`
	Slots         int      `json:"slots,omitempty"`
	Role          PoolRole `json:"role,omitempty"`
	// Phase is "ready", "draining" or "gone"; empty means ready.
	Phase string `json:"phase,omitempty"`
	// Incarnation is when this process of the server started, in milliseconds since
	// 1970. Announcements of an earlier incarnation than the latest known one are
	// ignored. Zero means that the server does not report its incarnation.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Sequence grows with each announcement of one incarnation; an announcement with
	// a lower number arrived late and is ignored.
	Sequence uint64 `json:"sequence"`
	// SlowFor is how long the server remains slow after its start.
	SlowFor Duration `json:"slowFor,omitempty"`
	// SoftwareVersion is the version of the server's software, the same for a whole
	// incarnation. A stream that one version began goes on only at servers of that version;
	// empty means that the server does not report its version.
	SoftwareVersion string `json:"softwareVersion,omitempty"`
	// Silent is true if no announcement of the server has arrived for a while.
	Silent bool `json:"silent,omitempty"`
}

// RoutingResult is the answer to a declared routing.
type RoutingResult struct {
	// Version is the version of the routing in force.
	Version uint64 `json:"version"`
	// Changed is false if the same or a higher version was already in force.
	Changed bool `json:"changed"`
}
