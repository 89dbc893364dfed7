// Package load sends a described load to any entry that implements the callers'
// protocol, and reports goodput, latencies, refusals and faults. It is an open-loop
// load: requests are sent when they are due, whether or not earlier ones are
// answered, and latencies count from when the request was due.
package load

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Defaults of a description.
const (
	defaultDuration = 30 * time.Second
	defaultRequests = 10_000
	defaultInFlight = 2_000
	defaultWithin   = time.Minute
	defaultTries    = 3
	defaultFirst    = 1200 * time.Millisecond
	defaultBetween  = 41 * time.Millisecond
)

// Description describes a load, as read from its file.
type Description struct {
	// Seed is the seed of arrivals, lengths and prompts; the same seed gives the
	// same load.
	Seed uint64 `toml:"seed"`
	// Entries are the base URLs of the entries, to which requests go in turn.
	Entries []string `toml:"entries"`
	// Duration and Requests limit the load, which ends when either is reached; zero
	// means 30s and 10,000.
	Duration settings.Duration `toml:"duration"`
	Requests int               `toml:"requests"`
	// Rate is the number of requests per second, over all classes.
	Rate     float64  `toml:"rate"`
	Arrivals Arrivals `toml:"arrivals"`
	// InFlight limits the requests in progress. A request that is due at the limit
	// is counted as unsent and not sent. Zero means 2,000.
	InFlight int `toml:"inFlight"`
	// Within is the timeout of a caller, from when its request is due; zero means
	// 1m.
	Within settings.Duration `toml:"within"`
	// Tries limits the attempts of a request. A caller sends it again, with the same
	// key, after a lost connection or an incomplete answer, and after a problem with
	// a retry delay and "ran" no or unknown. Zero means 3.
	Tries int `toml:"tries"`
	// MetricsURLs are scraped before and after the load, for counters such as wasted
	// prefill.
	MetricsURLs []string `toml:"metricsURLs"`
	// FailuresURL receives the failures of the schedule; "oriolebend dev" serves it.
	FailuresURL   string         `toml:"failuresURL"`
	Organisations []Organisation `toml:"organisations"`
	Classes       []Class        `toml:"classes"`
	Failures      []Failure      `toml:"failures"`
}

// Arrivals describes the distribution of requests over time.
type Arrivals struct {
	// Kind is "poisson", "bursts" or "even"; empty means "poisson".
	Kind ArrivalKind `toml:"kind"`
	// A burst begins every BurstEvery and lasts BurstFor. During a burst the rate is
	// BurstFactor times the mean rate, which bursts don't change.
	BurstEvery  settings.Duration `toml:"burstEvery"`
	BurstFor    settings.Duration `toml:"burstFor"`
	BurstFactor float64           `toml:"burstFactor"`
}

// ArrivalKind is a distribution of requests over time.
type ArrivalKind string

const (
	// ArrivePoisson is a Poisson process with a constant rate.
	ArrivePoisson ArrivalKind = "poisson"
	// ArriveBursts is a Poisson process whose rate rises during bursts.
	ArriveBursts ArrivalKind = "bursts"
	// ArriveEven sends a request every 1/rate seconds.
	ArriveEven ArrivalKind = "even"
)

// Organisation sends a share of the requests.
type Organisation struct {
	Name  string  `toml:"name"`
	Token string  `toml:"token"`
	Share float64 `toml:"share"`
}

// Kind is the part of the callers' protocol that a class uses.
type Kind string

const (
	// KindCompletion requests a stream from /v1/completions.
	KindCompletion Kind = "completion"
	// KindChat requests a stream from /v1/chat/completions.
	KindChat Kind = "chat"
	// KindCall calls a service.
	KindCall Kind = "call"
	// KindRoute requests a stream along a declared route of a forwarder.
	KindRoute Kind = "route"
)

// Class describes requests with the same distribution.
type Class struct {
	Name  string  `toml:"name"`
	Kind  Kind    `toml:"kind"`
	Share float64 `toml:"share"`
	// Operation, Urgency and Deadline are sent as headers, unless empty.
	Operation string             `toml:"operation"`
	Urgency   oriolebend.Urgency `toml:"urgency"`
	Deadline  settings.Duration  `toml:"deadline"`
	Model     string             `toml:"model"`
	// PromptTokens is the length of the complete prompt, OutputTokens is max_tokens.
	PromptTokens Spread `toml:"promptTokens"`
	OutputTokens Spread `toml:"outputTokens"`
	// Prefixes is the number of shared prefixes, of PrefixTokens each.
	Prefixes     int `toml:"prefixes"`
	PrefixTokens int `toml:"prefixTokens"`
	// Path is the path of a call on the entry, such as
	// "/services/dispatch-api/arrivals", or of a route; the request is a POST.
	Path string `toml:"path"`
	// Host is the host of a route; empty means that of the entry's URL.
	Host string `toml:"host"`
	// StatusPath, if set, is queried after the load for each call that was reported
	// to its caller as not run; "{identity}" in it is replaced by the identity of
	// the call. A status of 200 or 202 shows that the call did run.
	StatusPath string `toml:"statusPath"`
	// FirstWithin and BetweenWithin are the latency targets of goodput: time to the
	// first token and between tokens; zero means 1.2s and 41ms. Only FirstWithin
	// applies to a call.
	FirstWithin   settings.Duration `toml:"firstWithin"`
	BetweenWithin settings.Duration `toml:"betweenWithin"`
	// CancelShare is the share of requests that are cancelled, at a random time up
	// to CancelAfter after they are due.
	CancelShare float64           `toml:"cancelShare"`
	CancelAfter settings.Duration `toml:"cancelAfter"`
	// DuplicateShare is the share of requests that are sent a second time with the
	// same key, to the next entry, DuplicateAfter later than the first time.
	DuplicateShare float64           `toml:"againShare"`
	DuplicateAfter settings.Duration `toml:"againAfter"`
	// Unchecked turns off the verification of answers; set it if the engines are not
	// the project's stand-ins.
	Unchecked bool `toml:"unchecked"`
}

// Spread is a distribution: half of the values lie between Min and Median, half
// between Median and Max, each half uniformly distributed on a logarithmic scale.
type Spread struct {
	Min    int `toml:"min"`
	Median int `toml:"median"`
	Max    int `toml:"max"`
}

// Failure is a failure that is injected during the load.
type Failure struct {
	At settings.Duration `toml:"at" json:"at"`
	// Do is the kind of failure and Target the affected process or server, as
	// "oriolebend dev" defines them.
	Do     string            `toml:"do" json:"do"`
	Target string            `toml:"target" json:"target"`
	For    settings.Duration `toml:"for" json:"for,omitempty"`
}

// DescriptionError lists every fault of a description.
type DescriptionError struct {
	File   string
	Faults []string
}

// Error implements error.
func (e *DescriptionError) Error() string {
	return e.File + ": " + strings.Join(e.Faults, "\n"+e.File+": ")
}

// Read reads and checks a description. Errors are *DescriptionError.
func Read(path string) (Description, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Description{}, &DescriptionError{File: path, Faults: []string{err.Error()}}
	}
	return Parse(path, data)
}

// Parse reads and checks the text of a description. Errors are
// *DescriptionError.
func Parse(name string, data []byte) (Description, error) {
	var d Description
	err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&d)
	if err != nil {
		return d, &DescriptionError{File: name, Faults: decodeFaults(err)}
	}
	d.fillDefaults()
	if faults := d.check(); len(faults) > 0 {
		return d, &DescriptionError{File: name, Faults: faults}
	}
	return d, nil
}

// decodeFaults returns the faults of a decoding error, with their lines.
func decodeFaults(err error) []string {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		var faults []string
		for i := range unknown.Errors {
			line, _ := unknown.Errors[i].Position()
			faults = append(faults, fmt.Sprintf("line %d: unknown key %s", line, strings.Join(unknown.Errors[i].Key(), ".")))
		}
		return faults
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		line, _ := wrong.Position()
		return []string{fmt.Sprintf("line %d: %v", line, err)}
	}
	return []string{err.Error()}
}

func (d *Description) fillDefaults() {
	d.Duration = settings.Duration(d.Duration.Or(defaultDuration))
	d.Within = settings.Duration(d.Within.Or(defaultWithin))
	d.Requests = orDefault(d.Requests, defaultRequests)
	d.InFlight = orDefault(d.InFlight, defaultInFlight)
	d.Tries = orDefault(d.Tries, defaultTries)
	if d.Arrivals.Kind == "" {
		d.Arrivals.Kind = ArrivePoisson
	}
	if len(d.Organisations) == 0 {
		d.Organisations = []Organisation{{Name: "dev", Share: 1}}
	}
	for i := range d.Classes {
		c := &d.Classes[i]
		c.FirstWithin = settings.Duration(c.FirstWithin.Or(defaultFirst))
		c.BetweenWithin = settings.Duration(c.BetweenWithin.Or(defaultBetween))
	}
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}
