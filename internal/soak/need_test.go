package soak

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

const (
	// senderHeader names the forwarder that a request is sent to.
	senderHeader = "X-Sender"
	// needyServers of the servers can be in need; the others carry the load meanwhile.
	needyServers = 2
	// heardAfter is from how long after an answer a forwarder is held to what it said.
	heardAfter = 500 * time.Millisecond

	// A server with a limit may get limitShare times what that allows, and limitFree requests
	// besides, within limitWindow, from limitSettle after it first named it.
	limitNamed  = 5.0
	limitFor    = 9 * time.Second
	limitWindow = 4 * time.Second
	limitShare  = 1.5
	limitFree   = 5
	limitSettle = 3 * time.Second

	// A server that asked for restAsked gets at most restFree requests in that time.
	restAsked = 2 * time.Second
	restFor   = 3 * time.Second
	restFree  = 2

	// A server that says that it leaves gets no request later than leaveWithin after that.
	leaveFor    = 4 * time.Second
	leaveWithin = 2 * time.Second
)

// need is what a server says of itself.
type need string

const (
	needLimit need = "limit"
	needRest  need = "rest"
	needLeave need = "leave"
)

// contact is a request that reached a server, and what its answer said.
type contact struct {
	at       time.Time
	instance string
	sender   string
	said     need
}

// needs is what a server says of itself by turns, and who has reached it.
type needs struct {
	mutex    sync.Mutex
	now      need
	until    time.Time
	contacts []contact
	// broken is when its connections were broken or held up: answers were lost then.
	broken []time.Time
}

// begin has the server be in need for a while.
func (n *needs) begin(kind need, length time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.now, n.until = kind, time.Now().Add(length)
}

// end ends the need: the server starts again.
func (n *needs) end() { n.begin("", 0) }

// breaks notes that connections to the server are broken or held up.
func (n *needs) breaks() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.broken = append(n.broken, time.Now())
}

// meet notes a request and writes what the server says of itself. True means that it has
// refused the request.
func (n *needs) meet(w http.ResponseWriter, r *http.Request, instance string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	c := contact{at: time.Now(), instance: instance, sender: r.Header.Get(senderHeader)}
	if c.at.Before(n.until) {
		c.said = n.now
	}
	n.contacts = append(n.contacts, c)
	switch c.said {
	case needLimit:
		w.Header().Set("Oriolebend-Limit", strconv.FormatFloat(limitNamed, 'f', -1, 64))
	case needLeave:
		w.Header().Set("Oriolebend-Leaving", "1")
	case needRest:
		w.Header().Set("Oriolebend-Ran", "no")
		w.Header().Set("Retry-After", strconv.FormatFloat(restAsked.Seconds(), 'f', -1, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return c.said == needRest
}

// randomNeed draws a server and what it needs.
func randomNeed(random *rand.Rand, f *fleet) fault {
	server := f.servers[random.IntN(needyServers)]
	kinds := []struct {
		kind   need
		length time.Duration
	}{{needLimit, limitFor}, {needRest, restFor}, {needLeave, leaveFor}}
	drawn := kinds[random.IntN(len(kinds))]
	return fault{"need of " + server.name + ": " + string(drawn.kind), func() { server.needs.begin(drawn.kind, drawn.length) }}
}

// checkNeeds holds what reached servers in need against what they had said.
//
// Symptom: servers that name a limit, ask for rest or leave are sent what they do not want, on a
// site on which processes are killed, paused and restarted all the while. Cause: what one
// process has forgotten or was never told. A forwarder to which something was done in between
// is excused, and so is one whose answers were lost on the way.
func (f *fleet) checkNeeds(t *testing.T) {
	t.Helper()
	for _, v := range f.servers[:needyServers] {
		v.needs.mutex.Lock()
		v.checkLimit(t)
		v.checkSince(t, needRest, heardAfter, restAsked, restFree)
		v.checkSince(t, needLeave, leaveWithin, leaveFor, 0)
		v.needs.mutex.Unlock()
	}
}

// excused reports whether a forwarder is not held at a time to what it was told at another.
func (v *server) excused(sender string, told, at time.Time) bool {
	between := func(list []time.Time) bool {
		for _, happened := range list {
			if happened.After(told.Add(-heardAfter)) && !happened.After(at) {
				return true
			}
		}
		return false
	}
	p := v.fleet.system.forwarderAt(sender)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return between(p.signalled) || between(v.needs.broken)
}

// checkSince counts, after each answer that said something, what its forwarder sent between
// two times after it.
func (v *server) checkSince(t *testing.T, said need, from, to time.Duration, free int) {
	t.Helper()
	worst := 0
	for i, told := range v.needs.contacts {
		if told.said != said {
			continue
		}
		count := 0
		for _, c := range v.needs.contacts[i:] {
			since := c.at.Sub(told.at)
			if since > to {
				break
			}
			if c.sender == told.sender && c.instance == told.instance && since > from && !v.excused(c.sender, told.at, c.at) {
				count++
			}
		}
		worst = max(worst, count)
	}
	t.Logf("%s, %s: at most %d requests from one forwarder, allowed are %d", v.name, said, worst, free)
	if worst > free {
		t.Errorf("%s had said %q and got %d requests from one forwarder, allowed are %d", v.name, said, worst, free)
	}
}

// checkLimit counts what reached the server while it named a limit, from forwarders that it had
// told so.
func (v *server) checkLimit(t *testing.T) {
	t.Helper()
	const allowed = limitShare*limitNamed*4 + limitFree // of limitWindow
	first, told := map[string]time.Time{}, map[string]time.Time{}
	var counted []time.Time
	worst := 0
	for _, c := range v.needs.contacts {
		if c.said != needLimit {
			clear(first)
			clear(told)
			counted = nil
			continue
		}
		if _, named := first[c.instance]; !named {
			first[c.instance] = c.at
		}
		heard, known := told[c.sender+c.instance]
		if !known || v.excused(c.sender, heard, c.at) {
			told[c.sender+c.instance] = c.at
			continue
		}
		if c.at.Sub(heard) < heardAfter || c.at.Sub(first[c.instance]) < limitSettle {
			continue
		}
		counted = append(counted, c.at)
		for c.at.Sub(counted[0]) >= limitWindow {
			counted = counted[1:]
		}
		worst = max(worst, len(counted))
	}
	t.Logf("%s, limit: at most %d requests within %s, allowed are %.0f", v.name, worst, limitWindow, allowed)
	if float64(worst) > allowed {
		t.Errorf("%s had named a limit of %.0f and got %d requests within %s, allowed are %.0f", v.name, limitNamed, worst, limitWindow, allowed)
	}
}
