package oriolebend

// Reason is the machine-readable cause of a refusal, retry or failure. Problem
// documents, counter labels, log lines and typed errors use the same values.
type Reason string

// Reasons that lie in the caller's request.
const (
	ReasonMalformed       Reason = "malformed"       // the body or a field can't be read
	ReasonTooLarge        Reason = "tooLarge"        // the body, header or prompt exceeds its bound
	ReasonUnauthorized    Reason = "unauthorized"    // the token is missing or unknown
	ReasonMissingKey      Reason = "missingKey"      // the route needs a key and the request carries none, several or a malformed one
	ReasonUnknownKey      Reason = "unknownKey"      // the key belongs to no organisation
	ReasonRevokedKey      Reason = "revokedKey"      // the key was revoked
	ReasonForbidden       Reason = "forbidden"       // the organisation is not permitted to do this
	ReasonUnknownModel    Reason = "unknownModel"    // no such model, version or adapter is declared
	ReasonUnknownService  Reason = "unknownService"  // no such plain service or route is declared
	ReasonUnknownRequest  Reason = "unknownRequest"  // there is no record of this request
	ReasonKeyReused       Reason = "keyReused"       // the idempotency key was used for a different command
	ReasonCallerCancelled Reason = "callerCancelled" // the caller disconnected or cancelled
)

// Reasons of load and limits.
const (
	ReasonOverloaded      Reason = "overloaded"      // the latency targets can't be met at present
	ReasonQueueFull       Reason = "queueFull"       // the gate's queue is at its bound
	ReasonNoMemory        Reason = "noMemory"        // no KV memory is free at the time needed
	ReasonMemoryShort     Reason = "memoryShort"     // this process has reached its bound of body bytes held
	ReasonRateLimited     Reason = "rateLimited"     // the organisation exceeds its share
	ReasonQuota           Reason = "quota"           // the organisation's quota is used up
	ReasonRetryBudget     Reason = "retryBudget"     // the retry budget is exhausted
	ReasonDeadline        Reason = "deadline"        // the deadline has passed or would pass
	ReasonConcurrency     Reason = "concurrency"     // the adaptive concurrency limit is reached
	ReasonServerLimit     Reason = "serverLimit"     // every server is at the limit that it reported
	ReasonServerRests     Reason = "serverRests"     // every server asked for a backoff period
	ReasonNoServer        Reason = "noServer"        // no backend server serves this at present
	ReasonControlAway     Reason = "controlAway"     // no quorum of control VMs responds
	ReasonNotLeader       Reason = "notLeader"       // this control VM is not the leader
	ReasonStopping        Reason = "stopping"        // this process is stopping
	ReasonDiskFull        Reason = "diskFull"        // the disk of a control VM is full
	ReasonRevisionRace    Reason = "revisionRace"    // another change came first
	ReasonInvalidResource Reason = "invalidResource" // a declared resource fails validation
)

// Reasons of servers, transfers and attempts.
const (
	ReasonLeaving         Reason = "leaving"         // the backend server accepts no new work
	ReasonLoading         Reason = "loading"         // the backend server is changing its model or role
	ReasonWrongModel      Reason = "wrongModel"      // the backend server does not hold this model
	ReasonWrongRole       Reason = "wrongRole"       // the backend server has a different pool role
	ReasonServerLost      Reason = "serverLost"      // the backend server or its gate was lost
	ReasonEngineFailed    Reason = "engineFailed"    // the engine reported a failure
	ReasonTransferStalled Reason = "transferStalled" // the KV transfer made no progress in time
	ReasonResultExpired   Reason = "resultExpired"   // the prefill result is no longer held
	ReasonLeaseEnded      Reason = "leaseEnded"      // the lease of the reservation expired
	ReasonNotReserved     Reason = "notReserved"     // the attempt holds no reservation here
	ReasonAttemptClosed   Reason = "attemptClosed"   // the attempt was closed before it arrived
	ReasonAttemptUsed     Reason = "attemptUsed"     // the attempt was already admitted once
	ReasonOutdatedOrder   Reason = "outdatedOrder"   // the fencing number is lower than one already seen
	ReasonVersionGone     Reason = "versionGone"     // no backend server has the software version that began the stream
	ReasonOriginUnknown   Reason = "originUnknown"   // it is not known which backend server began the stream
	ReasonOutcomeLost     Reason = "outcomeLost"     // the request was dispatched and its outcome is not known
	ReasonCrashesServers  Reason = "crashesServers"  // several backend servers crashed while running this request
	ReasonRecordsFull     Reason = "recordsFull"     // the number of request records is at its bound
	ReasonAnswerNotKept   Reason = "answerNotKept"   // the request was answered before and its answer is no longer kept
	ReasonInternal        Reason = "internal"        // a fault of the router itself
)
