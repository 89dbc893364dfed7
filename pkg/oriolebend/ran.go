package oriolebend

// Ran reports whether a backend server executed a request.
type Ran string

const (
	// RanNo means that the request was not executed and never will be.
	RanNo Ran = "no"
	// RanYes means that the request was executed to completion.
	RanYes Ran = "yes"
	// RanUnknown means that an attempt was dispatched and its outcome is not known.
	RanUnknown Ran = "unknown"
)
