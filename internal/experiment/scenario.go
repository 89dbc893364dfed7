// Package experiment compares routing policies under one load. It runs the reducers
// of entries and gates in virtual time. Messages take fixed delays, and engines are
// models of service times, KV memory, prefix caches and links.
//
// The package does not simulate a cluster: there are no processes, sockets, disks,
// consensus or membership, and the control VMs answer after a fixed delay.
package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/oriolebend/oriolebend/internal/policy"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Scenario describes a fleet, its load and the variants to compare.
type Scenario struct {
	Name string `toml:"name"`
	// Duration is the time during which requests arrive. Requests that arrive
	// before WarmUp are not counted. Zero means 60s for Duration and a sixth of
	// Duration for WarmUp.
	Duration settings.Duration `toml:"duration"`
	WarmUp   settings.Duration `toml:"warmUp"`
	// Seeds are the seeds of the random loads; empty means 1, 2 and 3.
	Seeds []uint64 `toml:"seeds"`
	// Variants are compared; empty means every policy with its defaults, and round
	// robin with AdmitAll.
	Variants []Variant `toml:"variants"`
	// Entries is the number of entries; zero means 2.
	Entries int `toml:"entries"`
	// LinkDelay is the time of a message between failure domains, NearDelay the
	// time within one; zero means 1.5ms and 200us.
	LinkDelay settings.Duration `toml:"linkDelay"`
	NearDelay settings.Duration `toml:"nearDelay"`
	// RecordDelay is the time that the control VMs take for a claim or a
	// settlement; zero means 4ms.
	RecordDelay settings.Duration `toml:"recordDelay"`
	Engine      EngineTimes       `toml:"engine"`
	Pools       []Pool            `toml:"pools"`
	Classes     []Class           `toml:"classes"`
	Crashes     EngineCrashes     `toml:"deaths"`
	Vary        Vary              `toml:"vary"`
}

// Variant is a policy with its options.
type Variant struct {
	Name            string      `toml:"name"`
	Route           policy.Name `toml:"route"`
	Probes          int         `toml:"probes"`
	DecodeProbes    int         `toml:"decodeProbes"`
	ProbeInParallel bool        `toml:"askAtOnce"`
	// AdmitAll turns off admission by predicted latency.
	AdmitAll bool `toml:"admitAll"`
}

// EngineTimes are the service times of all engines. A zero means the value of the
// stand-in engines.
type EngineTimes struct {
	// PrefillTokens is the number of prompt tokens that a prefill computes per
	// second.
	PrefillTokens float64 `toml:"prefillTokens"`
	// DecodeStep is the time between tokens of a request that is alone in its
	// batch; each further request of the batch adds a hundredth.
	DecodeStep settings.Duration `toml:"decodeStep"`
	// LinkBytes is the rate of each server's link, in bytes a second.
	LinkBytes float64 `toml:"linkBytes"`
	// KVTokenBytes is the size of one token's KV cache.
	KVTokenBytes int64 `toml:"kvTokenBytes"`
	// ExportLife is how long a prefill result can be fetched.
	ExportLife settings.Duration `toml:"exportLife"`
	// LoadPeriod is the period and the age of load reports, EventDelay the age of
	// cache events.
	LoadPeriod settings.Duration `toml:"loadPeriod"`
	EventDelay settings.Duration `toml:"eventDelay"`
	// EventLoss is the share of cache events that are never published.
	EventLoss float64 `toml:"eventLoss"`
}

// Pool describes identical servers.
type Pool struct {
	NamePrefix     string              `toml:"namePrefix"`
	Count          int                 `toml:"count"`
	Role           oriolebend.PoolRole `toml:"role"`
	FailureDomains []string            `toml:"failureDomains"`
	// KVTokens is the size of the KV memory; zero means 160,000.
	KVTokens int `toml:"kvTokens"`
}

// Class describes requests with the same distribution.
type Class struct {
	Name    string             `toml:"name"`
	Urgency oriolebend.Urgency `toml:"urgency"`
	// Rate is the number of requests per second that arrive from From until Until. A
	// zero From means the beginning of the run, a zero Until its end. Two classes with adjacent
	// times describe a load that shifts from one kind of work to another.
	Rate         float64           `toml:"rate"`
	From         settings.Duration `toml:"from"`
	Until        settings.Duration `toml:"until"`
	PromptTokens Range             `toml:"promptTokens"`
	OutputTokens Range             `toml:"outputTokens"`
	// Prefixes is the number of shared prefixes, of PrefixTokens each. Every prompt
	// begins with one of them.
	Prefixes     int `toml:"prefixes"`
	PrefixTokens int `toml:"prefixTokens"`
	// Organisations is the number of organisations that send requests; zero means 3.
	Organisations int `toml:"organisations"`
	// FirstWithin and BetweenWithin are the targets for the time to the first token
	// and between tokens; zero means 1.2s and 41ms.
	FirstWithin   settings.Duration `toml:"firstWithin"`
	BetweenWithin settings.Duration `toml:"betweenWithin"`
}

// Range is a distribution: half of the values lie between Min and Median, half
// between Median and Max, each half uniformly distributed.
type Range struct {
	Min    int `toml:"min"`
	Median int `toml:"median"`
	Max    int `toml:"max"`
}

// EngineCrashes describes crashes of the decode engines, one engine after the other.
type EngineCrashes struct {
	// Every is the time between two crashes; zero means none.
	Every settings.Duration `toml:"every"`
	// RestartDelay is the time from a crash to the restart of the engine; zero means 2s.
	RestartDelay settings.Duration `toml:"away"`
}

// Vary repeats every run with several multiples of the rate of one class.
type Vary struct {
	Class   string    `toml:"class"`
	Factors []float64 `toml:"factors"`
}

// ScenarioError reports a scenario file that can't be read or is invalid.
type ScenarioError struct {
	File   string
	Detail string
	Cause  error
}

// Error implements error.
func (e *ScenarioError) Error() string { return "scenario " + e.File + ": " + e.Detail }

// Unwrap returns the cause, if any.
func (e *ScenarioError) Unwrap() error { return e.Cause }

// Read reads and checks a scenario file. Errors are *ScenarioError.
func Read(file string) (Scenario, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Scenario{}, &ScenarioError{File: file, Detail: err.Error(), Cause: err}
	}
	return Parse(file, data)
}

// Parse parses and checks the text of a scenario. Errors are *ScenarioError, with
// file as the name.
func Parse(file string, data []byte) (Scenario, error) {
	var s Scenario
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, &ScenarioError{File: file, Detail: decodeErrorText(err), Cause: err}
	}
	s = s.withDefaults()
	if fault := s.fault(); fault != "" {
		return s, &ScenarioError{File: file, Detail: fault}
	}
	return s, nil
}

// decodeErrorText returns the text of a decoding error, with the position of unknown keys.
func decodeErrorText(err error) string {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return strings.TrimSpace(strict.String())
	}
	return err.Error()
}

// withDefaults returns the scenario with defaults in place of zeros.
func (s Scenario) withDefaults() Scenario {
	setDefault(&s.Duration, settings.Duration(time.Minute))
	setDefault(&s.WarmUp, s.Duration/6)
	setDefault(&s.Entries, 2)
	setDefault(&s.LinkDelay, settings.Duration(1500*time.Microsecond))
	setDefault(&s.NearDelay, settings.Duration(200*time.Microsecond))
	setDefault(&s.RecordDelay, settings.Duration(4*time.Millisecond))
	setDefault(&s.Crashes.RestartDelay, settings.Duration(2*time.Second))
	s.Engine = s.Engine.withDefaults()
	if len(s.Seeds) == 0 {
		s.Seeds = []uint64{1, 2, 3}
	}
	if len(s.Variants) == 0 {
		s.Variants = allPolicies()
	}
	for i := range s.Pools {
		setDefault(&s.Pools[i].KVTokens, 160_000)
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		setDefault(&c.Organisations, 3)
		setDefault(&c.Until, s.Duration)
		setDefault(&c.FirstWithin, settings.Duration(strictFirst))
		setDefault(&c.BetweenWithin, settings.Duration(strictBetween))
	}
	if len(s.Vary.Factors) == 0 {
		s.Vary.Factors = []float64{1}
	}
	return s
}

func (e EngineTimes) withDefaults() EngineTimes {
	setDefault(&e.PrefillTokens, 20_000)
	setDefault(&e.DecodeStep, settings.Duration(25*time.Millisecond))
	setDefault(&e.LinkBytes, 2e9)
	setDefault(&e.KVTokenBytes, 64<<10)
	setDefault(&e.ExportLife, settings.Duration(800*time.Millisecond))
	setDefault(&e.LoadPeriod, settings.Duration(500*time.Millisecond))
	setDefault(&e.EventDelay, settings.Duration(300*time.Millisecond))
	return e
}

func allPolicies() []Variant {
	names := []policy.Name{policy.Random, policy.RoundRobin, policy.LeastLoad, policy.Affinity, policy.Reserve}
	var all []Variant
	for _, name := range names {
		all = append(all, Variant{Name: string(name), Route: name})
	}
	// The baseline has neither reservations nor admission by latency.
	return append(all, Variant{Name: "roundRobinAdmitAll", Route: policy.RoundRobin, AdmitAll: true})
}

// fault returns the first fault of a scenario; empty if it is valid.
func (s Scenario) fault() string {
	if len(s.Pools) == 0 || len(s.Classes) == 0 {
		return "pools and classes must not be empty"
	}
	for _, p := range s.Pools {
		if p.Count < 1 || len(p.FailureDomains) == 0 {
			return fmt.Sprintf("pool %q needs a count and failureDomains", p.NamePrefix)
		}
	}
	for _, c := range s.Classes {
		if !c.PromptTokens.ordered() || !c.OutputTokens.ordered() {
			return fmt.Sprintf("class %q: a range needs 1 <= min <= median <= max", c.Name)
		}
		if c.From < 0 || c.From >= c.Until {
			return fmt.Sprintf("class %q: from must be before until", c.Name)
		}
	}
	return ""
}

func (r Range) ordered() bool {
	return 1 <= r.Min && r.Min <= r.Median && r.Median <= r.Max
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
