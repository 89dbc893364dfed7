package dispatch

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Event changes a State.
type Event interface{ isDispatchEvent() }

// Fleet replaces what is known of the backend servers.
type Fleet struct {
	At      time.Time
	Servers []message.BackendServer
	// Forwarders is how many forwarders there are; zero leaves the number as it was.
	Forwarders int
}

// FleetChanged tells what has changed of the backend servers.
type FleetChanged struct {
	At time.Time
	// Servers are new or told of differently, Left names those that are gone.
	Servers []message.BackendServer
	Left    []string
	// Forwarders is how many forwarders there are; zero leaves the number as it was.
	Forwarders int
}

// Services replaces what is declared of the services.
type Services struct{ Services []oriolebend.RouteService }

// Need is what a request asks of a server.
type Need struct {
	Service string
	// Prompt and Output are the tokens of a generation; zero for other calls.
	Prompt, Output int
	// FirstWithin is the target for the first part of the answer, counted from
	// Arrived.
	FirstWithin time.Duration
	Arrived     time.Time
	// PauseWithin is the target for the pause between two parts of a stream, zero if
	// there is none.
	PauseWithin time.Duration
	// Returned is set if its caller has been refused before, or seems to have been:
	// its target is missed.
	Returned bool
	// FailureDomain is where the forwarder stands that carries the request; empty means
	// that it is not known.
	FailureDomain string
	// Tried are the instances that the request was sent to before.
	Tried []string
	// Excluded are further instances that are not to be chosen, neither to answer nor to
	// read the prompt: those that take nothing from the forwarder now.
	Excluded []string
	// Again is set if this sending is beyond the request's first.
	Again bool
	// Waited is set if the request has asked before and found no room.
	Waited bool
}

// Asked asks where to send a request.
type Asked struct {
	At   time.Time
	Need Need
}

// Counted counts a request for which another process chooses the server, so
// that repeats of it stay within this forwarder's part of the retry budget.
type Counted struct {
	At      time.Time
	Service string
	// Tried are the instances that the request was sent to before.
	Tried []string
	// Again is set for a sending beyond the first.
	Again bool
}

// Read tells that a prefill engine has read a prompt, at a place that was given
// here or elsewhere.
type Read struct {
	Need Need
	Took time.Duration
	// Ahead is that of the grant.
	Ahead int
	// Here is set if the engine that generates has read it itself.
	Here bool
}

// Written tells that a generation has ended, and how long it wrote.
type Written struct {
	Need Need
	Took time.Duration
	// Parts is how many parts the stream had.
	Parts int
}

// AskedSame asks whether a request may be sent once more to the server that has
// its place.
type AskedSame struct {
	At    time.Time
	Grant Grant
}

// AskedFresh asks whether a server of a place that another process has just given
// takes new work, as far as is known here.
type AskedFresh struct {
	At     time.Time
	Server message.BackendServer
}

// AskedStill asks whether a request may still be sent to the server that has its
// place. Its prompt was read meanwhile, which can take seconds in a peak.
type AskedStill struct {
	At    time.Time
	Grant Grant
}

// Outcome is how a sending ended.
type Outcome string

const (
	// OutcomeAnswered is a whole answer of the server, whatever its status.
	OutcomeAnswered Outcome = "answered"
	// OutcomeFailed is an answer that tells of a failure of the server.
	OutcomeFailed Outcome = "failed"
	// OutcomeRefused is an answer that the request was not run for lack of room.
	OutcomeRefused Outcome = "refused"
	// OutcomeFull is a reservation refused for lack of memory; nothing was sent.
	OutcomeFull Outcome = "full"
	// OutcomeWithheld means that the server has no room for the request by a limit that it
	// has named; nothing was sent.
	OutcomeWithheld Outcome = "withheld"
	// OutcomeDeclined is an answer that the request was not run, by a server that has said
	// of itself that it takes less.
	OutcomeDeclined Outcome = "declined"
	// OutcomeBroken is no answer, half of one, or one that can't be believed.
	OutcomeBroken Outcome = "broken"
	// OutcomeCut is half of an answer whose server may still work on the request.
	OutcomeCut Outcome = "cut"
	// OutcomeLeft means that the server was found to take no new work; nothing was
	// sent.
	OutcomeLeft Outcome = "left"
	// OutcomeMoved means that another instance has the server's address.
	OutcomeMoved Outcome = "moved"
	// OutcomeCancelled says nothing about the server.
	OutcomeCancelled Outcome = "cancelled"
)

// Ended reports how a sending ended. Each Granted is followed by one.
type Ended struct {
	At      time.Time
	Grant   Grant
	Outcome Outcome
	// Took is the time to the first part of the answer, zero if there is none.
	Took time.Duration
}

// PromptRead reports that the prefill engine of a grant is done with it, also if
// it was never asked.
type PromptRead struct {
	At    time.Time
	Grant Grant
	// Took is for whoever gave the place elsewhere.
	Took time.Duration
	// Failed is set if the engine brought no result.
	Failed bool
	// Unused is set if it was not asked, or not waited for.
	Unused bool
}

func (Fleet) isDispatchEvent() {}

func (FleetChanged) isDispatchEvent() {}

func (Services) isDispatchEvent() {}

func (Asked) isDispatchEvent() {}

func (AskedSame) isDispatchEvent() {}

func (AskedStill) isDispatchEvent() {}

func (AskedFresh) isDispatchEvent() {}

func (Counted) isDispatchEvent() {}

func (Read) isDispatchEvent() {}

func (Written) isDispatchEvent() {}

func (Ended) isDispatchEvent() {}

func (PromptRead) isDispatchEvent() {}

// Judged reports what the end of a sending tells of its server, whose place is given
// back by a later Ended: the server may still work on the request.
type Judged Ended

func (Judged) isDispatchEvent() {}

// Effect is what the caller of Reduce has to do.
type Effect interface{ isDispatchEffect() }

// Grant is a place at a server for one sending.
type Grant struct {
	Need   Need
	Server message.BackendServer
	// Prefill is the engine that reads the prompt before; nil if Server does.
	Prefill *message.BackendServer
	// Ahead is the prompt tokens that Prefill had to read before this request's.
	Ahead int
	// Remote numbers a place that another process gave; zero means that it was
	// granted here.
	Remote uint64
	// Told numbers a place that was granted here and is told to the process that
	// gives places; zero means that it is not.
	Told uint64
}

// Granted asks to send the request.
type Granted struct{ Grant Grant }

// Refused asks to refuse the request; it was sent nowhere.
type Refused struct {
	Reason oriolebend.Reason
	// RetryAfter is when there is likely to be room.
	RetryAfter time.Duration
}

func (Granted) isDispatchEffect() {}

func (Refused) isDispatchEffect() {}
