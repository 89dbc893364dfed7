package dispatch

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Event changes a State.
type Event interface{ isDispatchEvent() }

// Fleet replaces the list of backend servers.
type Fleet struct {
	At      time.Time
	Servers []message.BackendServer
	// Forwarders is how many forwarders there are; zero leaves the number as it was.
	Forwarders int
}

// FleetChanged reports changes to the list of backend servers.
type FleetChanged struct {
	At time.Time
	// Servers are the servers that were added or changed, Left names the removed ones.
	Servers []message.BackendServer
	Left    []string
	// Forwarders is how many forwarders there are; zero leaves the number as it was.
	Forwarders int
}

// Services replaces the declared services.
type Services struct{ Services []oriolebend.RouteService }

// Need is what a request needs of a server.
type Need struct {
	Service string
	// Prompt and Output are the tokens of a generation; zero for other requests.
	Prompt, Output int
	// FirstWithin is the target for the time from Arrived to the first part of the
	// response.
	FirstWithin time.Duration
	Arrived     time.Time
	// Deadline is when the caller gives up, zero if that is unknown.
	Deadline time.Time
	// PauseWithin is the target for the pause between two parts of a stream, zero if
	// there is none.
	PauseWithin time.Duration
	// Returned is set if the caller's request was, or appears to have been, refused before
	// and is repeated: its target is already missed.
	Returned bool
	// FailureDomain is the failure domain of the forwarder that carries the request; empty
	// if it is unknown.
	FailureDomain string
	// Tried are the instances that the request was sent to before.
	Tried []string
	// Excluded are further instances that must not be chosen, neither for the response nor
	// for the prefill, because they currently accept nothing from the forwarder.
	Excluded []string
	// Origin is the origin of the stream that the server must continue, nil if it may be any
	// server.
	Origin *message.StreamOrigin
	// Retry is set if this is not the first placement of the request that was used.
	Retry bool
}

// PlacementRequested requests a placement: the server to which a request is sent.
type PlacementRequested struct {
	At   time.Time
	Need Need
}

// RequestCounted counts a request of a caller for the retry budget of its service.
type RequestCounted struct {
	At      time.Time
	Service string
}

// RepeatRequested asks whether a request may reach one more server, or the same one again. If it is
// granted, the repeat is counted.
type RepeatRequested struct {
	At      time.Time
	Service string
}

// RepeatWithdrawn withdraws a repeat that was counted at Counted and did not reach a server.
type RepeatWithdrawn struct {
	At      time.Time
	Service string
	Counted time.Time
}

// PromptRequested asks whether a prompt may be sent to a prefill engine, for the first time or after
// engines rejected it. It counts nothing.
type PromptRequested struct {
	At      time.Time
	Service string
}

// PromptRejected reports that a prefill engine rejected a prompt.
type PromptRejected struct {
	At      time.Time
	Service string
}

// PrefillMeasured reports how long the prefill of a prompt took, for a placement that was
// granted here or elsewhere.
type PrefillMeasured struct {
	At   time.Time
	Need Need
	// Server is the prefill engine, nil if the decode engine prefilled the prompt itself.
	Server *message.BackendServer
	Took   time.Duration
	// Ahead is Grant.Ahead of the placement.
	Ahead int
}

// GenerationMeasured reports that a generation has ended, and how long the engine wrote.
type GenerationMeasured struct {
	Need Need
	Took time.Duration
	// Parts is how many parts the stream had.
	Parts int
}

// SpeedsReported reports how fast engines wrote for another process.
type SpeedsReported struct {
	At     time.Time
	Speeds []message.EngineSpeed
}

// ResendRequested asks whether a request may be sent again to the server of its
// placement.
type ResendRequested struct {
	At    time.Time
	Grant Grant
}

// PlacementOffered asks whether the server of a placement that another process has just
// granted accepts new work, as far as this forwarder knows.
type PlacementOffered struct {
	At     time.Time
	Server message.BackendServer
}

// SendRequested asks whether a request may still be sent to the server of its placement. Its
// prompt was prefilled in the meantime, which can take seconds in a peak.
type SendRequested struct {
	At    time.Time
	Grant Grant
}

// Outcome is how a send ended.
type Outcome string

const (
	// OutcomeAnswered is a complete response of the server, whatever its status.
	OutcomeAnswered Outcome = "answered"
	// OutcomeFailed is a response that reports a failure of the server.
	OutcomeFailed Outcome = "failed"
	// OutcomeRefused is a response that the request was not run for lack of room.
	OutcomeRefused Outcome = "refused"
	// OutcomeFull is a reservation refused for lack of memory; nothing was sent.
	OutcomeFull Outcome = "full"
	// OutcomeWithheld means that nothing was sent, because of a limit or a backoff period
	// that the server has reported, or because this forwarder holds as many bytes as it may.
	OutcomeWithheld Outcome = "withheld"
	// OutcomeDeclined is a response that the request was not run, by a server that has
	// reported a limit or a backoff period, or that it is leaving.
	OutcomeDeclined Outcome = "declined"
	// OutcomeBroken is a missing or incomplete response, or one that can't be trusted.
	OutcomeBroken Outcome = "broken"
	// OutcomeCut is an incomplete response of a server that may still work on the request.
	OutcomeCut Outcome = "cut"
	// OutcomeLeft means that the server was found to accept no new work; nothing was
	// sent.
	OutcomeLeft Outcome = "left"
	// OutcomeMoved means that another instance has the server's address.
	OutcomeMoved Outcome = "moved"
	// OutcomeCancelled implies nothing about the server.
	OutcomeCancelled Outcome = "cancelled"
)

// Ended reports how a send ended and releases its placement. Each Granted is followed by
// one Ended.
type Ended struct {
	At      time.Time
	Grant   Grant
	Outcome Outcome
	// Took is the time to the first part of the response, zero if there is none.
	Took time.Duration
	// Writing is the time from the first event of a stream to the last one that was received, and
	// Events how many there were; zero for other responses.
	Writing time.Duration
	Events  int
}

// PrefillEnded reports that the prefill engine of a grant is no longer needed for it, also
// if no request was sent to the engine.
type PrefillEnded struct {
	At    time.Time
	Grant Grant
	// Took is used only by the process that granted the placement, if it is another one.
	Took time.Duration
	// Failed is set if the engine returned no result.
	Failed bool
	// Unused is set if no request was sent to the engine, or its result was not awaited.
	Unused bool
}

func (Fleet) isDispatchEvent() {}

func (FleetChanged) isDispatchEvent() {}

func (Services) isDispatchEvent() {}

func (PlacementRequested) isDispatchEvent() {}

func (ResendRequested) isDispatchEvent() {}

func (SendRequested) isDispatchEvent() {}

func (PlacementOffered) isDispatchEvent() {}

func (RequestCounted) isDispatchEvent() {}

func (RepeatRequested) isDispatchEvent() {}

func (RepeatWithdrawn) isDispatchEvent() {}

func (PromptRequested) isDispatchEvent() {}

func (PromptRejected) isDispatchEvent() {}

func (PrefillMeasured) isDispatchEvent() {}

func (GenerationMeasured) isDispatchEvent() {}

func (SpeedsReported) isDispatchEvent() {}

func (Ended) isDispatchEvent() {}

func (PrefillEnded) isDispatchEvent() {}

// OutcomeObserved reports the outcome of a send without releasing its placement. Either a later
// Ended releases it, because the server may still work on the request, or another process
// granted the placement.
type OutcomeObserved Ended

func (OutcomeObserved) isDispatchEvent() {}

// Effect is what the caller of Reduce has to do.
type Effect interface{ isDispatchEffect() }

// Grant is a placement at a server for one send.
type Grant struct {
	Need   Need
	Server message.BackendServer
	// Prefill is the engine that prefills the prompt; nil if Server does.
	Prefill *message.BackendServer
	// Ahead is the prompt tokens that Prefill had to process before this request's.
	Ahead int
	// Batch is how many other requests Server worked on when the placement was granted, as far as
	// they are known here.
	Batch int
	// Remote numbers a placement that another process granted; zero means that it was
	// granted here.
	Remote uint64
	// ReportedID numbers a placement that was granted here and is reported to the allocator,
	// the process that grants placements; zero means that it is not reported.
	ReportedID uint64
}

// Granted means that the request is to be sent.
type Granted struct{ Grant Grant }

// Refused means that the request is to be refused; it was sent nowhere.
type Refused struct {
	Reason oriolebend.Reason
	// RetryAfter is when there is likely to be room.
	RetryAfter time.Duration
}

func (Granted) isDispatchEffect() {}

func (Refused) isDispatchEffect() {}
