package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/control"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/internal/reducer/reached"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// fakeLog is a log with one member. It applies each proposal at once.
type fakeLog struct {
	mutex  sync.Mutex
	store  *Store
	index  uint64
	leader string
	self   string
	// failure, if set, is the error of the next proposals. applied is true if
	// their commands are applied nevertheless.
	failure error
	applied bool
	// stall makes proposals block until their context ends.
	stall bool
}

func (l *fakeLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.stall {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l.leader != l.self {
		return nil, &oriolebend.Problem{Reason: oriolebend.ReasonNotLeader, Ran: oriolebend.RanNo}
	}
	if l.failure != nil && !l.applied {
		return nil, l.failure
	}
	l.index++
	reply := l.store.Apply(l.index, command)
	if l.failure != nil {
		return nil, l.failure
	}
	return reply, nil
}

func (l *fakeLog) Confirm(context.Context) error {
	if l.leader != l.self {
		return &oriolebend.Problem{Reason: oriolebend.ReasonNotLeader, Ran: oriolebend.RanNo}
	}
	return nil
}

func (l *fakeLog) Leader() (name, address string) { return l.leader, "" }

// node is the operator API of a control VM on a fake log.
type node struct {
	log    *fakeLog
	store  *Store
	server *httptest.Server
}

func newNode(t *testing.T, change func(*Config)) *node {
	n := &node{store: NewStore()}
	n.log = &fakeLog{store: n.store, leader: "c1", self: "c1"}
	config := Config{
		Node: "c1", Log: n.log, Store: n.store,
		Tokens:           []string{"ana=secret-a", "budi=secret-b"},
		Confirmed:        func() (time.Duration, bool) { return time.Second, true },
		BookmarkInterval: 20 * time.Millisecond,
	}
	if change != nil {
		change(&config)
	}
	n.server = httptest.NewServer(New(config))
	t.Cleanup(n.server.Close)
	return n
}

func (n *node) announce(servers ...oriolebend.Server) {
	command, _ := control.Encode(control.PartDeclared, declared.Command{Members: &declared.Members{Announced: servers}})
	n.store.Apply(0, command)
}

func (n *node) do(t *testing.T, method, path, token, orderID, body string) (int, http.Header, string) {
	is := is.New(t)
	r, err := http.NewRequest(method, n.server.URL+path, strings.NewReader(body))
	is.NoErr(err)
	r.Header.Set("Authorization", "Bearer "+token)
	if orderID != "" {
		r.Header.Set(oriolebend.HeaderOrderID, orderID)
	}
	noFollow := http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	response, err := noFollow.Do(r)
	is.NoErr(err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response.StatusCode, response.Header, string(data)
}

// TestScripts runs the scripts in testdata: requests of two operators and the answers
// that they get.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		reports := []reached.Report{
			{Node: "entry-1", Role: "entry", Revision: 1 << 40, At: time.Now().Add(time.Hour), Control: "c1"},
			{Node: "entry-2", Role: "entry", Revision: 2, At: time.Now().Add(time.Hour), Control: "c2"},
		}
		announcements := map[string]message.Announce{"s1": {Progress: message.ProgressWaiting, Detail: "pool p would keep 1"}}
		n := newNode(t, func(c *Config) {
			c.Reports = func() []reached.Report { return reports }
			c.Announcements = func() map[string]message.Announce { return announcements }
		})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return runScript(t, n, d)
		})
	})
}

func runScript(t *testing.T, n *node, d *datadriven.TestData) string {
	var who, id, path string
	d.MaybeScanArgs(t, "who", &who)
	d.MaybeScanArgs(t, "id", &id)
	switch d.Cmd {
	case "announce":
		for _, arg := range d.CmdArgs {
			n.announce(oriolebend.Server{
				Name: arg.Key, State: oriolebend.ServerServing, Role: oriolebend.Decode,
				Models: []oriolebend.LoadedModel{{Model: "m", Version: "v1"}},
			})
		}
		return ""
	case "restart":
		data, err := n.store.Snapshot()
		is.New(t).NoErr(err)
		is.New(t).NoErr(n.store.Restore(data))
		return ""
	}
	d.ScanArgs(t, "path", &path)
	token := map[string]string{"ana": "secret-a", "budi": "secret-b"}[who]
	status, _, body := n.do(t, d.Cmd, "/v1/"+path, token, id, d.Input)
	if id == "" { // the server generates an order id
		body = orderID.ReplaceAllString(body, `"orderID":"made up"`)
	}
	return fmt.Sprintf("%d %s\n", status, stripVariable(t, body))
}

var orderID = regexp.MustCompile(`"orderID":"[0-9a-f-]{36}"`)

// stripVariable removes the fields of a body that differ between runs, and fields that
// the scripts do not compare.
func stripVariable(t *testing.T, body string) string {
	if body == "" {
		return ""
	}
	var value any
	is.New(t).NoErr(json.Unmarshal([]byte(body), &value))
	stripFields(value)
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	is.New(t).NoErr(encoder.Encode(value))
	return strings.TrimSpace(out.String())
}

func stripFields(value any) {
	switch v := value.(type) {
	case map[string]any:
		for _, key := range []string{"at", "heardAgo", "type", "title", "server"} {
			delete(v, key)
		}
		if detail, ok := v["detail"].(string); ok {
			v["detail"], _, _ = strings.Cut(detail, ", on 20")
		}
		for _, inner := range v {
			stripFields(inner)
		}
	case []any:
		for _, inner := range v {
			stripFields(inner)
		}
	}
}

// TestFaults checks the answers to writes when the log fails or the request is wrong.
func TestFaults(t *testing.T) {
	problem := func(reason oriolebend.Reason, ran oriolebend.Ran) error {
		return &oriolebend.Problem{Reason: reason, Ran: ran}
	}
	const model = `{"spec":{"versions":["v1"]}}`
	for _, test := range []struct {
		name       string
		prepare    func(n *node)
		token      string
		body       string
		status     int
		reason     oriolebend.Reason
		ran        oriolebend.Ran
		retryAfter bool
		location   string
	}{
		{name: "wrong token", token: "secret-x", body: model, status: 401, reason: "unauthorized", ran: "no"},
		{name: "too large", token: "secret-a", body: strings.Repeat(" ", 1<<20) + model, status: 413, reason: "tooLarge", ran: "no"},
		{name: "not JSON", token: "secret-a", body: "versions", status: 400, reason: "malformed", ran: "no"},
		{name: "other name", token: "secret-a", body: `{"kind":"model","name":"x"}`, status: 400, reason: "malformed", ran: "no"},
		{name: "invalid", token: "secret-a", body: `{"spec":{}}`, status: 422, reason: "invalidResource", ran: "no"},
		{
			name: "not leader", token: "secret-a", body: model, status: 307, location: "http://c2/v1/resources/model/m?expect=0",
			prepare: func(n *node) { n.log.leader = "c2" },
		},
		{
			name: "no leader", token: "secret-a", body: model, status: 503, reason: "notLeader", ran: "no", retryAfter: true,
			prepare: func(n *node) { n.log.leader = "" },
		},
		{
			name: "no quorum", token: "secret-a", body: model, status: 503, reason: "controlAway", ran: "no", retryAfter: true,
			prepare: func(n *node) { n.log.failure = problem(oriolebend.ReasonControlAway, oriolebend.RanNo) },
		},
		{
			name: "deposed in between", token: "secret-a", body: model, status: 503, reason: "notLeader", ran: "unknown", retryAfter: true,
			prepare: func(n *node) {
				n.log.failure = problem(oriolebend.ReasonNotLeader, oriolebend.RanUnknown)
				n.log.applied = true
			},
		},
		{
			name: "log stalls", token: "secret-a", body: model, status: 504, reason: "outcomeLost", ran: "unknown",
			prepare: func(n *node) { n.log.stall = true },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			n := newNode(t, func(c *Config) {
				c.OperatorURL = func(node string) string { return "http://" + node }
				c.WriteTimeout = 10 * time.Millisecond
			})
			if test.prepare != nil {
				test.prepare(n)
			}
			status, header, body := n.do(t, "PUT", "/v1/resources/model/m?expect=0", test.token, "o1", test.body)
			is.Equal(status, test.status)
			is.Equal(header.Get("Retry-After") != "", test.retryAfter)
			is.Equal(header.Get("Location"), test.location)
			if test.location != "" {
				return
			}
			var document oriolebend.OperatorProblem
			is.NoErr(json.Unmarshal([]byte(body), &document))
			is.Equal(document.Reason, test.reason)
			is.Equal(document.Ran, test.ran)
			is.Equal(header.Get("Content-Type"), "application/problem+json")
		})
	}
}

// TestWatchResumes reads a watch, cancels it and resumes it after the last event.
func TestWatchResumes(t *testing.T) {
	is := is.New(t)
	n := newNode(t, nil)
	put := func(name string) {
		status, _, _ := n.do(t, "PUT", "/v1/resources/model/"+name, "secret-a", "", `{"spec":{"versions":["v"]}}`)
		is.Equal(status, 200)
	}
	put("a")
	put("b")
	events, stop := n.watch(t, 0)
	is.True((<-events).Snapshot)
	is.Equal((<-events).Resource.Name, "a")
	is.Equal((<-events).Resource.Name, "b")
	is.True((<-events).Bookmark)
	put("c")
	event := <-events
	for event.Bookmark {
		event = <-events
	}
	is.Equal(event.Resource.Name, "c")
	stop()
	put("a2")
	put("b2")
	events, stop = n.watch(t, event.Revision)
	defer stop()
	is.Equal((<-events).Resource.Name, "a2")
	is.Equal((<-events).Resource.Name, "b2")
	bookmark := <-events
	is.True(bookmark.Bookmark)
	is.Equal(bookmark.Revision, uint64(5))
	is.Equal(time.Duration(*bookmark.Age), time.Second)
	status, _, _ := n.do(t, "GET", "/v1/watch?from=99", "secret-a", "", "")
	is.Equal(status, 503) // the watcher has seen a later revision than this control VM has
}

func (n *node) watch(t *testing.T, from uint64) (<-chan oriolebend.WatchEvent, func()) {
	is := is.New(t)
	ctx, stop := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, "GET", fmt.Sprintf("%s/v1/watch?from=%d", n.server.URL, from), nil)
	is.NoErr(err)
	r.Header.Set("Authorization", "Bearer secret-a")
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	events := make(chan oriolebend.WatchEvent)
	go func() {
		defer response.Body.Close()
		decoder := json.NewDecoder(response.Body)
		for {
			var event oriolebend.WatchEvent
			if decoder.Decode(&event) != nil {
				return
			}
			select {
			case events <- event:
			case <-ctx.Done():
				return
			}
		}
	}()
	return events, stop
}
