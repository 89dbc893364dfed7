package backend

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
