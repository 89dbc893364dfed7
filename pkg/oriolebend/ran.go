package oriolebend

// Ran says whether a request was executed by a backend server.
type Ran string

const (
	// RanNo means that the request did not run and never will.
	RanNo Ran = "no"
	// RanYes means that the request ran to its end.
	RanYes Ran = "yes"
	// RanUnknown means that an attempt was dispatched and its outcome was lost.
	RanUnknown Ran = "unknown"
)
