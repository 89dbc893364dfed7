package requestlog

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

// The surroundings of a request: what the system believed changes some seconds
// before it shows in a request, as a silent server is noticed after 2 s, and the
// restart of a process follows a moment after its requests are lost.
const (
	before = 5 * time.Second
	after  = 3 * time.Second
)

// answered is the message of the line that ends a request.
const answered = "request answered"

// Messages of lines that are part of a request's surroundings.
var (
	// ofServers are told if they name a server that the request was sent to.
	ofServers = map[string]bool{"backend server": true, "engine ordered to change its role": true}
	// ofProcess are told if they are of a process that handled the request.
	ofProcess = map[string]bool{
		"started": true, "stopping": true, "stopped": true, "settings taken up": true,
		"routing in force": true, "control VM lost": true, "control VM watched": true,
	}
	// ofMemory are told if the request found no memory.
	ofMemory = map[string]bool{"places are short": true}
)

// Log is the log of one process.
type Log struct {
	Name   string
	Reader io.Reader
}

// Life is what logs tell of a request, in order of time.
type Life struct {
	Request string
	Lines   []Line
	Unread  int // lines that are no JSON of ours
	Cause   string
}

// NotFoundError says that no line carries the id of a request.
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

// Tell reads logs and puts the life of a request together. It fails with a
// *NotFoundError if no line carries its id.
func Tell(request string, logs ...Log) (Life, error) {
	life := Life{Request: request}
	var all []Line // of the surroundings or of the request
	read := 0
	for _, log := range logs {
		unread, err := scan(log.Reader, func(l Line) {
			read++
			if l.Request == request || l.Request == "" && mayExplain(l) {
				all = append(all, l)
			}
		})
		life.Unread += unread
		if err != nil {
			return life, fmt.Errorf("%s: %w", log.Name, err)
		}
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	own := slices.DeleteFunc(slices.Clone(all), func(l Line) bool { return l.Request != request })
	if len(own) == 0 {
		return life, &NotFoundError{Request: request, Read: read, Unread: life.Unread}
	}
	around := surroundingsOf(own)
	for _, l := range all {
		if l.Request == request || around.hold(l) {
			life.Lines = append(life.Lines, l)
		}
	}
	life.Cause = cause(own, life.Lines)
	return life, nil
}

// mayExplain reports whether a line of no request is worth keeping: logs are
// larger than what explains one request.
func mayExplain(l Line) bool {
	return ofServers[l.Message] || ofProcess[l.Message] || ofMemory[l.Message]
}

// surroundings choose the lines that may explain a request.
type surroundings struct {
	from, to  time.Time
	servers   map[string]bool
	processes map[string]bool
	memory    bool
}

func surroundingsOf(own []Line) surroundings {
	s := surroundings{
		from: own[0].Time.Add(-before), to: own[len(own)-1].Time.Add(after),
		servers: map[string]bool{}, processes: map[string]bool{},
	}
	for _, l := range own {
		for _, name := range []string{l.Server, l.Prefill, l.Instance} {
			if name != "" {
				s.servers[name] = true
			}
		}
		s.processes[l.Node+"/"+l.Role] = true
		s.memory = s.memory || l.Reason == "noMemory" || l.Reason == "queueFull"
	}
	return s
}

func (s surroundings) hold(l Line) bool {
	if l.Time.Before(s.from) || l.Time.After(s.to) {
		return false
	}
	return ofServers[l.Message] && l.names(s.servers) ||
		ofProcess[l.Message] && s.processes[l.Node+"/"+l.Role] ||
		ofMemory[l.Message] && s.memory
}

// cause says why a request ended as it did.
func cause(own, all []Line) string {
	ends := slices.DeleteFunc(slices.Clone(own), func(l Line) bool { return l.Message != answered })
	if len(ends) == 0 {
		return causeOfSilence(own, all)
	}
	end := ends[len(ends)-1]
	text, known := causes[end.Reason]
	switch {
	case !known:
		text = "the reason is " + end.Reason
	case end.Reason == "" && end.Status >= http.StatusInternalServerError:
		text = "that is the answer of its server, which failed"
	}
	return fmt.Sprintf("status %d, sent %d times, ran: %s: %s", end.Status, end.Sent, cmp.Or(end.Ran, "unknown"), text)
}

// causeOfSilence explains a request without the line of its end.
func causeOfSilence(own, all []Line) string {
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

// causes say in words why the reason of an answer comes about, and where to look
// further.
var causes = map[string]string{
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
	"serverRests":     "every server of its service had asked for rest",
	"queueFull":       "as many requests waited already as may wait, here or at its server",
	"resultExpired":   "the prefill result was no longer held when decode asked for it",
	"retryBudget":     "its server failed and the share of requests that may be sent again was used up",
	"serverLost":      "its server could not be reached",
	"stopping":        "the forwarder was stopping",
	"unknownService":  "no route in force matches it: compare the number of the routing with the one expected",
}
