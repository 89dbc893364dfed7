package backend

// Owner is the request that an answer names.
type Owner string

// Owners of answers.
const (
	// OwnerSelf is the request itself, OwnerOther another request.
	OwnerSelf  Owner = "self"
	OwnerOther Owner = "other"
	// OwnerUnnamed means that the answer names no request.
	OwnerUnnamed Owner = "unnamed"
)

// Trace is what is known of one exchange, for logs.
type Trace struct {
	// Written is the number of bytes of the request that were written.
	Written int
	// Requests is the number of requests that the connection has carried, this one included.
	Requests int
	// Skipped is the number of answers that were skipped before the request's own.
	Skipped int
	// Owner is the request that the answer names, empty if there is no answer.
	Owner Owner
}
