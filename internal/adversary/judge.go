package adversary

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/oriolebend/oriolebend/internal/http1/strict"
)

// Violation is the kind of promise that was broken.
type Violation string

// Violations.
const (
	// RefusedAndRan is a refusal that says "not run" of a request that has run.
	RefusedAndRan Violation = "refusedAndRan"
	// RanTwice is a request that may run once and ran twice.
	RanTwice Violation = "ranTwice"
	// NotItsAnswer is a complete answer that the server did not send to this request.
	NotItsAnswer Violation = "notItsAnswer"
	// NotSent is a request at a server that no caller has sent.
	NotSent Violation = "notSent"
	// Extra is an answer that is followed by bytes which no caller has asked for.
	Extra Violation = "extra"
	// Late is an answer after the timeout of the route.
	Late Violation = "late"
	// Left is something that a forwarder still holds for a request that has ended.
	Left Violation = "left"
	// SoundLost is a loss of sound requests to another server.
	SoundLost Violation = "soundLost"
)

const (
	// lateness is how long after the timeout an answer may arrive, and what is held be released, on a busy
	// machine.
	lateness = 2 * time.Second
	// soundShare is the share of the sound requests that must be served.
	soundShare = 0.95
)

// Finding is a violation in a conversation.
type Finding struct {
	Violation Violation
	// Exchange is the index of the exchange, -1 if it is none.
	Exchange int
	Detail   string
}

// String returns the finding in one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: exchange %d: %s", f.Violation, f.Exchange, f.Detail)
}

// judge returns the violations in a conversation.
func judge(c Conversation, p played) []Finding {
	var found []Finding
	for i, e := range c {
		r := p.replies[i]
		if e.Request != "" {
			continue
		}
		mine := arrivalsOf(p, exchangeID(p.prefix, i))
		found = append(found, judgeRuns(i, e, r, mine)...)
		if r.status == http.StatusOK && r.complete && !sentTo(mine, e.Route, r.body) && !unnamedStray(p, mine) {
			found = append(found, Finding{NotItsAnswer, i, fmt.Sprintf("body %.400q", r.body)})
		}
		if r.extra != "" {
			found = append(found, Finding{Extra, i, fmt.Sprintf("status %d, body %.80q, then %.80q", r.status, r.body, r.extra)})
		}
		if r.took > RouteTimeout+lateness {
			found = append(found, Finding{Late, i, r.took.String()})
		}
	}
	if p.left != "" {
		found = append(found, Finding{Left, -1, p.left})
	}
	return append(append(found, judgeArrivals(c, p)...), judgeSound(p)...)
}

func arrivalsOf(p played, id string) []*arrival {
	var mine []*arrival
	for _, a := range p.arrivals {
		if a.id == id {
			mine = append(mine, a)
		}
	}
	return mine
}

// judgeRuns judges how often a request that may run once has run, and whether it was refused all the same.
func judgeRuns(i int, e Exchange, r reply, mine []*arrival) []Finding {
	if e.Route == Safe || e.Refuses || len(mine) == 0 || slices.ContainsFunc(mine, (*arrival).stated) {
		return nil
	}
	var found []Finding
	if len(mine) > 1 {
		found = append(found, Finding{RanTwice, i, fmt.Sprintf("%d times", len(mine))})
	}
	switch r.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		found = append(found, Finding{RefusedAndRan, i, fmt.Sprintf("status %d, body %.80q", r.status, r.body)})
	}
	return found
}

// stated reports whether the first answer that names a request says that it has not run. A server that
// says so of a request that it runs has broken the promise itself.
func (a *arrival) stated() bool {
	for _, answer := range strict.ReadAnswers(a.sent, a.method) {
		if namedID(answer.Fields) == a.id && !joined(answer) {
			return slices.Equal(answer.Fields.Values(RanHeader), []string{"no"})
		}
	}
	return false
}

// joined reports whether a head contains the beginning of another one: the server broke off in it. What it
// states is not stated by one answer.
func joined(answer strict.Answer) bool {
	for _, values := range answer.Fields {
		if strings.Contains(strings.Join(values, " "), "HTTP/1.") {
			return true
		}
	}
	return false
}

// sentTo reports whether the server sent an answer with this body to one of the arrivals, which names no
// other request.
func sentTo(arrivals []*arrival, route Route, body string) bool {
	for _, a := range arrivals {
		for _, answer := range strict.ReadAnswers(a.sent, a.method) {
			if route == Cut {
				answer.Body = withoutRepeats(answer.Body)
			}
			if answer.Unframed() && a.brokenOff && a.method != http.MethodHead {
				continue // it is not complete: its end is that of the connection
			}
			if route == Cut && answer.Unframed() && answer.Body == "" && a.method != http.MethodHead {
				continue // a server that broke off before the first event ends its connection like this
			}
			id := namedID(answer.Fields)
			if answer.Status == http.StatusOK && answer.Body == body && (id == "" || id == a.id) && !joined(answer) {
				return true
			}
		}
	}
	return false
}

// unnamedStray reports whether the server has sent an answer that names no request to another one. Whoever
// receives it late can't tell that it belongs to the other request, if the server names none.
func unnamedStray(p played, mine []*arrival) bool {
	for _, a := range p.arrivals {
		if slices.Contains(mine, a) {
			return false
		}
		for _, answer := range strict.ReadAnswers(a.sent, a.method) {
			if namedID(answer.Fields) == "" {
				return true
			}
		}
	}
	return false
}

// eventEnd is the empty line that ends an event.
var eventEnd = regexp.MustCompile(`\r?\n\r?\n`)

// withoutRepeats returns the events of a stream but those whose number does not follow the one before.
func withoutRepeats(stream string) string {
	var kept strings.Builder
	last := 0
	for stream != "" {
		end := len(stream)
		if found := eventEnd.FindStringIndex(stream); found != nil {
			end = found[1]
		}
		event := stream[:end]
		stream = stream[end:]
		number := 0
		if _, err := fmt.Sscanf(event, "id: %d", &number); err == nil && number <= last {
			continue
		}
		last = max(last, number)
		kept.WriteString(event)
	}
	return kept.String()
}

// judgeArrivals judges whether each request at the server was sent by a caller, and only once on a route
// that allows no repetition.
func judgeArrivals(c Conversation, p played) []Finding {
	sent := map[string]bool{}
	for i, e := range c {
		if e.Request == "" {
			body := e.soundBody(exchangeID(p.prefix, i))
			if e.Upload {
				body = "" // is not read before the answer
			}
			sent[e.method()+" /"+string(e.Route)+"/ "+body] = true
			continue
		}
		for _, r := range strict.ReadRequests(expand(e.Request, p.prefix, i)) {
			sent[r.Method+" "+r.Target+" "+r.Body] = true
		}
	}
	var found []Finding
	for _, a := range p.arrivals {
		if a.malformed {
			found = append(found, Finding{NotSent, -1, "a request that is no HTTP/1.1"})
		} else if !sent[a.method+" "+a.target+" "+a.body] {
			found = append(found, Finding{NotSent, -1, fmt.Sprintf("%s %s %.80q", a.method, a.target, a.body)})
		}
	}
	return found
}

func judgeSound(p played) []Finding {
	served := 0
	for _, r := range p.sound {
		if r.status == http.StatusOK && r.complete && strings.HasPrefix(r.body, "sound") {
			served++
		}
	}
	if float64(served) < soundShare*float64(len(p.sound)) {
		return []Finding{{SoundLost, -1, fmt.Sprintf("%d of %d served", served, len(p.sound))}}
	}
	return nil
}
