package soak

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// result is what a caller received for one request.
type result struct {
	id     string
	once   bool
	began  time.Time
	ended  time.Time
	status int // 0 without a complete response
	body   string
	// want is the body of the complete response.
	want string
}

// load is a group of callers that send requests until they are stopped.
type load struct {
	group   sync.WaitGroup
	mutex   sync.Mutex
	results []result
	streams resumedStreams
}

func startLoad(ctx context.Context, s *system, f *fleet, count int, seed uint64) *load {
	l := &load{}
	l.streams = resumedStreams{load: l, ends: map[string]int{}}
	for n := range count {
		l.group.Go(func() { l.call(ctx, s, n, rand.New(rand.NewPCG(seed, uint64(100+n)))) })
	}
	l.group.Go(func() { f.crashes.sendCrashing(ctx, s, rand.New(rand.NewPCG(seed, 3))) })
	l.group.Go(func() { f.partCrashes.sendCrashing(ctx, s, rand.New(rand.NewPCG(seed, 4))) })
	for n := range hotCallers {
		l.group.Go(func() { l.sendOrganisations(ctx, s, rand.New(rand.NewPCG(seed, uint64(200+n)))) })
	}
	for n := range ranks * rankCallers {
		l.group.Go(func() { l.sendGenerations(ctx, s, n, rand.New(rand.NewPCG(seed, uint64(300+n)))) })
	}
	return l
}

func (l *load) wait() { l.group.Wait() }

// note records the result of a request that began at a time.
func (l *load) note(r result, began time.Time) {
	r.began, r.ended = began, time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.results = append(l.results, r)
}

// call sends requests to randomly chosen forwarders over persistent connections.
func (l *load) call(ctx context.Context, s *system, caller int, random *rand.Rand) {
	http := &http.Client{Timeout: 5 * time.Second}
	header := map[string]string{headerParts: sharedPart}
	for n := 0; ctx.Err() == nil; n++ {
		path := "once"
		if random.IntN(2) == 0 {
			path = "safe"
		}
		t := result{id: fmt.Sprintf("c%d-%d", caller, n), once: path == "once"}
		t.want = "ran " + t.id + " on " + path
		began := time.Now()
		t.status, t.body = sendWithBody(http, s.callers[random.IntN(len(s.callers))], path, t.id, keyOf(regular), "", header)
		l.note(t, began)
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

func send(c *http.Client, address, path, id string) (int, string) {
	return sendWithKey(c, address, path, id, keyOf(regular))
}

func sendWithKey(c *http.Client, address, path, id, key string) (int, string) {
	return sendWithBody(c, address, path, id, key, "", nil)
}

func sendWithBody(c *http.Client, address, path, id, key, content string, header map[string]string) (int, string) {
	status, body, complete := sendOnce(c, address, path, id, key, content, header, wholeBody)
	if !complete {
		return 0, ""
	}
	return status, body
}

// wholeBody is the limit of a caller that reads the whole body.
const wholeBody = math.MaxInt64

// sendOnce sends a request and returns the status and what arrived of the body, of which the caller
// reads no more than a limit. complete is false if there is no response, or a part of it is missing.
func sendOnce(c *http.Client, address, path, id, key, content string, header map[string]string, limit int64) (status int, body string, complete bool) {
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/%s/x", address, path), strings.NewReader(content))
	if err != nil {
		return 0, "", false
	}
	request.Host = "soak.example"
	request.Header.Set("Oriolebend-Request", id)
	request.Header.Set("Oriolebend-Deadline", "2000")
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Oriolebend-Organisation", "forged")
	request.Header.Set(senderHeader, address)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := c.Do(request)
	if err != nil {
		return 0, "", false
	}
	defer response.Body.Close()
	read, err := io.ReadAll(io.LimitReader(response.Body, limit))
	return response.StatusCode, string(read), err == nil && int64(len(read)) < limit
}

// check compares the results of callers with the requests that servers ran.
func (l *load) check(t *testing.T, f *fleet) {
	t.Helper()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	good, unserved := 0, 0
	for _, c := range l.results {
		if c.status == http.StatusTooManyRequests || c.status == http.StatusUnauthorized {
			unserved++
		}
		ran := f.ran[c.id]
		switch {
		case c.once && ran > 1:
			t.Errorf("%s may run once and ran %d times", c.id, ran)
		case c.status == http.StatusOK && c.body != c.want:
			t.Errorf("%s was answered %q", c.id, c.body)
		case c.status == http.StatusOK && ran == 0:
			t.Errorf("%s was answered but never ran", c.id)
		case (c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests) && ran > 0:
			t.Errorf("%s was refused as not run and ran %d times: %s", c.id, ran, c.body)
		case c.status == http.StatusNotFound:
			t.Errorf("%s was refused: no route", c.id)
		case c.status == http.StatusUnauthorized && ownerOf(c.id) != stranger:
			t.Errorf("%s was refused: unknown key", c.id)
		case ownerOf(c.id) == stranger && ran > 0:
			t.Errorf("%s ran with a key that no organisation holds", c.id)
		}
		if c.status == http.StatusOK {
			good++
		}
	}
	t.Logf("%d of %d requests answered", good, len(l.results))
	if admissible := len(l.results) - unserved; good < admissible/10 {
		t.Errorf("only %d of %d requests were answered", good, admissible)
	}
}

// operator declares new versions of the routing one after the other.
type operator struct {
	t      *testing.T
	system *system
	group  sync.WaitGroup

	mutex sync.Mutex
	// sent is the last version that was sent, accepted the last one that was acknowledged.
	sent, accepted uint64
}

// routing returns a version with the routes of the load and a route that only this version
// has.
func routing(version uint64) oriolebend.Routing {
	route := func(name string, repeat oriolebend.RepeatRule, attempts int) oriolebend.Route {
		return oriolebend.Route{
			Name: name, Host: "soak.example", PathPrefix: "/" + name + "/", Repeat: repeat, Attempts: attempts,
			Timeout: oriolebend.Duration(2 * time.Second), AnswerWithin: oriolebend.Duration(200 * time.Millisecond),
			Targets: []oriolebend.RouteTarget{{Service: "s", Weight: 1}},
		}
	}
	return oriolebend.Routing{
		Version: version, Organisations: organisations(version),
		Services: []oriolebend.RouteService{{Name: "s"}, engineService()},
		Routes: append(
			rankRoutes(),
			route("once", oriolebend.RepeatNever, 1), route("safe", oriolebend.RepeatIdempotent, 2),
			route(crashing, oriolebend.RepeatIdempotent, 2),
			route(fmt.Sprintf("only-%d", version), oriolebend.RepeatIdempotent, 2),
		),
	}
}

// declare declares the next version of the routing and reads it back.
func (o *operator) declare(ctx context.Context) {
	o.mutex.Lock()
	o.sent++
	version := o.sent
	o.mutex.Unlock()
	api := o.system.operator()
	ctx, cancel := context.WithTimeout(ctx, settle)
	defer cancel()
	if _, err := api.DeclareRouting(ctx, routing(version)); err != nil {
		return // the outcome is unknown
	}
	o.mutex.Lock()
	o.accepted = max(o.accepted, version)
	accepted := o.accepted
	o.mutex.Unlock()
	read, err := api.Routing(ctx)
	if err == nil && read.Version < accepted {
		o.t.Errorf("version %d was read after %d was accepted", read.Version, accepted)
	}
}

func (o *operator) run(ctx context.Context, random *rand.Rand) {
	o.group.Add(1)
	defer o.group.Done()
	for ctx.Err() == nil {
		o.declare(ctx)
		time.Sleep(time.Duration(100+random.IntN(400)) * time.Millisecond)
	}
}

func (o *operator) wait() { o.group.Wait() }

// keysInForce reports whether a forwarder accepts the key of the last version and refuses
// the key of the previous one.
func (o *operator) keysInForce(c *http.Client, address string) bool {
	status, _ := sendWithKey(c, address, "safe", "check", versionKey(o.accepted))
	before, _ := sendWithKey(c, address, "safe", "check", versionKey(o.accepted-1))
	return status == http.StatusOK && before == http.StatusUnauthorized
}

// checkInForce waits until every forwarder applies the last routing: the route of that
// version exists, and the route of the previous version does not.
func (o *operator) checkInForce(within time.Duration) {
	o.t.Helper()
	deadline := time.Now().Add(within)
	http := &http.Client{Timeout: 3 * time.Second}
	for _, address := range o.system.callers {
		for {
			status, _ := send(http, address, fmt.Sprintf("only-%d", o.accepted), "check")
			before, _ := send(http, address, fmt.Sprintf("only-%d", o.accepted-1), "check")
			if status != 404 && status != 0 && before == 404 && o.keysInForce(http, address) {
				break
			}
			if time.Now().After(deadline) {
				o.t.Errorf("%s does not apply version %d: status %d, and %d for the previous version", address, o.accepted, status, before)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
