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
	// noticeServers of the servers report notices; the others serve the load in the meantime.
	noticeServers = 2
	// noticeGrace is the time after a response from which a forwarder must obey the notice in
	// it.
	noticeGrace = 500 * time.Millisecond

	// A server reports the limit reportedLimit, in requests per second. Later than limitSettle
	// after the first such report, it may receive at most limitShare times the requests that this
	// limit allows, plus limitFree requests, within any limitWindow.
	reportedLimit = 5.0
	limitFor      = 9 * time.Second
	limitWindow   = 4 * time.Second
	limitShare    = 1.5
	limitFree     = 5
	limitSettle   = 3 * time.Second

	// A server that reported the backoff period backoffReported may receive at most backoffFree
	// requests from one forwarder in that period.
	backoffReported = 2 * time.Second
	backoffFor      = 3 * time.Second
	backoffFree     = 2

	// A server that has reported that it leaves must receive no request later than leaveWithin
	// after that.
	leaveFor    = 4 * time.Second
	leaveWithin = 2 * time.Second
)

// notice is a state that a server reports in response headers.
type notice string

const (
	noticeLimit   notice = "limit"
	noticeBackoff notice = "backoff"
	noticeLeave   notice = "leave"
)

// arrival is a request that reached a server, with the notice in its response.
type arrival struct {
	at       time.Time
	instance string
	sender   string
	notice   notice
}

// notices holds the notice that a server reports at present, and the requests that reached it.
type notices struct {
	mutex    sync.Mutex
	current  notice
	until    time.Time
	arrivals []arrival
	// broken holds the times of connection faults, at which responses may have been lost.
	broken []time.Time
}

// begin makes the server report a notice for a time.
func (n *notices) begin(kind notice, length time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.current, n.until = kind, time.Now().Add(length)
}

// end removes the notice when the server restarts.
func (n *notices) end() { n.begin("", 0) }

// noteFault records a fault that breaks or delays connections to the server.
func (n *notices) noteFault() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.broken = append(n.broken, time.Now())
}

// apply records a request and writes the headers of the current notice. It returns true if it
// has refused the request.
func (n *notices) apply(w http.ResponseWriter, r *http.Request, instance string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	c := arrival{at: time.Now(), instance: instance, sender: r.Header.Get(senderHeader)}
	if c.at.Before(n.until) {
		c.notice = n.current
	}
	n.arrivals = append(n.arrivals, c)
	switch c.notice {
	case noticeLimit:
		w.Header().Set("Oriolebend-Limit", strconv.FormatFloat(reportedLimit, 'f', -1, 64))
	case noticeLeave:
		w.Header().Set("Oriolebend-Leaving", "1")
	case noticeBackoff:
		w.Header().Set("Oriolebend-Ran", "no")
		w.Header().Set("Retry-After", strconv.FormatFloat(backoffReported.Seconds(), 'f', -1, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return c.notice == noticeBackoff
}

// randomNotice draws a server and a notice.
func randomNotice(random *rand.Rand, f *fleet) fault {
	server := f.servers[random.IntN(noticeServers)]
	kinds := []struct {
		kind   notice
		length time.Duration
	}{{noticeLimit, limitFor}, {noticeBackoff, backoffFor}, {noticeLeave, leaveFor}}
	drawn := kinds[random.IntN(len(kinds))]
	return fault{"notice of " + server.name + ": " + string(drawn.kind), func() { server.notices.begin(drawn.kind, drawn.length) }}
}

// checkNotices compares the requests that reached servers with the notices that they had
// reported.
//
// It guards against servers that report a limit, a backoff period or that they leave, and are
// sent more requests than that allows while processes are killed, paused and restarted. The
// cause is a notice that one process has lost or never received. A forwarder that was started
// or signalled in between is excused, and so is one whose responses may have been lost.
func (f *fleet) checkNotices(t *testing.T) {
	t.Helper()
	for _, v := range f.servers[:noticeServers] {
		v.notices.mutex.Lock()
		v.checkLimit(t)
		v.checkSince(t, noticeBackoff, noticeGrace, backoffReported, backoffFree)
		v.checkSince(t, noticeLeave, leaveWithin, leaveFor, 0)
		v.notices.mutex.Unlock()
	}
}

// excused reports whether a forwarder need not obey at one time a notice that was sent to it at
// another, because of a fault in between.
func (v *server) excused(sender string, notified, at time.Time) bool {
	between := func(list []time.Time) bool {
		for _, happened := range list {
			if happened.After(notified.Add(-noticeGrace)) && !happened.After(at) {
				return true
			}
		}
		return false
	}
	p := v.fleet.system.forwarderAt(sender)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return between(p.signalled) || between(v.notices.broken)
}

// checkSince counts, for each response with a given notice, the requests that its forwarder sent
// between two times after it.
func (v *server) checkSince(t *testing.T, notice notice, from, to time.Duration, free int) {
	t.Helper()
	worst := 0
	for i, reporting := range v.notices.arrivals {
		if reporting.notice != notice {
			continue
		}
		count := 0
		for _, c := range v.notices.arrivals[i:] {
			since := c.at.Sub(reporting.at)
			if since > to {
				break
			}
			if c.sender == reporting.sender && c.instance == reporting.instance && since > from && !v.excused(c.sender, reporting.at, c.at) {
				count++
			}
		}
		worst = max(worst, count)
	}
	t.Logf("%s, %s: at most %d requests from one forwarder, %d are allowed", v.name, notice, worst, free)
	if worst > free {
		t.Errorf("%s had reported %q and received %d requests from one forwarder, %d are allowed", v.name, notice, worst, free)
	}
}

// checkLimit counts the requests that reached the server while it reported a limit, from
// forwarders that had received the limit.
func (v *server) checkLimit(t *testing.T) {
	t.Helper()
	const allowed = limitShare*reportedLimit*4 + limitFree // 4 is limitWindow in seconds
	first, notified := map[string]time.Time{}, map[string]time.Time{}
	var counted []time.Time
	worst := 0
	for _, c := range v.notices.arrivals {
		if c.notice != noticeLimit {
			clear(first)
			clear(notified)
			counted = nil
			continue
		}
		if _, seen := first[c.instance]; !seen {
			first[c.instance] = c.at
		}
		received, known := notified[c.sender+c.instance]
		if !known || v.excused(c.sender, received, c.at) {
			notified[c.sender+c.instance] = c.at
			continue
		}
		if c.at.Sub(received) < noticeGrace || c.at.Sub(first[c.instance]) < limitSettle {
			continue
		}
		counted = append(counted, c.at)
		for c.at.Sub(counted[0]) >= limitWindow {
			counted = counted[1:]
		}
		worst = max(worst, len(counted))
	}
	t.Logf("%s, limit: at most %d requests within %s, %.0f are allowed", v.name, worst, limitWindow, allowed)
	if float64(worst) > allowed {
		t.Errorf("%s had reported a limit of %.0f and received %d requests within %s, %.0f are allowed", v.name, reportedLimit, worst, limitWindow, allowed)
	}
}
