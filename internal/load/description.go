// Package load sends a described load to any entry that speaks the callers'
// protocol, and reports goodput, latencies, refusals and faults. The load is
// open: requests are sent when they are due, whether or not earlier ones are
// answered, and latencies count from when they were due.
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

// Description is a load as its file describes it.
type Description struct {
	// Seed makes arrivals, lengths and prompts; the same seed gives the same
	// load.
	Seed uint64 `toml:"seed"`
	// Entries are the base URLs to send to, in turn.
	Entries []string `toml:"entries"`
	// Duration and Requests bound the load, whichever comes first; zero means
	// 30s and 10,000.
	Duration settings.Duration `toml:"duration"`
	Requests int               `toml:"requests"`
	// Rate is how many requests of all classes arrive a second.
	Rate     float64  `toml:"rate"`
	Arrivals Arrivals `toml:"arrivals"`
	// InFlight bounds the requests in progress; what is due beyond it is
	// counted and not sent. Zero means 2,000.
	InFlight int `toml:"inFlight"`
	// Within is when a caller gives up; zero means 1m.
	Within settings.Duration `toml:"within"`
	// Tries bounds how often a request is sent, with the same key, after a lost
	// connection, "ran" unknown, or "ran" no with a time to come back; zero
	// means 3.
	Tries int `toml:"tries"`
	// MetricsURLs are scraped before and after, for wasted prefill.
	MetricsURLs []string `toml:"metricsURLs"`
	// FailuresURL takes the failures of the schedule; dev serves it.
	FailuresURL   string         `toml:"failuresURL"`
	Organisations []Organisation `toml:"organisations"`
	Classes       []Class        `toml:"classes"`
	Failures      []Failure      `toml:"failures"`
}

// Arrivals says how requests are spread over time.
type Arrivals struct {
	// Kind is "poisson", "bursts" or "even"; empty means "poisson".
	Kind ArrivalKind `toml:"kind"`
	// Every BurstEvery, the rate is BurstFactor times as high for BurstFor. The
	// mean rate stays what it is.
	BurstEvery  settings.Duration `toml:"burstEvery"`
	BurstFor    settings.Duration `toml:"burstFor"`
	BurstFactor float64           `toml:"burstFactor"`
}

// ArrivalKind names a way in which requests are spread over time.
type ArrivalKind string

const (
	// ArrivePoisson spreads them at random.
	ArrivePoisson ArrivalKind = "poisson"
	// ArriveBursts spreads them at random, with a rate that rises and falls.
	ArriveBursts ArrivalKind = "bursts"
	// ArriveEven sends one every 1/rate seconds.
	ArriveEven ArrivalKind = "even"
)

// Organisation sends a share of the requests.
type Organisation struct {
	Name  string  `toml:"name"`
	Token string  `toml:"token"`
	Share float64 `toml:"share"`
}

// Kind says which part of the callers' protocol a class speaks.
type Kind string

const (
	// KindCompletion streams from /v1/completions.
	KindCompletion Kind = "completion"
	// KindChat streams from /v1/chat/completions.
	KindChat Kind = "chat"
	// KindCall calls a plain service.
	KindCall Kind = "call"
)

// Class describes requests that are alike.
type Class struct {
	Name  string  `toml:"name"`
	Kind  Kind    `toml:"kind"`
	Share float64 `toml:"share"`
	// Operation, Urgency and Deadline are sent as headers, unless empty.
	Operation string             `toml:"operation"`
	Urgency   oriolebend.Urgency `toml:"urgency"`
	Deadline  settings.Duration  `toml:"deadline"`
	Model     string             `toml:"model"`
	// PromptTokens counts the whole prompt, OutputTokens is max_tokens.
	PromptTokens Spread `toml:"promptTokens"`
	OutputTokens Spread `toml:"outputTokens"`
	// Prefixes is how many shared prefixes there are, of PrefixTokens each.
	Prefixes     int `toml:"prefixes"`
	PrefixTokens int `toml:"prefixTokens"`
	// Path is that of a call behind the entry's URL, such as
	// "/services/dispatch-api/arrivals"; it is sent by POST.
	Path string `toml:"path"`
	// StatusPath, if set, is asked after the load for each call of which the
	// caller was told that it did not run; "{identity}" in it is replaced. An
	// answer of 200 or 202 shows that it did.
	StatusPath string `toml:"statusPath"`
	// FirstWithin and BetweenWithin are the targets that goodput is counted
	// under; zero means 1.2s and 41ms. A call has the first only.
	FirstWithin   settings.Duration `toml:"firstWithin"`
	BetweenWithin settings.Duration `toml:"betweenWithin"`
	// CancelShare of the requests are cancelled, at any time up to CancelAfter.
	CancelShare float64           `toml:"cancelShare"`
	CancelAfter settings.Duration `toml:"cancelAfter"`
	// AgainShare of the requests are sent a second time with the same key to
	// the next entry, AgainAfter the first.
	AgainShare float64           `toml:"againShare"`
	AgainAfter settings.Duration `toml:"againAfter"`
	// Unchecked leaves the answers unchecked; set it if the engines are not
	// the project's stand-ins.
	Unchecked bool `toml:"unchecked"`
}

// Spread draws numbers: half of them between Min and Median, half between
// Median and Max, evenly by order of magnitude.
type Spread struct {
	Min    int `toml:"min"`
	Median int `toml:"median"`
	Max    int `toml:"max"`
}

// Failure is something that is made to fail during the load.
type Failure struct {
	At settings.Duration `toml:"at" json:"at"`
	// Do names the failure and Target what it strikes; dev knows them.
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
	d.Requests = orNumber(d.Requests, defaultRequests)
	d.InFlight = orNumber(d.InFlight, defaultInFlight)
	d.Tries = orNumber(d.Tries, defaultTries)
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

func orNumber(number, otherwise int) int {
	if number == 0 {
		return otherwise
	}
	return number
}
