package oriolebend

// Status is what is declared against what is reached, in total.
type Status struct {
	// Revision is the newest that the answering control VM has.
	Revision uint64 `json:"revision"`
	// Control answered; Leader leads, empty if none is known.
	Control string `json:"control"`
	Leader  string `json:"leader,omitempty"`
	// InForce counts the followers, of Total, that have Revision in force.
	InForce int `json:"inForce"`
	Total   int `json:"total"`
	// Text says the same in one sentence.
	Text string `json:"text"`
	// Rest lists the followers that have not, or were not heard of lately.
	Rest []NodeStatus `json:"rest,omitempty"`
	// Pools lists each declared pool.
	Pools []PoolStatus `json:"pools,omitempty"`
}

// NodeStatus is what one following process has in force.
type NodeStatus struct {
	Node     string `json:"node"`
	Role     string `json:"role,omitempty"`
	Revision uint64 `json:"revision"`
	// Control is the control VM that heard it, HeardAgo how long ago.
	Control  string   `json:"control"`
	HeardAgo Duration `json:"heardAgo"`
	// Silent is true if it has missed several of its reports.
	Silent bool `json:"silent,omitempty"`
}

// PoolStatus is how far one pool is.
type PoolStatus struct {
	Name string `json:"name"`
	// Declared is what its servers are to be, in short.
	Declared   string `json:"declared"`
	MinServers int    `json:"minServers"`
	// Servers counts those that belong to it, Serving those that take work,
	// Settled those that are as declared.
	Servers int `json:"servers"`
	Serving int `json:"serving"`
	Settled int `json:"settled"`
	// Rest lists those that are not.
	Rest []ServerStatus `json:"rest,omitempty"`
}

// ServerStatus is one backend server, declared against reached.
type ServerStatus struct {
	Server Server `json:"server"`
	Pool   string `json:"pool,omitempty"`
	// Declared is the state declared for it.
	Declared ServerState `json:"declared"`
	Settled  bool        `json:"settled"`
	// Progress and Detail are its sidecar's own words, known to the leader.
	Progress string `json:"progress,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

// Explanation says why something is not reached yet.
type Explanation struct {
	Kind     ResourceKind `json:"kind"`
	Name     string       `json:"name"`
	Revision uint64       `json:"revision"`
	Reached  bool         `json:"reached"`
	// Lines are sentences for a person, the most general first.
	Lines []string `json:"lines"`
}

// WatchEvent is one line of a watch. Revision is where to resume after it.
type WatchEvent struct {
	Revision uint64 `json:"revision"`
	// Snapshot is true for a line after which everything is sent anew: what
	// was known before is to be forgotten.
	Snapshot bool `json:"snapshot,omitempty"`
	// Bookmark is true for a line that only tells that all up to Revision was
	// sent.
	Bookmark bool `json:"bookmark,omitempty"`
	// Age is how long ago, for a bookmark, the control VM knew from a quorum
	// that it had all changes; it is absent if it does not know.
	Age *Duration `json:"age,omitempty"`
	// Resource is the changed resource, with Deleted set if it is gone.
	Resource *Resource `json:"resource,omitempty"`
	// Server is the changed member, in state "gone" if its lease ended.
	Server *Server `json:"server,omitempty"`
}

// OperatorProblem is the problem document (RFC 9457) of the operator API.
type OperatorProblem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Reason is the stable word for what happened.
	Reason Reason `json:"reason"`
	// Ran is "no" if nothing was changed, "unknown" if the order may have been
	// accepted: resend it under the same order id.
	Ran Ran `json:"ran"`
	// OrderID names the order, if there was one.
	OrderID string `json:"orderID,omitempty"`
	// Result is the answer to an order that was refused.
	Result *ChangeResult `json:"result,omitempty"`
}

// Headers of the operator API.
const (
	// HeaderOrderID names an order; it is kept over retries.
	HeaderOrderID = "Oriolebend-Order-ID"
	// HeaderRevision is the revision that a read was true for.
	HeaderRevision = "Oriolebend-Revision"
	// HeaderAge is how long ago the answering control VM knew from a quorum
	// that it had all changes.
	HeaderAge = "Oriolebend-Age"
	// HeaderWho names the operator where no tokens are asked for.
	HeaderWho = "Oriolebend-Who"
)
