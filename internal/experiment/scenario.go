// Package experiment measures the routing decisions: it runs the reducers of
// entries and gates in virtual time, joined by message delays and by engines
// that are no more than service times, and compares policies under one load.
//
// It simulates no cluster: no process, socket, disk, agreement or membership
// stands in it, and control VMs are a fixed delay.
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

// Scenario describes a fleet, its load and what is compared.
type Scenario struct {
	Name string `toml:"name"`
	// Duration is for how long requests arrive; those that arrive before
	// WarmUp are not counted. Zero means 60s and a sixth of Duration.
	Duration settings.Duration `toml:"duration"`
	WarmUp   settings.Duration `toml:"warmUp"`
	// Seeds are the loads that are run; empty means 1, 2 and 3.
	Seeds []uint64 `toml:"seeds"`
	// Variants are what is compared; empty means every policy as it is.
	Variants []Variant `toml:"variants"`
	// Entries is how many entries there are; zero means 2.
	Entries int `toml:"entries"`
	// LinkDelay is the time of a message between failure domains, NearDelay
	// within one; zero means 1.5ms and 200us.
	LinkDelay settings.Duration `toml:"linkDelay"`
	NearDelay settings.Duration `toml:"nearDelay"`
	// RecordDelay is how long the control VMs take for a claim or settlement;
	// zero means 4ms.
	RecordDelay settings.Duration `toml:"recordDelay"`
	Engine      EngineTimes       `toml:"engine"`
	Pools       []Pool            `toml:"pools"`
	Classes     []Class           `toml:"classes"`
	Deaths      Deaths            `toml:"deaths"`
	Vary        Vary              `toml:"vary"`
}

// Variant is a policy with its options.
type Variant struct {
	Name         string      `toml:"name"`
	Route        policy.Name `toml:"route"`
	Probes       int         `toml:"probes"`
	DecodeProbes int         `toml:"decodeProbes"`
	AskAtOnce    bool        `toml:"askAtOnce"`
	// AdmitAll refuses no request for being late.
	AdmitAll bool `toml:"admitAll"`
}

// EngineTimes are the service times of all engines. Zeros mean the values of
// the stand-in engines.
type EngineTimes struct {
	// PrefillTokens is how many prompt tokens a second a prefill computes.
	PrefillTokens float64 `toml:"prefillTokens"`
	// DecodeStep is the time between tokens of a lone request; each further
	// request of the batch adds a hundredth.
	DecodeStep settings.Duration `toml:"decodeStep"`
	// LinkBytes is the rate of each server's link, in bytes a second.
	LinkBytes float64 `toml:"linkBytes"`
	// KVTokenBytes is the size of one token's KV cache.
	KVTokenBytes int64 `toml:"kvTokenBytes"`
	// ExportLife is how long a prefill result can be fetched.
	ExportLife settings.Duration `toml:"exportLife"`
	// LoadPeriod is how old load reports are, EventDelay cache events.
	LoadPeriod settings.Duration `toml:"loadPeriod"`
	EventDelay settings.Duration `toml:"eventDelay"`
	// EventLoss is the share of cache events that are never published.
	EventLoss float64 `toml:"eventLoss"`
}

// Pool is servers that are alike.
type Pool struct {
	NamePrefix     string              `toml:"namePrefix"`
	Count          int                 `toml:"count"`
	Role           oriolebend.PoolRole `toml:"role"`
	FailureDomains []string            `toml:"failureDomains"`
	// KVTokens is the size of the KV memory; zero means 160,000.
	KVTokens int `toml:"kvTokens"`
}

// Class is requests that are alike.
type Class struct {
	Name    string             `toml:"name"`
	Urgency oriolebend.Urgency `toml:"urgency"`
	// Rate is how many arrive in a second, from From until Until. Zero means the beginning
	// and the end, so that work which shifts is two classes, one after the other.
	Rate         float64           `toml:"rate"`
	From         settings.Duration `toml:"from"`
	Until        settings.Duration `toml:"until"`
	PromptTokens Range             `toml:"promptTokens"`
	OutputTokens Range             `toml:"outputTokens"`
	// Prefixes is how many prefixes of PrefixTokens the prompts begin with.
	Prefixes     int `toml:"prefixes"`
	PrefixTokens int `toml:"prefixTokens"`
	// Organisations is how many organisations send; zero means 3.
	Organisations int `toml:"organisations"`
	// FirstWithin and BetweenWithin are the targets; zero means 1.2s and 41ms.
	FirstWithin   settings.Duration `toml:"firstWithin"`
	BetweenWithin settings.Duration `toml:"betweenWithin"`
}

// Range is a distribution: half of the values lie between Min and Median, half
// between Median and Max, each half even.
type Range struct {
	Min    int `toml:"min"`
	Median int `toml:"median"`
	Max    int `toml:"max"`
}

// Deaths has one decode engine after the other die.
type Deaths struct {
	// Every is the time between two deaths; zero means none.
	Every settings.Duration `toml:"every"`
	// Away is how long a dead engine takes to answer again; zero means 2s.
	Away settings.Duration `toml:"away"`
}

// Vary repeats every run with a class at several multiples of its rate.
type Vary struct {
	Class   string    `toml:"class"`
	Factors []float64 `toml:"factors"`
}

// ScenarioError tells what is wrong with a scenario.
type ScenarioError struct {
	File  string
	Fault string
	Cause error
}

// Error implements error.
func (e *ScenarioError) Error() string { return "scenario " + e.File + ": " + e.Fault }

// Unwrap returns the error beneath.
func (e *ScenarioError) Unwrap() error { return e.Cause }

// Read reads a scenario; its errors are *ScenarioError.
func Read(file string) (Scenario, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Scenario{}, &ScenarioError{File: file, Fault: err.Error(), Cause: err}
	}
	return Parse(file, data)
}

// Parse reads a scenario from its text; file names it in errors.
func Parse(file string, data []byte) (Scenario, error) {
	var s Scenario
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, &ScenarioError{File: file, Fault: faultOf(err), Cause: err}
	}
	s = s.filled()
	if fault := s.fault(); fault != "" {
		return s, &ScenarioError{File: file, Fault: fault}
	}
	return s, nil
}

func faultOf(err error) string {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return strings.TrimSpace(strict.String())
	}
	return err.Error()
}

func (s Scenario) filled() Scenario {
	setDefault(&s.Duration, settings.Duration(time.Minute))
	setDefault(&s.WarmUp, s.Duration/6)
	setDefault(&s.Entries, 2)
	setDefault(&s.LinkDelay, settings.Duration(1500*time.Microsecond))
	setDefault(&s.NearDelay, settings.Duration(200*time.Microsecond))
	setDefault(&s.RecordDelay, settings.Duration(4*time.Millisecond))
	setDefault(&s.Deaths.Away, settings.Duration(2*time.Second))
	s.Engine = s.Engine.filled()
	if len(s.Seeds) == 0 {
		s.Seeds = []uint64{1, 2, 3}
	}
	if len(s.Variants) == 0 {
		s.Variants = everyPolicy()
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

func (e EngineTimes) filled() EngineTimes {
	setDefault(&e.PrefillTokens, 20_000)
	setDefault(&e.DecodeStep, settings.Duration(25*time.Millisecond))
	setDefault(&e.LinkBytes, 2e9)
	setDefault(&e.KVTokenBytes, 64<<10)
	setDefault(&e.ExportLife, settings.Duration(800*time.Millisecond))
	setDefault(&e.LoadPeriod, settings.Duration(500*time.Millisecond))
	setDefault(&e.EventDelay, settings.Duration(300*time.Millisecond))
	return e
}

func everyPolicy() []Variant {
	names := []policy.Name{policy.Random, policy.RoundRobin, policy.LeastLoad, policy.Affinity, policy.Reserve}
	var all []Variant
	for _, name := range names {
		all = append(all, Variant{Name: string(name), Route: name})
	}
	// The baseline: no reservation, and no admission by latency either.
	return append(all, Variant{Name: "roundRobinAdmitAll", Route: policy.RoundRobin, AdmitAll: true})
}

func (s Scenario) fault() string {
	if len(s.Pools) == 0 || len(s.Classes) == 0 {
		return "there must be pools and classes"
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
