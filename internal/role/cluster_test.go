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
	// waitTimeout bounds each wait for a condition. No test depends on how long the
	// wait actually takes.
	waitTimeout  = 30 * time.Second
	pollInterval = 5 * time.Millisecond
	testModel    = "planner-lm"
)

// cluster is a Dev in which a test injects failures.
type cluster struct {
	*Dev
	t       *testing.T
	stopped bool
}

// clusters bounds how many clusters run at a time. More would starve one another of
// processor time until leases expire that should not.
var clusters = make(chan struct{}, 6)

// startCluster starts two prefill, three decode and two service stand-ins with three
// entries and three control VMs. change may modify the settings; it may be nil.
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

// testLog writes a process's log to the log of its test.
type testLog struct{ t *testing.T }

// Write implements io.Writer.
func (l testLog) Write(line []byte) (int, error) {
	if l.t.Context().Err() == nil {
		l.t.Log(strings.TrimSpace(string(line)))
	}
	return len(line), nil
}

// stop kills the processes that still run. A graceful stop of every role takes seconds
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
	c.stopGracefully()
}

// stopGracefully stops all processes gracefully.
func (c *cluster) stopGracefully() {
	c.t.Helper()
	c.stopped = true
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := c.Stop(ctx); err != nil {
		c.t.Errorf("stop the cluster: %v", err)
	}
}

func (c *cluster) ready() {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), waitTimeout)
	defer cancel()
	if err := c.Ready(ctx); err != nil {
		c.t.Fatal("the entries did not see every server")
	}
}

// waitFor waits for a condition.
func (c *cluster) waitFor(what string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			c.t.Fatalf("condition not met: %s", what)
		}
	}
}

// call is one request in progress, as its caller sees it.
type call struct {
	prompt string
	tokens int
	cancel context.CancelFunc
	done   chan struct{}

	mu       sync.Mutex
	text     strings.Builder
	status   int
	body     string
	complete bool
	err      error
	problem  caller.Document
}

// send sends a model request and reads its answer in the background.
func (c *cluster) send(e *EntryProcess, key string, options ...string) *call {
	r := &call{prompt: "Plan the corridor of " + key + ".", tokens: 60, done: make(chan struct{})}
	stream, operation, deadline := true, "", ""
	for _, o := range options {
		switch name, value, _ := strings.Cut(o, "="); name {
		case "buffered":
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

// ping sends a service call that may run at most once.
func (c *cluster) ping(e *EntryProcess, key string) *call {
	r := &call{done: make(chan struct{})}
	c.start(r, e, "/services/dispatch-api/arrivals", keyed(key), pingBody(key))
	return r
}

// keyed returns a header with an idempotency key; without one the entry creates a
// key.
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
	// Each request uses its own connection, so that other requests can't affect it.
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
	r.complete = err == nil && response.StatusCode == http.StatusOK
	r.parse(body)
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
			r.complete = true
		} else {
			r.parse([]byte(data))
		}
		r.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = lines.Err()
}

// parse parses one answer or one part of it.
func (r *call) parse(data []byte) {
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

// outputLength returns how many bytes of output have been received.
func (r *call) outputLength() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Len()
}

// waitEnd waits until the response has ended.
func (c *cluster) waitEnd(r *call) {
	c.t.Helper()
	select {
	case <-r.done:
	case <-time.After(waitTimeout):
		c.t.Fatalf("the response did not end: %s", r.prompt)
	}
}

// checkAnswer waits for the end of the answer and checks that no token is missing or
// repeated.
func (c *cluster) checkAnswer(r *call) {
	c.t.Helper()
	c.waitEnd(r)
	if !r.complete {
		c.t.Fatalf("%s: incomplete answer: status %d, problem %+v, body %s, error %v", r.prompt, r.status, r.problem, r.body, r.err)
	}
	if err := answer.Check(testModel, "", r.prompt, r.tokens, r.text.String()); err != nil {
		c.t.Fatalf("%s: %v", r.prompt, err)
	}
}

// waitForOutput waits until a part of the answer has been received.
func (c *cluster) waitForOutput(r *call) {
	c.t.Helper()
	c.waitFor("output of "+r.prompt, func() bool {
		select {
		case <-r.done:
			if r.outputLength() == 0 {
				c.t.Fatalf("%s: ended without output: status %d, problem %+v, error %v", r.prompt, r.status, r.problem, r.err)
			}
		default:
		}
		return r.outputLength() > 0
	})
}

// waitForDecode waits until an engine decodes, and returns its name.
func (c *cluster) waitForDecode() string { return c.waitForWork(oriolebend.Decode) }

// waitForPrefill waits until an engine prefills, and returns its name.
func (c *cluster) waitForPrefill() string { return c.waitForWork(oriolebend.Prefill) }

func (c *cluster) waitForWork(role oriolebend.PoolRole) string {
	c.t.Helper()
	var found string
	c.waitFor("work of role "+string(role), func() bool {
		for name := range c.Engines {
			if strings.HasPrefix(name, string(role)) && c.workCount(name) > 0 {
				found = name
			}
		}
		return found != ""
	})
	return found
}

// slowBy slows every engine down by a factor; 1 is the usual speed.
func (c *cluster) slowBy(factor float64) {
	for _, e := range c.Engines {
		e.SlowBy(factor)
	}
}

// workCount counts the requests for which an engine holds memory.
func (c *cluster) workCount(name string) int {
	work, err := c.Engines[name].Work(c.t.Context())
	if err != nil {
		return 0
	}
	return len(work)
}

// decodeCount counts the requests for which the decode engines hold memory, over all of them.
func (c *cluster) decodeCount() int {
	count := 0
	for name := range c.Engines {
		if strings.HasPrefix(name, string(oriolebend.Decode)) {
			count += c.workCount(name)
		}
	}
	return count
}

// waitUntilIdle waits until no engine holds memory for a request.
func (c *cluster) waitUntilIdle() {
	c.t.Helper()
	c.waitFor("every engine's memory is free", func() bool {
		for name := range c.Engines {
			if c.workCount(name) > 0 {
				return false
			}
		}
		return true
	})
}

// executions counts how often the servers of the service ran a ping, over all of
// them.
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

// withoutOpenPorts returns the configuration for a restart of a process, which opens
// its own ports.
func withoutOpenPorts(p Process) Process {
	p.Socket, p.Operators = nil, nil
	return p
}

// restartSidecar starts a new sidecar for a server. It has no state of the previous
// one.
func (c *cluster) restartSidecar(name string) {
	c.t.Helper()
	s, err := StartSidecar(withoutOpenPorts(c.Sidecars[name].process))
	c.must(err)
	c.Sidecars[name] = s
}

// restartControl starts a control VM's process again with its data folder.
func (c *cluster) restartControl(n int) {
	c.t.Helper()
	// While it was down, another process of this machine may have been given its
	// ports.
	settings := c.Controls[n].process.Settings
	c.waitFor("the operators' port is free", func() bool {
		l, err := net.Listen("tcp", settings.Operator.Listen)
		return err == nil && l.Close() == nil
	})
	c.waitFor("the peers' port is free", func() bool {
		l, err := net.ListenPacket("udp", settings.Peer.Listen)
		return err == nil && l.Close() == nil
	})
	p, err := StartControl(withoutOpenPorts(c.Controls[n].process))
	c.must(err)
	c.Controls[n] = p
}

// leader waits for a leader and returns its index.
func (c *cluster) leader() int {
	c.t.Helper()
	leader := -1
	c.waitFor("a control VM leads", func() bool {
		for n, p := range c.Controls {
			if name, _ := p.replica.Leader(); name == c.settings.Control.Members[n].Name {
				leader = n
			}
		}
		return leader >= 0
	})
	return leader
}

// operators returns a client that uses all control VMs.
func (c *cluster) operators() *client.Client {
	c.t.Helper()
	var urls []string
	for _, p := range c.Controls {
		urls = append(urls, "http://"+p.OperatorAddress())
	}
	return client.New(client.Config{Addresses: urls})
}

// killEntry ends an entry at once, as a crash would.
func (c *cluster) killEntry(e *EntryProcess) {
	c.t.Helper()
	c.Entries = slices.DeleteFunc(c.Entries, func(other *EntryProcess) bool { return other == e })
	c.must(e.Kill())
}
