package requestlog

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"
)

// Messages of lines that tell of a sending which broke off, and of a server that has ended.
var brokeOff = map[string]bool{
	"stream broken off": true, "stream not begun": true, "sending brought no success": true, "prefill brought no result": true,
}

const serverEnded = "server has ended"

const (
	// justBegun is for how long after its first event a stream counts as just begun, as
	// for the forwarders that hold requests back.
	justBegun = 500 * time.Millisecond
	// together is how far the breaking off of sendings and the line of a server's end lie
	// apart at most, in the logs of several VMs whose clocks differ.
	together = 3 * time.Second
)

// Crash is the end of a server, and what it was working on.
type Crash struct {
	Server string    `json:"server"`
	At     time.Time `json:"at"`
	// Lost counts the requests that broke off, JustBegun are the fingerprints of those that
	// the server had not begun to answer, or for less than half a second.
	Lost      int      `json:"lost"`
	JustBegun []string `json:"justBegun"`
}

// Suspect is what a request asks for that servers had just begun to work on when they ended.
type Suspect struct {
	Fingerprint string `json:"fingerprint"`
	Route       string `json:"route"`
	// Servers are those that ended, Tries the requests that brought it there.
	Servers []string `json:"servers"`
	Tries   []string `json:"tries"`
	// Answered counts the answers that it got.
	Answered int `json:"answered"`
	// Held is set once it was held back.
	Held bool `json:"held"`
}

// Crashes is what logs tell of servers that ended: when, and which requests may be why, the
// likeliest first.
type Crashes struct {
	Crashes  []Crash   `json:"crashes"`
	Suspects []Suspect `json:"suspects"`
	Unread   int       `json:"unread"`
}

// FindCrashes reads the logs of forwarders.
func FindCrashes(logs ...Log) (Crashes, error) {
	f := crashFinder{requests: map[string]*tried{}, ended: map[string]time.Time{}, answered: map[string]int{}, held: map[string]bool{}}
	var found Crashes
	for _, log := range logs {
		unread, err := scan(log.Reader, f.take)
		found.Unread += unread
		if err != nil {
			return found, fmt.Errorf("%s: %w", log.Name, err)
		}
	}
	found.Crashes, found.Suspects = f.crashes(), f.suspects()
	return found, nil
}

// tried is one request, and where it broke off.
type tried struct {
	id, fingerprint, route string
	first, took            time.Duration
	broke                  map[string]time.Time // by server
}

// crashFinder gathers lines; they may come in any order.
type crashFinder struct {
	requests map[string]*tried
	ended    map[string]time.Time
	answered map[string]int
	held     map[string]bool
}

func (f *crashFinder) take(l Line) {
	switch {
	case l.Message == serverEnded:
		if at, known := f.ended[l.Server]; !known || l.Time.Before(at) {
			f.ended[l.Server] = l.Time
		}
	case brokeOff[l.Message] && l.Reason == "outcomeLost":
		r := f.request(l)
		r.broke[cmp.Or(prefillOf(l), l.Server)] = l.Time
	case l.Message == answered:
		f.answer(l)
	case l.Message == "request held back, servers ended under it":
		f.held[l.Fingerprint] = true
	}
}

// prefillOf is the engine whose reading of a prompt broke off, empty for other lines.
func prefillOf(l Line) string {
	if l.Message == "prefill brought no result" {
		return l.Prefill
	}
	return ""
}

func (f *crashFinder) answer(l Line) {
	r := f.request(l)
	r.first, r.took = l.FirstMs.duration(), l.TookMs.duration()
	if l.Status >= http.StatusOK && l.Status < http.StatusMultipleChoices {
		f.answered[l.Fingerprint]++
	}
}

func (f *crashFinder) request(l Line) *tried {
	r := f.requests[l.Request]
	if r == nil {
		r = &tried{id: l.Request, broke: map[string]time.Time{}}
		f.requests[l.Request] = r
	}
	r.fingerprint, r.route = cmp.Or(l.Fingerprint, r.fingerprint), cmp.Or(l.Route, r.route)
	return r
}

// brokeAt reports whether a request broke off at the end of a server.
func (f *crashFinder) brokeAt(r *tried, server string) bool {
	at, ended := f.ended[server]
	broke, here := r.broke[server]
	return ended && here && at.Sub(broke).Abs() <= together
}

// justBegun reports whether no server had answered a request for long when it broke off.
func (r *tried) justBegun() bool { return r.first == 0 || r.took-r.first < justBegun }

func (f *crashFinder) crashes() []Crash {
	list := []Crash{}
	for server, at := range f.ended {
		c := Crash{Server: server, At: at, JustBegun: []string{}}
		for _, r := range f.requests {
			if !f.brokeAt(r, server) {
				continue
			}
			c.Lost++
			if r.justBegun() {
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

// suspects lists what was just begun at a server that ended: at more servers first, then
// what was answered less.
func (f *crashFinder) suspects() []Suspect {
	byFingerprint := map[string]*Suspect{}
	for _, r := range f.requests {
		for server := range r.broke {
			if !f.brokeAt(r, server) || !r.justBegun() {
				continue
			}
			s := byFingerprint[r.fingerprint]
			if s == nil {
				s = &Suspect{Fingerprint: r.fingerprint, Answered: f.answered[r.fingerprint], Held: f.held[r.fingerprint]}
				byFingerprint[r.fingerprint] = s
			}
			s.Route = cmp.Or(s.Route, r.route)
			s.Servers, s.Tries = append(s.Servers, server), append(s.Tries, r.id)
		}
	}
	list := make([]Suspect, 0, len(byFingerprint))
	for _, fingerprint := range slices.Sorted(maps.Keys(byFingerprint)) {
		s := byFingerprint[fingerprint]
		slices.Sort(s.Servers)
		slices.Sort(s.Tries)
		s.Servers, s.Tries = slices.Compact(s.Servers), slices.Compact(s.Tries)
		list = append(list, *s)
	}
	slices.SortStableFunc(list, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(len(b.Servers), len(a.Servers)), cmp.Compare(a.Answered, b.Answered))
	})
	return list
}
