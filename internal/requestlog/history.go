package requestlog

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

// Margins around the time of a request in which related events are included. A fault
// affects requests seconds before or after it is logged: an unresponsive server is
// detected after 2 s, and a process restarts shortly after its requests are lost.
const (
	marginBefore = 5 * time.Second
	marginAfter  = 3 * time.Second
)

// messageAnswered is the message of the line that ends a request.
const messageAnswered = "request answered"

// Messages of the related events that are included in the history of a request.
var (
	// serverMessages are included if they name a server that the request was sent to.
	serverMessages = map[string]bool{"backend server": true, "engine ordered to change its role": true}
	// processMessages are included if a process that handled the request logged them.
	processMessages = map[string]bool{
		"started": true, "stopping": true, "stopped": true, "settings taken up": true,
		"routing in force": true, "control VM lost": true, "control VM watched": true,
	}
	// memoryMessages are included if the request was refused for lack of memory or queue space.
	memoryMessages = map[string]bool{"places are short": true}
)

// Log is the log of one process.
type Log struct {
	Name   string
	Reader io.Reader
}

// History holds the log lines that explain one request, in order of time, and the cause of
// its outcome.
type History struct {
	Request string
	Lines   []Line
	Unread  int // number of lines that are not valid JSON log lines
	Cause   string
}

// NotFoundError reports that no log line has the ID of a request.
type NotFoundError struct {
	Request string
	Read    int // lines read
	Unread  int
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no line of %d carries the request %q (%d lines could not be read); "+
		"a forwarder that was killed loses the lines of its last moment", e.Read, e.Request, e.Unread)
}

// Explain reads logs and reconstructs the history of a request. It returns a
// *NotFoundError if no line has the ID of the request.
func Explain(request string, logs ...Log) (History, error) {
	history := History{Request: request}
	var all []Line // lines of the request and lines of events that may be related
	read := 0
	for _, log := range logs {
		unread, err := scan(log.Reader, func(l Line) {
			read++
			if l.Request == request || l.Request == "" && isContextMessage(l) {
				all = append(all, l)
			}
		})
		history.Unread += unread
		if err != nil {
			return history, fmt.Errorf("%s: %w", log.Name, err)
		}
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	own := slices.DeleteFunc(slices.Clone(all), func(l Line) bool { return l.Request != request })
	if len(own) == 0 {
		return history, &NotFoundError{Request: request, Read: read, Unread: history.Unread}
	}
	filter := newContextFilter(own)
	for _, l := range all {
		if l.Request == request || filter.matches(l) {
			history.Lines = append(history.Lines, l)
		}
	}
	history.Cause = explainEnd(own, history.Lines)
	return history, nil
}

// isContextMessage reports whether a line without a request is kept as a possible related
// event. Other lines are dropped, because logs are much larger than one history.
func isContextMessage(l Line) bool {
	return serverMessages[l.Message] || processMessages[l.Message] || memoryMessages[l.Message]
}

// contextFilter selects the related events of a request.
type contextFilter struct {
	start, end time.Time
	servers    map[string]bool
	processes  map[string]bool
	memory     bool
}

// newContextFilter returns the filter for a request with the given lines.
func newContextFilter(own []Line) contextFilter {
	f := contextFilter{
		start: own[0].Time.Add(-marginBefore), end: own[len(own)-1].Time.Add(marginAfter),
		servers: map[string]bool{}, processes: map[string]bool{},
	}
	for _, l := range own {
		for _, name := range []string{l.Server, l.Prefill, l.Instance} {
			if name != "" {
				f.servers[name] = true
			}
		}
		f.processes[l.Node+"/"+l.Role] = true
		f.memory = f.memory || l.Reason == "noMemory" || l.Reason == "queueFull"
	}
	return f
}

// matches reports whether a line is a related event of the request.
func (f contextFilter) matches(l Line) bool {
	if l.Time.Before(f.start) || l.Time.After(f.end) {
		return false
	}
	return serverMessages[l.Message] && l.namesServer(f.servers) ||
		processMessages[l.Message] && f.processes[l.Node+"/"+l.Role] ||
		memoryMessages[l.Message] && f.memory
}

// explainEnd returns the explanation of a request's outcome.
func explainEnd(own, all []Line) string {
	ends := slices.DeleteFunc(slices.Clone(own), func(l Line) bool { return l.Message != messageAnswered })
	if len(ends) == 0 {
		return explainMissingEnd(own, all)
	}
	end := ends[len(ends)-1]
	text, known := causeByReason[end.Reason]
	switch {
	case !known:
		text = "the reason is " + end.Reason
	case end.Reason == "" && end.Status >= http.StatusInternalServerError:
		text = "that is the answer of its server, which failed"
	}
	return fmt.Sprintf("status %d, sent %d times, ran: %s: %s", end.Status, end.Sent, cmp.Or(end.Ran, "unknown"), text)
}

// explainMissingEnd returns the explanation for a request without a line that ends it.
func explainMissingEnd(own, all []Line) string {
	last := own[len(own)-1]
	for _, l := range all {
		same := l.Node == last.Node && l.Role == last.Role && !l.Time.Before(last.Time)
		if same && l.Message == "started" {
			return fmt.Sprintf("its process on %s ended before it answered, and started again at %s",
				last.Node, l.Time.Format(time.RFC3339Nano))
		}
	}
	return fmt.Sprintf("no line tells its end: its process on %s ended, or the logs stop before", last.Node)
}

// causeByReason explains each reason of an answer and names the log lines or fields to
// check next.
var causeByReason = map[string]string{
	"":                "it got the answer of its server",
	"callerCancelled": "the caller left before the answer was whole",
	"controlAway":     "no control VM that leads answered the forwarder: see its lines on control VMs",
	"crashesServers":  "servers ended under the same fingerprint before, so that it is not sent any more: see the lines 'request held back' with its fingerprint",
	"deadline":        "its time was over: compare tookMs with placedMs, readMs and firstMs for where it went",
	"engineFailed":    "the engine reported a failure",
	"internal":        "a fault of the router itself: please report it with these lines",
	"malformed":       "the request is wrong in itself",
	"noMemory":        "no decode engine had memory for it in time: see freeShare and granted of the places that are short",
	"noServer":        "no backend server of its service took work: see the lines of its servers",
	"outcomeLost":     "the connection to its server broke after it was sent, so that it may have run: see the server's lines, then other requests on that server",
	"serverLimit":     "every server of its service was at the limit that it had named",
	"versionGone":     "no server had the software version that began its stream, or its route had moved to other services",
	"originUnknown":   "nobody could say which server began its stream: see the lines of the request that it resumes",
	"serverRests":     "every server of its service had asked for rest",
	"queueFull":       "as many requests waited already as may wait, here or at its server",
	"resultExpired":   "the prefill result was no longer held when decode asked for it",
	"retryBudget":     "its server failed and the share of requests that may be sent again was used up",
	"serverLost":      "its server could not be reached",
	"stopping":        "the forwarder was stopping",
	"unknownService":  "no route in force matches it: compare the number of the routing with the one expected",
}
