package role

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/caller"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/internal/standin/answer"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
	"github.com/oriolebend/oriolebend/pkg/oriolebend/client"
)

const (
	// eventually bounds each wait for a condition; no test depends on how much
	// of it is used.
	eventually = 30 * time.Second
	lookEvery  = 5 * time.Millisecond
	testModel  = "planner-lm"
)

// cluster is a Dev whose parts a test breaks.
type cluster struct {
	*Dev
	t       *testing.T
	stopped bool
}

// clusters bounds how many run at a time: more would starve one another of
// processor time until leases end that should not.
var clusters = make(chan struct{}, 6)

// startCluster runs two prefill, three decode and two service stand-ins with
// three entries and three control VMs. change may set it up otherwise.
func startCluster(t *testing.T, change func(*settings.Settings)) *cluster {
	t.Helper()
	is := is.New(t)
	clusters <- struct{}{}
	t.Cleanup(func() { <-clusters })
	s, err := settings.Default()
	is.NoErr(err)
	s.Caller.Listen, s.Operator.Listen, s.Metrics.Listen = "", "", ""
	s.Dev.Entries = 3
	s.Operations = append(s.Operations, settings.Operation{Name: "kept", Urgency: oriolebend.Patient, KeepRunning: true})
	if change != nil {
		change(&s)
	}
	d, err := StartDev(s, slog.New(slog.NewTextHandler(testLog{t}, nil)))
	is.NoErr(err)
	c := &cluster{Dev: d, t: t}
	t.Cleanup(c.stop)
	c.ready()
	return c
}

// testLog shows a process's log with its test.
type testLog struct{ t *testing.T }

// Write implements io.Writer.
func (l testLog) Write(line []byte) (int, error) {
	if l.t.Context().Err() == nil {
		l.t.Log(strings.TrimSpace(string(line)))
	}
	return len(line), nil
}

// stop kills what the test left; the graceful stop of every role takes seconds
// and has tests of its own.
func (c *cluster) stop() {
	if c.stopped {
		return
	}
	for _, e := range c.Entries {
		_ = e.Kill()
	}
	for _, s := range c.Sidecars {
		_ = s.Kill()
	}
	for _, p := range c.Controls {
		_ = p.Kill()
	}
	c.Entries, c.Sidecars, c.Controls = nil, nil, nil
	c.stopWhole()
}

// stopWhole stops everything gracefully.
func (c *cluster) stopWhole() {
	c.t.Helper()
	c.stopped = true
	ctx, cancel := context.WithTimeout(context.Background(), eventually)
	defer cancel()
	if err := c.Stop(ctx); err != nil {
		c.t.Errorf("the cluster did not stop: %v", err)
	}
}

func (c *cluster) ready() {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), eventually)
	defer cancel()
	if err := c.Ready(ctx); err != nil {
		c.t.Fatal("the entries never saw every server")
	}
}

// until waits for a condition.
func (c *cluster) until(what string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(eventually); !holds(); time.Sleep(lookEvery) {
		if time.Now().After(end) {
			c.t.Fatalf("never met: %s", what)
		}
	}
}

// call is one request on its way, as its caller sees it.
type call struct {
	prompt string
	tokens int
	cancel context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	text    strings.Builder
	status  int
	body    string
	whole   bool
	err     error
	problem caller.Document
}

// ask sends a model request and reads its answer in the background.
func (c *cluster) ask(e *EntryProcess, key string, options ...string) *call {
	r := &call{prompt: "Plan the corridor of " + key + ".", tokens: 60, done: make(chan struct{})}
	stream, operation, deadline := true, "", ""
	for _, o := range options {
		switch name, value, _ := strings.Cut(o, "="); name {
		case "whole":
			stream = false
		case "kept":
			operation = "kept"
		case "prompt":
			r.prompt = value
		case "deadline":
			deadline = value
		case "tokens":
			_, _ = fmt.Sscan(value, &r.tokens)
		}
	}
	body, _ := json.Marshal(map[string]any{"model": testModel, "prompt": r.prompt, "max_tokens": r.tokens, "stream": stream})
	header := keyed(key)
	if operation != "" {
		header.Set("Oriolebend-Operation", operation)
	}
	if deadline != "" {
		header.Set("Oriolebend-Deadline", deadline)
	}
	c.start(r, e, "/v1/completions", header, string(body))
	return r
}

// ping sends a call of the service that runs at most once.
func (c *cluster) ping(e *EntryProcess, key string) *call {
	r := &call{done: make(chan struct{})}
	c.start(r, e, "/services/dispatch-api/arrivals", keyed(key), pingBody(key))
	return r
}

// keyed returns the header with a key; an empty one leaves it to the entry.
func keyed(key string) http.Header {
	if key == "" {
		return http.Header{}
	}
	return http.Header{"Idempotency-Key": {key}}
}

func pingBody(key string) string { return fmt.Sprintf(`{"camp": %q}`, key) }

func (c *cluster) start(r *call, e *EntryProcess, path string, header http.Header, body string) {
	ctx, cancel := context.WithCancel(c.t.Context())
	r.cancel = cancel
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address()+path, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	request.Header = header
	go func() {
		defer close(r.done)
		defer cancel()
		r.read(request)
	}()
}

func (r *call) read(request *http.Request) {
	// A connection of its own: what another request does to it can't show here.
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.err = err
		return
	}
	defer response.Body.Close()
	r.mu.Lock()
	r.status = response.StatusCode
	r.mu.Unlock()
	if response.Header.Get("Content-Type") == "text/event-stream" {
		r.readStream(response.Body)
		return
	}
	body, err := io.ReadAll(response.Body)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.body, r.err = string(body), err
	r.whole = err == nil && response.StatusCode == http.StatusOK
	r.take(body)
}

func (r *call) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		r.mu.Lock()
		if data == "[DONE]" {
			r.whole = true
		} else {
			r.take([]byte(data))
		}
		r.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = lines.Err()
}

// take reads one answer or one part of it.
func (r *call) take(data []byte) {
	var part struct {
		Choices []struct{ Text string }
	}
	_ = json.Unmarshal(data, &part)
	for _, choice := range part.Choices {
		r.text.WriteString(choice.Text)
	}
	if len(part.Choices) == 0 {
		_ = json.Unmarshal(data, &r.problem)
	}
}

// got returns how much output has come.
func (r *call) got() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Len()
}

// end waits until the caller has nothing more to expect.
func (c *cluster) end(r *call) {
	c.t.Helper()
	select {
	case <-r.done:
	case <-time.After(eventually):
		c.t.Fatalf("a caller got no end of its answer: %s", r.prompt)
	}
}

// wholeAnswer waits for the end and checks that nothing lacks or repeats.
func (c *cluster) wholeAnswer(r *call) {
	c.t.Helper()
	c.end(r)
	if !r.whole {
		c.t.Fatalf("%s: not whole: status %d, problem %+v, body %s, error %v", r.prompt, r.status, r.problem, r.body, r.err)
	}
	if err := answer.Check(testModel, "", r.prompt, r.tokens, r.text.String()); err != nil {
		c.t.Fatalf("%s: %v", r.prompt, err)
	}
}

// streaming waits until a part of the answer came.
func (c *cluster) streaming(r *call) {
	c.t.Helper()
	c.until("output of "+r.prompt, func() bool {
		select {
		case <-r.done:
			if r.got() == 0 {
				c.t.Fatalf("%s: ended without output: status %d, problem %+v, error %v", r.prompt, r.status, r.problem, r.err)
			}
		default:
		}
		return r.got() > 0
	})
}

// decoding waits until an engine decodes, and returns its name.
func (c *cluster) decoding() string { return c.working(oriolebend.Decode) }

// prefilling waits until an engine prefills, and returns its name.
func (c *cluster) prefilling() string { return c.working(oriolebend.Prefill) }

func (c *cluster) working(role oriolebend.PoolRole) string {
	c.t.Helper()
	var found string
	c.until("work of role "+string(role), func() bool {
		for name := range c.Engines {
			if strings.HasPrefix(name, string(role)) && c.held(name) > 0 {
				found = name
			}
		}
		return found != ""
	})
	return found
}

// slowBy makes every engine take so many times as long; 1 is the usual speed.
func (c *cluster) slowBy(factor float64) {
	for _, e := range c.Engines {
		e.SlowBy(factor)
	}
}

// held counts the work that an engine holds memory for.
func (c *cluster) held(name string) int {
	work, err := c.Engines[name].Work(c.t.Context())
	if err != nil {
		return 0
	}
	return len(work)
}

// free waits until no engine holds memory for a request.
func (c *cluster) free() {
	c.t.Helper()
	c.until("every engine's memory is free", func() bool {
		for name := range c.Engines {
			if c.held(name) > 0 {
				return false
			}
		}
		return true
	})
}

// executions counts how often the servers of the service together ran a ping.
func (c *cluster) executions(key string) int {
	count := 0
	for _, ledger := range c.Ledgers {
		count += ledger.ByPayload([]byte(pingBody(key)))
	}
	return count
}

// prefills counts the prefills that all engines ran.
func (c *cluster) prefills() int {
	count := 0
	for _, e := range c.Engines {
		count += int(e.Stats().Prefills)
	}
	return count
}

// must fails the test on an error.
func (c *cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// anew makes the setup of a process that starts again: it opens its own ports.
func anew(p Process) Process {
	p.Socket, p.Operators = nil, nil
	return p
}

// restartSidecar starts the sidecar of a server anew, as a process that
// remembers nothing.
func (c *cluster) restartSidecar(name string) {
	c.t.Helper()
	s, err := StartSidecar(anew(c.Sidecars[name].process))
	c.must(err)
	c.Sidecars[name] = s
}

// restartControl starts a control VM's process anew over its data folder.
func (c *cluster) restartControl(n int) {
	c.t.Helper()
	// While it was down its port was free for every process of the machine that
	// asks for any port.
	c.until("the operators' port is free", func() bool {
		l, err := net.Listen("tcp", c.Controls[n].process.Settings.Operator.Listen)
		return err == nil && l.Close() == nil
	})
	p, err := StartControl(anew(c.Controls[n].process))
	c.must(err)
	c.Controls[n] = p
}

// leader waits for a leader and returns its number.
func (c *cluster) leader() int {
	c.t.Helper()
	leader := -1
	c.until("a control VM leads", func() bool {
		for n, p := range c.Controls {
			if name, _ := p.replica.Leader(); name == c.settings.Control.Members[n].Name {
				leader = n
			}
		}
		return leader >= 0
	})
	return leader
}

// operators returns a client of every control VM.
func (c *cluster) operators() *client.Client {
	c.t.Helper()
	var urls []string
	for _, p := range c.Controls {
		urls = append(urls, "http://"+p.OperatorAddress())
	}
	return client.New(client.Config{Addresses: urls})
}

// killEntry ends an entry as one that dies.
func (c *cluster) killEntry(e *EntryProcess) {
	c.t.Helper()
	c.Entries = slices.DeleteFunc(c.Entries, func(other *EntryProcess) bool { return other == e })
	c.must(e.Kill())
}
