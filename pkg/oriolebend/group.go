package oriolebend

// Group is one control VM's view of the group of control VMs.
type Group struct {
	Node string `json:"node"`
	// Role is "leader", "follower", "candidate" or "preCandidate".
	Role   string `json:"role"`
	Term   uint64 `json:"term"`
	Leader string `json:"leader,omitempty"`
	// Last, Committed, Applied and Snapshot are log indexes.
	Last      uint64 `json:"last"`
	Committed uint64 `json:"committed"`
	Applied   uint64 `json:"applied"`
	Snapshot  uint64 `json:"snapshot"`
	// Recovering is true while this VM grants no votes because it started with an
	// empty data folder and has not caught up.
	Recovering bool `json:"recovering,omitempty"`
	// DiskFull is true while the disk of this VM has too little free space.
	DiskFull bool          `json:"diskFull,omitempty"`
	Members  []GroupMember `json:"members"`
}

// GroupMember is one control VM of a group.
type GroupMember struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain,omitempty"`
	// Voter is false while the VM is catching up.
	Voter bool `json:"voter"`
	// Active reports whether the VM responds; Match is the last log index that it
	// has synced. Only the leader knows both.
	Active bool   `json:"active,omitempty"`
	Match  uint64 `json:"match,omitempty"`
}
