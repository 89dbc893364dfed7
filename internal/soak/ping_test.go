package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	pingInterval = 20 * time.Millisecond
	// never is the duration of a ping that was not answered.
	never = time.Hour
	// pingOrderVariable names the environment variable with the pingOrder of a process that pings.
	pingOrderVariable = "SOAK_PING_ORDER"
)

// pingOrder tells a process whom to ping.
type pingOrder struct {
	// Address is the forwarder's, Direct that of the server that answers.
	Address, Direct string
	Length          time.Duration
	// Result is the path of the file for the pingResult.
	Result string
}

// pingResult counts the pings that were sent and those that were in time.
type pingResult struct {
	Sent, InTime int
	Late         []latePing
}

// latePing is a ping that was late: how long it took, and how long the direct one of the same moment.
type latePing struct{ Took, Direct time.Duration }

// String implements fmt.Stringer.
func (r pingResult) String() string {
	text := fmt.Sprintf("%d of %d pings in time", r.InTime, r.Sent)
	for _, late := range r.Late {
		text += fmt.Sprintf("; late: %s, and %s without the product", late.Took, late.Direct)
	}
	return text
}

// pingsOfAnotherProcess has a process of its own ping the forwarder for some time. In the process of the test,
// hundreds of peers delay the reading of answers that the forwarder has long sent.
func (s *memorySite) pingsOfAnotherProcess(t *testing.T, length time.Duration) pingResult {
	t.Helper()
	is := is.New(t)
	order := pingOrder{Address: s.address, Direct: s.direct, Length: length, Result: filepath.Join(t.TempDir(), "pings")}
	encoded, err := json.Marshal(order)
	is.NoErr(err)
	command := exec.Command(os.Args[0], "-test.run=^TestPingProcess$")
	command.Env = append(os.Environ(), pingOrderVariable+"="+string(encoded))
	output, err := command.CombinedOutput()
	if err != nil {
		t.Fatalf("pings: %v\n%s", err, output)
	}
	data, err := os.ReadFile(order.Result)
	is.NoErr(err)
	var result pingResult
	is.NoErr(json.Unmarshal(data, &result))
	return result
}

// TestPingProcess is not a test: it carries out the order with which pingsOfAnotherProcess starts it.
func TestPingProcess(t *testing.T) {
	encoded := os.Getenv(pingOrderVariable)
	if encoded == "" {
		return
	}
	is := is.New(t)
	var order pingOrder
	is.NoErr(json.Unmarshal([]byte(encoded), &order))
	data, err := json.Marshal(order.run())
	is.NoErr(err)
	is.NoErr(os.WriteFile(order.Result, data, 0o600))
}

func (o pingOrder) run() pingResult {
	var result pingResult
	for end := time.Now().Add(o.Length); time.Now().Before(end); time.Sleep(pingInterval) {
		result.Sent++
		if late, ok := o.ping(); !ok {
			result.Late = append(result.Late, late)
			continue
		}
		result.InTime++
	}
	return result
}

// ping reports whether a ping is in time. The duration of a concurrent ping without the product is
// subtracted, since the machine may be busy.
func (o pingOrder) ping() (latePing, bool) {
	direct := make(chan time.Duration, 1)
	go func() { direct <- ping(o.Direct) }()
	p := latePing{Took: ping(o.Address), Direct: <-direct}
	return p, p.Took <= pingWithin || p.Direct < never && p.Took-p.Direct <= pingWithin
}

var pinger = &http.Client{Timeout: 2 * time.Second}

// ping returns the duration of a ping to an address.
func ping(address string) time.Duration {
	began := time.Now()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/quick/x", strings.NewReader("ping"))
	if err != nil {
		return never
	}
	request.Host = "soak.example"
	response, err := pinger.Do(request)
	if err != nil {
		return never
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		return never
	}
	return time.Since(began)
}
