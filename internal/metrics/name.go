package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Names of reducer events and measurements that Metrics treats specially.
const (
	eventRefusal        = "refusal"
	measureWastedTokens = "wastedPrefillTokens"
)

var urgencies = []oriolebend.Urgency{oriolebend.Urgent, oriolebend.Patient}

// definition holds the name of a metric, without the prefix, its help text and the
// buckets of a histogram.
type definition struct {
	Name    string
	Help    string
	Buckets []float64
}

// reasonCounters maps the events that reducers count with a reason to their counters.
var reasonCounters = map[string]definition{
	eventRefusal:          {Name: "refusals_total", Help: "Requests or reservations refused, by reason."},
	"refused":             {Name: "gate_refusals_total", Help: "Refusals of gates that an entry met, by reason."},
	"retry":               {Name: "retries_total", Help: "Attempts made again, by the reason of the one before."},
	"retryDelayed":        {Name: "retries_delayed_total", Help: "Retries put off, by reason."},
	"outcomeLost":         {Name: "outcomes_lost_total", Help: "Calls that may run once whose outcome is lost, by what lost it."},
	"outcomeResolved":     {Name: "outcomes_resolved_total", Help: "Lost outcomes that the service's status call told."},
	"prefillWasted":       {Name: "prefills_wasted_total", Help: "Prefills computed and not used, by reason."},
	"prefillReleased":     {Name: "prefills_released_total", Help: "Prefill reservations given back before they were paid for."},
	"givenUp":             {Name: "given_up_total", Help: "Accepted requests that ended without an answer, by reason."},
	"renewalFailed":       {Name: "renewals_failed_total", Help: "Renewals of a claim that failed, by reason."},
	"unclaimed":           {Name: "unclaimed_total", Help: "Requests that could not be claimed, by reason."},
	"settleLost":          {Name: "settles_lost_total", Help: "Settles whose answer was lost and that were sent again."},
	"settleFailed":        {Name: "settles_failed_total", Help: "Settles that failed, by reason."},
	"settleLate":          {Name: "settles_late_total", Help: "Answers told before their settle was known to be durable."},
	"controlRetry":        {Name: "control_retries_total", Help: "Requests to control VMs made again, by the reason of the one before."},
	"controlDropped":      {Name: "control_dropped_total", Help: "Claims and outcomes that the backlog towards control VMs had no room for."},
	"announcementRefused": {Name: "announcements_refused_total", Help: "Announcements that name no backend server to use, by reason."},
	"statusAsked":         {Name: "status_questions_total", Help: "Questions for lost outcomes that settled nothing, by reason."},

	"order.refused":    {Name: "orders_refused_total", Help: "Orders that the engine refused or failed at, by reason."},
	"order.unsure":     {Name: "orders_unsure_total", Help: "Orders whose outcome is lost, by reason."},
	"order.givenUp":    {Name: "orders_given_up_total", Help: "Orders that are not tried again for now, by reason."},
	"settledElsewhere": {Name: "settled_elsewhere_total", Help: "Requests whose record another entry had moved on."},
}

// events are the events that reducers count without a reason.
var events = []string{
	"cacheGap", "cacheRepaired", "cancel", "cancelledByList", "closedForgotten", "doubled",
	"duplicatePart", "outdatedMessage", "stray", "unowned",
	"follow.gap", "follow.older", "follow.unconfirmed", "follow.stale",
	"follow.lost", "follow.malformed", "follow.returned",
	"engineSpeedChanged",
	"member.damped", "member.massLapse", "member.paused", "member.outdated",
	"peer.denied", "peer.unserved",
	"noticeUnreadable", "serverLeaves", "serverRests", "serverLimited", "serverUnlimited",
	"strayAnswerSkipped", "strayAnswerEnded", "strayBytesTrailing", "strayBytesIdle", "refusalDoubted", "answerPaced",
}

var knownEvents = func() map[string]bool {
	known := map[string]bool{}
	for _, event := range events {
		known[event] = true
	}
	return known
}()

// measures maps the measurements of reducers to their histograms. The latency targets,
// 1.2 s and 41 ms, are bucket bounds, so that goodput can be computed exactly.
var measures = map[string]definition{
	"firstToken": {
		Name: "time_to_first_token_seconds", Help: "Time from arrival to the first output.",
		Buckets: []float64{0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 1.2, 1.6, 2.4, 5, 10, 30, 60},
	},
	"betweenTokens": {
		Name: "time_between_tokens_seconds", Help: "Time between two tokens of an output.",
		Buckets: []float64{0.005, 0.01, 0.02, 0.03, 0.041, 0.05, 0.07, 0.1, 0.2, 0.5, 1},
	},
	"answer": {
		Name: "service_answer_seconds", Help: "Time from arrival to the answer of a plain service.",
		Buckets: prometheus.DefBuckets,
	},
	"prefill": {
		Name: "prefill_seconds", Help: "Time that engines spent on a prefill.",
		Buckets: []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4},
	},
	"prefillPrediction": {
		Name: "prefill_prediction_ratio", Help: "Time of a prefill over the time that its gate predicted.",
		Buckets: []float64{0.25, 0.5, 0.75, 0.9, 1, 1.1, 1.25, 1.5, 2, 4},
	},
}
