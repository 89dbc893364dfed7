package soak

import (
	"fmt"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	headerResumes = "Oriolebend-Resumes"
	// resumeDelay is the pause before the first resumption of a stream; the next ones are longer.
	resumeDelay = 100 * time.Millisecond
	// maxResumptions is how often a caller resumes one stream.
	maxResumptions = 3
	// minResumptions is how many resumptions a run must have for their success to be checked.
	minResumptions = 12
)

// generation is one generation of a caller, who resumes its stream at any forwarder if it breaks off.
type generation struct {
	load    *load
	callers *http.Client
	id      string
	rank    int
	header  map[string]string

	// leavesAfter is after how many bytes of its first try the caller closes its connection.
	leavesAfter int64
	// received is the last event that arrived, software the versions of the events.
	received int
	software map[string]bool
}

// run requests the generation, and resumes it as long as a part of it is missing.
func (g *generation) run(forwarder func() string) {
	g.software = map[string]bool{}
	last := g.try(g.id, forwarder(), g.leavesAfter)
	for n := 1; last.status != http.StatusOK && g.received > 0 && n <= maxResumptions && g.rank != onceRank; n++ {
		time.Sleep(time.Duration(n) * resumeDelay) // a forwarder that has ended may be back then
		last = g.try(fmt.Sprintf("gr-%s-%d", g.id, n), forwarder(), wholeBody)
		g.load.streams.noteResumption(last)
	}
	g.load.streams.note(g)
}

// try sends one try and returns its result.
func (g *generation) try(id, forwarder string, limit int64) result {
	header := maps.Clone(g.header)
	if g.received > 0 {
		header[headerResumes], header["Last-Event-Id"] = g.id, strconv.Itoa(g.received)
	}
	t := result{id: id, once: g.rank == onceRank, want: events(g.id, g.received+1)}
	began := time.Now()
	var body string
	var complete bool
	// The bodies differ between generations: quotas count requests with equal bodies as tries at one
	// request.
	t.status, body, complete = sendOnce(g.callers, forwarder, rankPath(g.rank), id, keyOf(ranked), g.id, header, limit)
	t.body = body
	if t.status == http.StatusOK {
		t.body = g.read(body)
	}
	if !complete {
		t.status = 0
	}
	g.load.note(t, began)
	return t
}

var (
	softwareLine = regexp.MustCompile(`\n: (v\d)\n\n`)
	eventLine    = regexp.MustCompile(`id: (\d+)\n`)
)

// read notes the versions of the complete events that arrived and returns the events without them.
func (g *generation) read(body string) string {
	body = body[:strings.LastIndex("\n\n"+body, "\n\n")]
	for _, found := range softwareLine.FindAllStringSubmatch(body, -1) {
		g.software[found[1]] = true
	}
	if all := eventLine.FindAllStringSubmatch(body, -1); len(all) > 0 {
		g.received, _ = strconv.Atoi(all[len(all)-1][1])
	}
	return softwareLine.ReplaceAllString(body, "\n\n")
}

// events returns the events of a stream from a number on, without software versions.
func events(stream string, from int) string {
	var all strings.Builder
	for n := from; n <= generationParts; n++ {
		all.WriteString(softwareLine.ReplaceAllString(part(stream, n, "v0"), "\n\n"))
	}
	return all.String()
}

// resumedStreams records the streams of all callers. The mutex of the load guards it.
type resumedStreams struct {
	load *load
	// mixed lists the streams with events of several software versions.
	mixed []string
	// resumed counts the resumptions, and ends how they ended, by status and reason.
	resumed int
	ends    map[string]int
}

func (r *resumedStreams) note(g *generation) {
	r.load.mutex.Lock()
	defer r.load.mutex.Unlock()
	if len(g.software) > 1 {
		r.mixed = append(r.mixed, fmt.Sprint(g.id, slices.Sorted(maps.Keys(g.software))))
	}
}

var problemReason = regexp.MustCompile(`"reason":"(\w+)"`)

func (r *resumedStreams) noteResumption(t result) {
	end := strconv.Itoa(t.status)
	if problem := problemReason.FindStringSubmatch(t.body); problem != nil {
		end += " " + problem[1]
	}
	r.load.mutex.Lock()
	defer r.load.mutex.Unlock()
	r.resumed++
	r.ends[end]++
}

// checkStreams guards against a stream with events of two software versions, and against streams of
// which none can be resumed.
func (l *load) checkStreams(t *testing.T) {
	t.Helper()
	t.Logf("%d resumptions: %v", l.streams.resumed, l.streams.ends)
	if len(l.streams.mixed) > 0 {
		t.Errorf("streams with events of several software versions: %v", l.streams.mixed)
	}
	if l.streams.resumed >= minResumptions && l.streams.ends[strconv.Itoa(http.StatusOK)] == 0 {
		t.Errorf("none of %d resumptions brought the rest of its stream", l.streams.resumed)
	}
}
