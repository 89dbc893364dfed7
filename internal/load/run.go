package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/pause"
)

// Config sets up a run.
type Config struct {
	Description Description
	// Run is part of every key; empty means one made of the time. Two runs with
	// the same Run and Description send the same keys.
	Run string
	// SettleFor is how long late dispatches get to arrive before calls that
	// were told as not run are looked for; zero means 2s.
	SettleFor time.Duration
	// Progress is called about once a second; nil is not called.
	Progress func(Progress)
}

// Progress is how far a run is.
type Progress struct {
	Elapsed    time.Duration
	Planned    int
	Sent       int
	InProgress int
	Ended      map[Outcome]int
}

const (
	progressEvery = time.Second
	dialTimeout   = 3 * time.Second
)

var dialer = net.Dialer{Timeout: dialTimeout}

// Run sends a load and returns its report. Ending ctx ends the load early; what
// is in progress is then cancelled.
func Run(ctx context.Context, c Config) (Report, error) {
	if c.Run == "" {
		c.Run = "load-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	if c.SettleFor == 0 {
		c.SettleFor = defaultSettle
	}
	before, err := scrape(ctx, c.Description.MetricsURLs)
	if err != nil {
		return Report{}, err
	}
	r := newRunner(c)
	r.run(ctx)
	r.verifyNotRun(ctx)
	after, err := scrape(ctx, c.Description.MetricsURLs)
	if err != nil {
		return Report{}, err
	}
	return r.report(before, after), nil
}

type runner struct {
	config Config
	sender *sender
	plan   []Request
	places chan struct{}
	wait   sync.WaitGroup

	mu         sync.Mutex
	results    []Result
	sent       int
	inProgress int
	ended      map[Outcome]int
	took       time.Duration
	failed     []string
}

func newRunner(c Config) *runner {
	d := c.Description
	transport := &http.Transport{
		MaxIdleConnsPerHost: d.InFlight,
		IdleConnTimeout:     time.Minute,
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
	}
	return &runner{
		config: c,
		sender: &sender{description: d, client: &http.Client{Transport: transport}, run: c.Run},
		plan:   Plan(d),
		places: make(chan struct{}, d.InFlight),
		ended:  map[Outcome]int{},
	}
}

func (r *runner) run(ctx context.Context) {
	r.sender.start = time.Now()
	defer r.sender.client.CloseIdleConnections()
	watching, stop := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	watchers.Go(func() { r.tellProgress(watching) })
	watchers.Go(func() { r.bringFailures(watching) })
	for _, request := range r.plan {
		if !pause.For(ctx, time.Until(r.sender.start.Add(request.At))) {
			break
		}
		r.begin(ctx, request)
	}
	r.wait.Wait()
	stop()
	watchers.Wait()
	r.took = time.Since(r.sender.start)
}

// begin sends a request, or counts it as unsent: to wait for a place would turn
// an overload into a lower load and hide it.
func (r *runner) begin(ctx context.Context, request Request) {
	select {
	case r.places <- struct{}{}:
	default:
		r.end(Result{Request: request, Outcome: OutcomeUnsent})
		return
	}
	r.mu.Lock()
	r.sent++
	r.inProgress++
	r.mu.Unlock()
	r.wait.Go(func() {
		result := r.sender.deliver(ctx, request)
		<-r.places
		r.mu.Lock()
		r.inProgress--
		r.mu.Unlock()
		r.end(result)
	})
}

func (r *runner) end(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
	r.ended[result.Outcome]++
}

func (r *runner) tellProgress(ctx context.Context) {
	if r.config.Progress == nil {
		return
	}
	for pause.For(ctx, progressEvery) {
		r.config.Progress(r.progress())
	}
}

func (r *runner) progress() Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended := map[Outcome]int{}
	for outcome, count := range r.ended {
		ended[outcome] = count
	}
	return Progress{
		Elapsed:    time.Since(r.sender.start),
		Planned:    len(r.plan),
		Sent:       r.sent,
		InProgress: r.inProgress,
		Ended:      ended,
	}
}

// bringFailures asks for each failure of the schedule when it is due.
func (r *runner) bringFailures(ctx context.Context) {
	for _, failure := range r.config.Description.Failures {
		if !pause.For(ctx, time.Until(r.sender.start.Add(time.Duration(failure.At)))) {
			return
		}
		err := postFailure(ctx, r.sender.client, r.config.Description.FailuresURL, failure)
		if err == nil {
			continue
		}
		r.mu.Lock()
		r.failed = append(r.failed, fmt.Sprintf("%s %s: %v", failure.Do, failure.Target, err))
		r.mu.Unlock()
	}
}

// FailureError tells that a failure of the schedule was not brought about.
type FailureError struct{ Status string }

// Error implements error.
func (e *FailureError) Error() string { return "answered " + e.Status }

func postFailure(ctx context.Context, client *http.Client, url string, f Failure) error {
	body, err := json.Marshal(f)
	if err != nil {
		return fmt.Errorf("encode a failure: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("ask for a failure: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("ask for a failure: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return &FailureError{Status: response.Status}
	}
	return nil
}
