package oriolebend

// Reason names why a request was refused, retried or failed. It is the same
// word in problem documents, counter labels, log lines and typed errors.
type Reason string

// Reasons of the caller's own input.
const (
	ReasonMalformed       Reason = "malformed"       // the body or a field can't be read
	ReasonTooLarge        Reason = "tooLarge"        // body, header or prompt over its bound
	ReasonUnauthorized    Reason = "unauthorized"    // no token, or one that is not known
	ReasonMissingKey      Reason = "missingKey"      // the route needs a key and there is none, or not one
	ReasonUnknownKey      Reason = "unknownKey"      // no organisation holds the key
	ReasonRevokedKey      Reason = "revokedKey"      // the key was taken away
	ReasonForbidden       Reason = "forbidden"       // the organisation may not do this
	ReasonUnknownModel    Reason = "unknownModel"    // no such model, version or adapter is declared
	ReasonUnknownService  Reason = "unknownService"  // no such plain service or route
	ReasonUnknownRequest  Reason = "unknownRequest"  // no record of this request
	ReasonKeyReused       Reason = "keyReused"       // the idempotency key holds another command
	ReasonCallerCancelled Reason = "callerCancelled" // the caller left or cancelled
)

// Reasons of load and limits.
const (
	ReasonOverloaded      Reason = "overloaded"      // the latency targets can't be met now
	ReasonQueueFull       Reason = "queueFull"       // the gate's queue is at its bound
	ReasonNoMemory        Reason = "noMemory"        // no KV memory free at the time needed
	ReasonMemoryShort     Reason = "memoryShort"     // this process holds as many bytes of bodies as it may
	ReasonRateLimited     Reason = "rateLimited"     // the organisation is over its share
	ReasonQuota           Reason = "quota"           // the organisation's quota is used up
	ReasonRetryBudget     Reason = "retryBudget"     // the retry budget is spent
	ReasonDeadline        Reason = "deadline"        // the deadline passed, or would
	ReasonConcurrency     Reason = "concurrency"     // the adaptive concurrency limit is reached
	ReasonServerLimit     Reason = "serverLimit"     // every server is at the limit that it has named
	ReasonServerRests     Reason = "serverRests"     // every server has asked to be left alone for a while
	ReasonNoServer        Reason = "noServer"        // no backend server serves this now
	ReasonControlAway     Reason = "controlAway"     // no quorum of control VMs answers
	ReasonNotLeader       Reason = "notLeader"       // this control VM does not lead
	ReasonStopping        Reason = "stopping"        // this process is stopping
	ReasonDiskFull        Reason = "diskFull"        // the disk of a control VM has no room
	ReasonRevisionRace    Reason = "revisionRace"    // another change took this revision
	ReasonInvalidResource Reason = "invalidResource" // a declared resource fails its checks
)

// Reasons of servers, transfers and attempts.
const (
	ReasonLeaving         Reason = "leaving"         // the backend server takes no new work
	ReasonLoading         Reason = "loading"         // the backend server changes model or role
	ReasonWrongModel      Reason = "wrongModel"      // the backend server does not hold this model
	ReasonWrongRole       Reason = "wrongRole"       // the backend server has another pool role
	ReasonServerLost      Reason = "serverLost"      // the backend server or its gate is gone
	ReasonEngineFailed    Reason = "engineFailed"    // the engine reported a failure
	ReasonTransferStalled Reason = "transferStalled" // the KV transfer made no progress in time
	ReasonResultExpired   Reason = "resultExpired"   // the prefill result is no longer held
	ReasonLeaseEnded      Reason = "leaseEnded"      // the lease of the reservation ended
	ReasonNotReserved     Reason = "notReserved"     // the attempt holds no reservation here
	ReasonAttemptClosed   Reason = "attemptClosed"   // the attempt was closed before it arrived
	ReasonAttemptUsed     Reason = "attemptUsed"     // the attempt was let through once already
	ReasonOutdatedOrder   Reason = "outdatedOrder"   // the fencing number is older than one seen
	ReasonOutcomeLost     Reason = "outcomeLost"     // dispatched, and the outcome is not known
	ReasonCrashesServers  Reason = "crashesServers"  // server after server ended under this request
	ReasonRecordsFull     Reason = "recordsFull"     // the request records are at their bound
	ReasonAnswerNotKept   Reason = "answerNotKept"   // answered before; the answer is not kept any more
	ReasonInternal        Reason = "internal"        // a fault of the router itself
)
