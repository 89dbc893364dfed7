package oriolebend

// reasons lists every reason in the order of declaration.
var reasons = []Reason{
	ReasonMalformed,
	ReasonTooLarge,
	ReasonUnauthorized,
	ReasonMissingKey,
	ReasonUnknownKey,
	ReasonRevokedKey,
	ReasonForbidden,
	ReasonUnknownModel,
	ReasonUnknownService,
	ReasonUnknownRequest,
	ReasonKeyReused,
	ReasonCallerCancelled,
	ReasonOverloaded,
	ReasonQueueFull,
	ReasonNoMemory,
	ReasonMemoryShort,
	ReasonRateLimited,
	ReasonQuota,
	ReasonRetryBudget,
	ReasonDeadline,
	ReasonConcurrency,
	ReasonServerLimit,
	ReasonServerRests,
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

// Reasons returns every reason. Metrics use it to create a counter for each reason
// at process start.
func Reasons() []Reason {
	return append([]Reason(nil), reasons...)
}
