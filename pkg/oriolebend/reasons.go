package oriolebend

// reasons lists every reason, in the order of their declaration.
var reasons = []Reason{
	ReasonMalformed,
	ReasonTooLarge,
	ReasonUnauthorized,
	ReasonForbidden,
	ReasonUnknownModel,
	ReasonUnknownService,
	ReasonUnknownRequest,
	ReasonKeyReused,
	ReasonCallerCancelled,
	ReasonOverloaded,
	ReasonQueueFull,
	ReasonNoMemory,
	ReasonRateLimited,
	ReasonRetryBudget,
	ReasonDeadline,
	ReasonConcurrency,
	ReasonNoServer,
	ReasonControlAway,
	ReasonNotLeader,
	ReasonStopping,
	ReasonDiskFull,
	ReasonRevisionRace,
	ReasonInvalidResource,
	ReasonLeaving,
	ReasonLoading,
	ReasonWrongModel,
	ReasonWrongRole,
	ReasonServerLost,
	ReasonEngineFailed,
	ReasonTransferStalled,
	ReasonResultExpired,
	ReasonLeaseEnded,
	ReasonNotReserved,
	ReasonAttemptClosed,
	ReasonAttemptUsed,
	ReasonOutdatedOrder,
	ReasonOutcomeLost,
	ReasonCrashesServers,
	ReasonRecordsFull,
	ReasonAnswerNotKept,
	ReasonInternal,
}

// Reasons lists every reason; counters exist for each from the start.
func Reasons() []Reason {
	return append([]Reason(nil), reasons...)
}
