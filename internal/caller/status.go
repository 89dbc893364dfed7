package caller

import (
	"net/http"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// StatusCallerCancelled is the customary status for a caller that closed its
// connection; it appears in logs only.
const StatusCallerCancelled = 499

// statuses maps each reason to its HTTP status and a short title.
var statuses = map[oriolebend.Reason]struct {
	Status int
	Title  string
}{
	oriolebend.ReasonMalformed:       {http.StatusBadRequest, "The request can't be read"},
	oriolebend.ReasonTooLarge:        {http.StatusRequestEntityTooLarge, "The request is over a bound"},
	oriolebend.ReasonUnauthorized:    {http.StatusUnauthorized, "The token is missing or not known"},
	oriolebend.ReasonMissingKey:      {http.StatusUnauthorized, "The route needs a key"},
	oriolebend.ReasonUnknownKey:      {http.StatusUnauthorized, "No organisation holds this key"},
	oriolebend.ReasonRevokedKey:      {http.StatusUnauthorized, "The key was taken away"},
	oriolebend.ReasonForbidden:       {http.StatusForbidden, "The organisation may not do this"},
	oriolebend.ReasonUnknownModel:    {http.StatusNotFound, "No such model"},
	oriolebend.ReasonUnknownService:  {http.StatusNotFound, "No such service or path"},
	oriolebend.ReasonUnknownRequest:  {http.StatusNotFound, "No record of this request"},
	oriolebend.ReasonKeyReused:       {http.StatusUnprocessableEntity, "The idempotency key holds another command"},
	oriolebend.ReasonCallerCancelled: {StatusCallerCancelled, "The caller left"},

	oriolebend.ReasonOverloaded:      {http.StatusServiceUnavailable, "The latency targets can't be met now"},
	oriolebend.ReasonQueueFull:       {http.StatusServiceUnavailable, "The queue is full"},
	oriolebend.ReasonNoMemory:        {http.StatusServiceUnavailable, "No KV memory is free in time"},
	oriolebend.ReasonMemoryShort:     {http.StatusServiceUnavailable, "Too many bytes are held"},
	oriolebend.ReasonRateLimited:     {http.StatusTooManyRequests, "The organisation is over its share"},
	oriolebend.ReasonQuota:           {http.StatusTooManyRequests, "The organisation's quota is used up"},
	oriolebend.ReasonRetryBudget:     {http.StatusServiceUnavailable, "The retry budget is spent"},
	oriolebend.ReasonDeadline:        {http.StatusGatewayTimeout, "The deadline passed, or would"},
	oriolebend.ReasonConcurrency:     {http.StatusServiceUnavailable, "The concurrency limit is reached"},
	oriolebend.ReasonServerLimit:     {http.StatusServiceUnavailable, "Every server is at its limit"},
	oriolebend.ReasonServerRests:     {http.StatusServiceUnavailable, "Every server has asked for rest"},
	oriolebend.ReasonNoServer:        {http.StatusServiceUnavailable, "No backend server serves this now"},
	oriolebend.ReasonControlAway:     {http.StatusServiceUnavailable, "No quorum of control VMs answers"},
	oriolebend.ReasonNotLeader:       {http.StatusServiceUnavailable, "This control VM does not lead"},
	oriolebend.ReasonStopping:        {http.StatusServiceUnavailable, "This process is stopping"},
	oriolebend.ReasonDiskFull:        {http.StatusInsufficientStorage, "The disk of a control VM has no room"},
	oriolebend.ReasonRevisionRace:    {http.StatusConflict, "Another change took this revision"},
	oriolebend.ReasonInvalidResource: {http.StatusUnprocessableEntity, "The resource fails its checks"},

	oriolebend.ReasonLeaving:         {http.StatusServiceUnavailable, "The backend server is leaving"},
	oriolebend.ReasonLoading:         {http.StatusServiceUnavailable, "The backend server changes model or role"},
	oriolebend.ReasonWrongModel:      {http.StatusServiceUnavailable, "The backend server does not hold this model"},
	oriolebend.ReasonWrongRole:       {http.StatusServiceUnavailable, "The backend server has another pool role"},
	oriolebend.ReasonServerLost:      {http.StatusBadGateway, "The backend server is gone"},
	oriolebend.ReasonVersionGone:     {http.StatusServiceUnavailable, "No backend server has the stream's software version"},
	oriolebend.ReasonOriginUnknown:   {http.StatusServiceUnavailable, "It is not known which backend server began the stream"},
	oriolebend.ReasonEngineFailed:    {http.StatusBadGateway, "The engine failed"},
	oriolebend.ReasonTransferStalled: {http.StatusBadGateway, "The KV transfer stalled"},
	oriolebend.ReasonResultExpired:   {http.StatusBadGateway, "The prefill result is no longer held"},
	oriolebend.ReasonLeaseEnded:      {http.StatusBadGateway, "The lease of the reservation ended"},
	oriolebend.ReasonNotReserved:     {http.StatusBadGateway, "The attempt holds no reservation"},
	oriolebend.ReasonAttemptClosed:   {http.StatusBadGateway, "The attempt was closed before it arrived"},
	oriolebend.ReasonAttemptUsed:     {http.StatusBadGateway, "The attempt was let through once already"},
	oriolebend.ReasonOutdatedOrder:   {http.StatusConflict, "The fencing number is outdated"},
	oriolebend.ReasonOutcomeLost:     {http.StatusBadGateway, "The outcome of the request is lost"},
	oriolebend.ReasonCrashesServers:  {http.StatusServiceUnavailable, "Server after server ended under this request"},
	oriolebend.ReasonRecordsFull:     {http.StatusServiceUnavailable, "The request records are at their bound"},
	oriolebend.ReasonAnswerNotKept:   {http.StatusGone, "The request was answered and its answer is not kept any more"},
	oriolebend.ReasonInternal:        {http.StatusInternalServerError, "A fault of the router"},
}

// statusOf returns the HTTP status and title of a reason.
func statusOf(reason oriolebend.Reason) (int, string) {
	known, found := statuses[reason]
	if !found {
		return http.StatusInternalServerError, string(reason)
	}
	return known.Status, known.Title
}
