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

	"github.com/oriolebend/oriolebend/internal/httpclient"
	"github.com/oriolebend/oriolebend/internal/pause"
)

// Config configures a run.
type Config struct {
	Description Description
	// Run is the prefix of every idempotency key; empty means one made from the
	// present time. Two runs with the same Run and Description send the same keys.
	Run string
	// NotRunDelay is the time after the load that late dispatches get to arrive,
	// before the services are queried for calls that were reported as not run; zero
	// means 2s.
	NotRunDelay time.Duration
	// Progress is called about once a second, unless it is nil.
	Progress func(Progress)
}

// Progress is the state of a run in progress.
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

// Run sends a load and returns its report. If ctx is cancelled, the load ends early
// and the requests in progress are cancelled.
func Run(ctx context.Context, c Config) (Report, error) {
	if c.Run == "" {
		c.Run = "load-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	if c.NotRunDelay == 0 {
		c.NotRunDelay = defaultNotRunDelay
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

// runner runs one load and collects its results.
type runner struct {
	config Config
	sender *sender
	plan   []Request
	slots  chan struct{}
	wait   sync.WaitGroup

	mu          sync.Mutex
	results     []Result
	sent        int
	inProgress  int
	ended       map[Outcome]int
	took        time.Duration
	notInjected []string
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
		sender: &sender{description: d, client: &http.Client{Transport: &httpclient.Transport{Base: transport}}, run: c.Run},
		plan:   Plan(d),
		slots:  make(chan struct{}, d.InFlight),
		ended:  map[Outcome]int{},
	}
}

func (r *runner) run(ctx context.Context) {
	r.sender.start = time.Now()
	defer r.sender.client.CloseIdleConnections()
	watching, stop := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	watchers.Go(func() { r.reportProgress(watching) })
	watchers.Go(func() { r.injectFailures(watching) })
	for _, request := range r.plan {
		if !pause.For(ctx, time.Until(r.sender.start.Add(request.At))) {
			break
		}
		r.startRequest(ctx, request)
	}
	r.wait.Wait()
	stop()
	watchers.Wait()
	r.took = time.Since(r.sender.start)
}

// startRequest sends a request in the background. If InFlight requests are in progress, it
// counts the request as unsent instead of waiting: waiting would turn an overload
// into a lower load and hide it.
func (r *runner) startRequest(ctx context.Context, request Request) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.addResult(Result{Request: request, Outcome: OutcomeUnsent})
		return
	}
	r.mu.Lock()
	r.sent++
	r.inProgress++
	r.mu.Unlock()
	r.wait.Go(func() {
		result := r.sender.deliver(ctx, request)
		<-r.slots
		r.mu.Lock()
		r.inProgress--
		r.mu.Unlock()
		r.addResult(result)
	})
}

func (r *runner) addResult(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
	r.ended[result.Outcome]++
}

func (r *runner) reportProgress(ctx context.Context) {
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

// injectFailures requests each failure of the schedule when it is due, and records
// the requests that fail.
func (r *runner) injectFailures(ctx context.Context) {
	for _, failure := range r.config.Description.Failures {
		if !pause.For(ctx, time.Until(r.sender.start.Add(time.Duration(failure.At)))) {
			return
		}
		err := postFailure(ctx, r.sender.client, r.config.Description.FailuresURL, failure)
		if err == nil {
			continue
		}
		r.mu.Lock()
		r.notInjected = append(r.notInjected, fmt.Sprintf("%s %s: %v", failure.Do, failure.Target, err))
		r.mu.Unlock()
	}
}

// FailureError reports that the server at FailuresURL did not carry out a failure of
// the schedule.
type FailureError struct{ Status string }

// Error implements error.
func (e *FailureError) Error() string { return "answered " + e.Status }

// postFailure requests one failure from the server at url.
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
