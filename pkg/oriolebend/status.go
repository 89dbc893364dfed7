package oriolebend

// Status compares the declared state with the state that the fleet has reached.
type Status struct {
	// Revision is the newest revision that the answering control VM has applied.
	Revision uint64 `json:"revision"`
	// Control is the control VM that answered. Leader is the leading control VM,
	// empty if none is known.
	Control string `json:"control"`
	Leader  string `json:"leader,omitempty"`
	// InForce is how many of the Total followers have Revision in force and
	// reported recently.
	InForce int `json:"inForce"`
	Total   int `json:"total"`
	// Text summarises InForce, Total and Rest in one sentence.
	Text string `json:"text"`
	// Rest lists the other followers: those at an older revision, and those that
	// have not reported recently.
	Rest []NodeStatus `json:"rest,omitempty"`
	// Pools lists the status of each declared pool.
	Pools []PoolStatus `json:"pools,omitempty"`
}

// NodeStatus is the revision that one follower has in force.
type NodeStatus struct {
	Node     string `json:"node"`
	Role     string `json:"role,omitempty"`
	Revision uint64 `json:"revision"`
	// Control is the control VM that received the latest report of the follower,
	// HeardAgo how long ago.
	Control  string   `json:"control"`
	HeardAgo Duration `json:"heardAgo"`
	// Silent is true if the follower has missed several reports.
	Silent bool `json:"silent,omitempty"`
}

// PoolStatus compares one declared pool with its servers.
type PoolStatus struct {
	Name string `json:"name"`
	// Declared summarises the role, model or service that the pool declares.
	Declared   string `json:"declared"`
	MinServers int    `json:"minServers"`
	// Servers counts the servers of the pool, Serving the servers that accept new
	// work, Settled the servers that match their declared state.
	Servers int `json:"servers"`
	Serving int `json:"serving"`
	Settled int `json:"settled"`
	// Rest lists the servers that do not match their declared state.
	Rest []ServerStatus `json:"rest,omitempty"`
}

// ServerStatus compares one backend server with its declared state.
type ServerStatus struct {
	Server Server `json:"server"`
	Pool   string `json:"pool,omitempty"`
	// Declared is the state that is declared for the server.
	Declared ServerState `json:"declared"`
	Settled  bool        `json:"settled"`
	// Progress is the sidecar's latest progress report, known to the leader only.
	// Detail says what is missing, followed by the sidecar's own detail if the
	// leader knows it.
	Progress string `json:"progress,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

// Explanation says why a declared resource has not been reached yet.
type Explanation struct {
	Kind     ResourceKind `json:"kind"`
	Name     string       `json:"name"`
	Revision uint64       `json:"revision"`
	Reached  bool         `json:"reached"`
	// Lines are human-readable sentences, the most general first.
	Lines []string `json:"lines"`
}

// WatchEvent is one line of a watch. A watch that resumes after this line
// starts from Revision.
type WatchEvent struct {
	Revision uint64 `json:"revision"`
	// Snapshot is true for a line that is followed by the complete state: the
	// receiver must discard everything that it knew before.
	Snapshot bool `json:"snapshot,omitempty"`
	// Bookmark is true for a line that carries no change; it states that all
	// changes up to Revision have been sent.
	Bookmark bool `json:"bookmark,omitempty"`
	// Age is, for a bookmark, how long ago a quorum confirmed that the control VM had
	// all changes; Age is absent if the control VM does not know.
	Age *Duration `json:"age,omitempty"`
	// Resource is the changed resource, with Deleted set if it was deleted.
	Resource *Resource `json:"resource,omitempty"`
	// Server is the changed member, in state "gone" if its lease has expired.
	Server *Server `json:"server,omitempty"`
}

// OperatorProblem is the problem document (RFC 9457) of the operator API.
type OperatorProblem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Reason is the machine-readable cause.
	Reason Reason `json:"reason"`
	// Ran is "no" if nothing was changed, and "unknown" if the order may have
	// been accepted: resend the order under the same order id.
	Ran Ran `json:"ran"`
	// OrderID is the id of the order, empty for a request that is not an order.
	OrderID string `json:"orderID,omitempty"`
	// Result is the result of an order that was refused.
	Result *ChangeResult `json:"result,omitempty"`
}

// Headers of the operator API.
const (
	// HeaderOrderID carries the id of an order; retries carry the same id.
	HeaderOrderID = "Oriolebend-Order-ID"
	// HeaderRevision carries the revision of the state that a read returned.
	HeaderRevision = "Oriolebend-Revision"
	// HeaderAge carries how long ago a quorum confirmed that the answering control
	// VM had all changes.
	HeaderAge = "Oriolebend-Age"
	// HeaderWho carries the operator's name where no token is required.
	HeaderWho = "Oriolebend-Who"
)
