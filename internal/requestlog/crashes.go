package requestlog

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// failedSendMessages are the messages of failed sends.
var failedSendMessages = map[string]bool{
	"stream broken off": true, "stream not begun": true, "sending brought no success": true, "prefill brought no result": true,
}

// quarantineMessages are the messages of a request or a part that is quarantined.
var quarantineMessages = map[string]bool{
	"request held back, servers ended under it": true, "part of prompts held back, servers ended under it": true,
}

// messageServerEnded is the message of a server's crash.
const messageServerEnded = "server has ended"

const (
	// justStartedLimit is the time after its first event during which a stream counts as
	// just started. The quarantine of the forwarders uses the same limit.
	justStartedLimit = 500 * time.Millisecond
	// crashWindow is the maximum time between a failed send and the log line of the
	// server's crash that caused it. The logs come from VMs whose clocks differ.
	crashWindow = 3 * time.Second
)

// Crash is the crash of a server, with the requests that failed in it.
type Crash struct {
	Server string    `json:"server"`
	At     time.Time `json:"at"`
	// Lost is the number of requests that failed. JustBegun holds the fingerprints of
	// those whose response had not started, or had started less than half a second before.
	Lost      int      `json:"lost"`
	JustBegun []string `json:"justBegun"`
}

// SuspectKind is what the fingerprint of a suspect identifies.
type SuspectKind string

// Kinds of suspects.
const (
	SuspectRequest SuspectKind = "request" // everything that a request asks for
	SuspectPart    SuspectKind = "part"    // a part of a prompt, which other requests may share
)

// Suspect is the fingerprint of a request, or of a part of prompts, that servers had just started to
// process when they crashed.
type Suspect struct {
	Kind        SuspectKind `json:"kind"`
	Fingerprint string      `json:"fingerprint"`
	Route       string      `json:"route"`
	// Servers are the servers that crashed. Tries are the IDs of the requests with this
	// fingerprint that they were processing.
	Servers []string `json:"servers"`
	Tries   []string `json:"tries"`
	// Answered is the number of successful responses to requests with this fingerprint.
	Answered int `json:"answered"`
	// Held is true if the fingerprint was quarantined.
	Held bool `json:"held"`
}

// Crashes lists the crashes of servers that the logs show, and the requests that may have
// caused them, the most likely ones first.
type Crashes struct {
	Crashes  []Crash   `json:"crashes"`
	Suspects []Suspect `json:"suspects"`
	Unread   int       `json:"unread"`
}

// FindCrashes finds the crashes of servers and their suspects in the logs of forwarders.
func FindCrashes(logs ...Log) (Crashes, error) {
	f := crashFinder{requests: map[string]*trackedRequest{}, crashedAt: map[string]time.Time{}, answered: map[suspectKey]int{}, quarantined: map[string]bool{}}
	var found Crashes
	for _, log := range logs {
		unread, err := scan(log.Reader, f.addLine)
		found.Unread += unread
		if err != nil {
			return found, fmt.Errorf("%s: %w", log.Name, err)
		}
	}
	found.Crashes, found.Suspects = f.crashes(), f.suspects()
	return found, nil
}

// trackedRequest is one request with the servers at which it failed.
type trackedRequest struct {
	id, fingerprint, route string
	parts                  []string
	first, took            time.Duration
	failedAt               map[string]time.Time // by server
}

// suspectKey identifies a suspect.
type suspectKey struct {
	kind        SuspectKind
	fingerprint string
}

// keys returns the suspects that a request stands for: itself, and the parts of its prompt.
func (r *trackedRequest) keys() []suspectKey {
	keys := []suspectKey{{kind: SuspectRequest, fingerprint: r.fingerprint}}
	for _, part := range r.parts {
		keys = append(keys, suspectKey{kind: SuspectPart, fingerprint: part})
	}
	return keys
}

// crashFinder collects log lines, which may arrive in any order.
type crashFinder struct {
	requests    map[string]*trackedRequest
	crashedAt   map[string]time.Time
	answered    map[suspectKey]int
	quarantined map[string]bool
}

func (f *crashFinder) addLine(l Line) {
	switch {
	case l.Message == messageServerEnded:
		if at, known := f.crashedAt[l.Server]; !known || l.Time.Before(at) {
			f.crashedAt[l.Server] = l.Time
		}
	case failedSendMessages[l.Message] && l.Reason == "outcomeLost":
		r := f.trackRequest(l)
		r.failedAt[cmp.Or(prefillServer(l), l.Server)] = l.Time
	case l.Message == messageAnswered:
		f.addAnswer(l)
	case quarantineMessages[l.Message]:
		f.quarantined[l.Fingerprint] = true
	}
}

// prefillServer returns the engine whose prefill failed, or "" for lines of other messages.
func prefillServer(l Line) string {
	if l.Message == "prefill brought no result" {
		return l.Prefill
	}
	return ""
}

func (f *crashFinder) addAnswer(l Line) {
	r := f.trackRequest(l)
	r.first, r.took = l.FirstMs.duration(), l.TookMs.duration()
	if l.Status >= http.StatusOK && l.Status < http.StatusMultipleChoices {
		for _, key := range r.keys() {
			f.answered[key]++
		}
	}
}

func (f *crashFinder) trackRequest(l Line) *trackedRequest {
	r := f.requests[l.Request]
	if r == nil {
		r = &trackedRequest{id: l.Request, failedAt: map[string]time.Time{}}
		f.requests[l.Request] = r
	}
	r.fingerprint, r.route = cmp.Or(l.Fingerprint, r.fingerprint), cmp.Or(l.Route, r.route)
	if l.Parts != "" {
		r.parts = strings.Fields(l.Parts)
	}
	return r
}

// failedInCrash reports whether a request failed in the crash of a server.
func (f *crashFinder) failedInCrash(r *trackedRequest, server string) bool {
	crashedAt, crashed := f.crashedAt[server]
	failedAt, failedHere := r.failedAt[server]
	return crashed && failedHere && crashedAt.Sub(failedAt).Abs() <= crashWindow
}

// justStarted reports whether the response to a request had just started, or not started at
// all, when the request failed.
func (r *trackedRequest) justStarted() bool { return r.first == 0 || r.took-r.first < justStartedLimit }

func (f *crashFinder) crashes() []Crash {
	list := []Crash{}
	for server, at := range f.crashedAt {
		c := Crash{Server: server, At: at, JustBegun: []string{}}
		for _, r := range f.requests {
			if !f.failedInCrash(r, server) {
				continue
			}
			c.Lost++
			if r.justStarted() {
				c.JustBegun = append(c.JustBegun, r.fingerprint)
			}
		}
		slices.Sort(c.JustBegun)
		c.JustBegun = slices.Compact(c.JustBegun)
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b Crash) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Server, b.Server)) })
	return list
}

// suspects returns the requests and parts that had just started at a server that crashed, ordered
// by descending number of servers, then by ascending number of successful responses. A request goes
// before its parts: if only one request has a part, nothing distinguishes the two.
func (f *crashFinder) suspects() []Suspect {
	byKey := map[suspectKey]*Suspect{}
	for _, r := range f.requests {
		for server := range r.failedAt {
			if f.failedInCrash(r, server) && r.justStarted() {
				f.addSuspects(byKey, r, server)
			}
		}
	}
	list := make([]Suspect, 0, len(byKey))
	for _, s := range byKey {
		slices.Sort(s.Servers)
		slices.Sort(s.Tries)
		s.Servers, s.Tries = slices.Compact(s.Servers), slices.Compact(s.Tries)
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(len(b.Servers), len(a.Servers)), cmp.Compare(a.Answered, b.Answered),
			-cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return list
}

// addSuspects adds the crash of a server to the suspects that a request stands for.
func (f *crashFinder) addSuspects(byKey map[suspectKey]*Suspect, r *trackedRequest, server string) {
	for _, key := range r.keys() {
		s := byKey[key]
		if s == nil {
			s = &Suspect{
				Kind: key.kind, Fingerprint: key.fingerprint,
				Answered: f.answered[key], Held: f.quarantined[key.fingerprint],
			}
			byKey[key] = s
		}
		s.Route = cmp.Or(s.Route, r.route)
		s.Servers, s.Tries = append(s.Servers, server), append(s.Tries, r.id)
	}
}
