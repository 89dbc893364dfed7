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

// Event is an irregularity of a server's connection that is counted.
type Event string

// Events. Stray bytes belong to no request, or to another one.
const (
	// StraySkipped is an answer before the request's own that was read and skipped.
	StraySkipped Event = "strayAnswerSkipped"
	// StrayEnded is an answer of which no end is known; it ends the exchange.
	StrayEnded Event = "strayAnswerEnded"
	// StrayTrailing are bytes that came together with the end of an answer, StrayIdle bytes on an idle
	// connection. The connection is closed.
	StrayTrailing Event = "strayBytesTrailing"
	StrayIdle     Event = "strayBytesIdle"
	// AnswerPaced is an answer without a known end that is read more slowly than it comes.
	AnswerPaced Event = "answerPaced"
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
