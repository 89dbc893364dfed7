// Package capacity computes the cost of each role at the size that the project is
// designed for, from slopes measured on one machine. The results are the tables of
// docs/CAPACITY.md; a test checks that they follow from the data file.
package capacity

import (
	"bytes"
	_ "embed"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

//go:embed slopes.toml
var file []byte

// Data is the input of the tables.
type Data struct {
	Size        Size        `toml:"size"`
	Budget      Budget      `toml:"budget"`
	Assumptions Assumptions `toml:"choice"`
	// Commands maps a short name to the command that repeats a measurement.
	Commands map[string]string `toml:"commands"`
	Slopes   []Slope           `toml:"slopes"`
	// Sweeps maps the name of a table on the page to its sweep.
	Sweeps map[string]Sweep `toml:"sweeps"`
	// FullSizeRuns maps the name of a table on the page to its deployment.
	FullSizeRuns map[string]FullSizeRun `toml:"played"`
}

// Size is the size and load of the fleet that the users gave.
type Size struct {
	Entries        float64 `toml:"entries"`
	Servers        float64 `toml:"servers"`
	Accelerators   float64 `toml:"accelerators"`
	Requests       float64 `toml:"requests"`   // per second
	Tokens         float64 `toml:"tokens"`     // per second
	KVBytes        float64 `toml:"kvBytes"`    // per second
	FirstToken     float64 `toml:"firstToken"` // seconds
	BetweenTokens  float64 `toml:"betweenTokens"`
	Organisations  float64 `toml:"organisations"`
	Models         float64 `toml:"models"`
	Regions        float64 `toml:"regions"`
	FailureDomains float64 `toml:"failureDomains"`
	Changes        float64 `toml:"changes"`   // per day
	InForce        float64 `toml:"inForce"`   // seconds
	Failures       float64 `toml:"failures"`  // per day
	Restarts       float64 `toml:"restarts"`  // per day
	Unreached      float64 `toml:"unreached"` // seconds that a region is cut off
}

// Budget is what a daemon may spend on control work.
type Budget struct {
	Core       float64 `toml:"core"`   // share of one core
	Memory     float64 `toml:"memory"` // bytes
	Bytes      float64 `toml:"bytes"`  // per second
	ControlVMs float64 `toml:"controlVMs"`
}

// Assumptions holds assumptions where the users gave no figure. None of them was measured.
type Assumptions struct {
	// Voters is how many of the ControlVMs vote; all ControlVMs serve followers.
	Voters     float64 `toml:"voters"`
	ControlVMs float64 `toml:"controlVMs"`
	// Probes is how many gates an entry requests a reservation from for each request.
	Probes float64 `toml:"probes"`
	// OnceShare is the share of requests that may run at most once.
	OnceShare float64 `toml:"onceShare"`
	// RegionRoundTrip is the round-trip time between two regions, in seconds.
	RegionRoundTrip float64 `toml:"regionRoundTrip"`
	// LinkUse is the planned utilisation of a link.
	LinkUse float64 `toml:"linkUse"`
	// KeepOnce is how long settled records of at-most-once requests are kept, in
	// seconds; KeepRepeatable applies to all other requests.
	KeepOnce       float64 `toml:"keepOnce"`
	KeepRepeatable float64 `toml:"keepRepeatable"`
	// Wave is the share of entries that are restarted at a time, EntryStop how long an
	// entry takes to stop, in seconds.
	Wave      float64 `toml:"wave"`
	EntryStop float64 `toml:"entryStop"`
	// LeaseFor is the duration of the membership lease, in seconds.
	LeaseFor float64 `toml:"leaseFor"`
	// RenewEvery is the interval at which a sidecar renews its lease, in seconds.
	RenewEvery float64 `toml:"renewEvery"`
	// WeightBytes is the size of a version's weights, WeightRate the rate of the weight
	// store for one load, in bytes per second, and WeightLoads the number of concurrent
	// loads.
	WeightBytes float64 `toml:"weightBytes"`
	WeightRate  float64 `toml:"weightRate"`
	WeightLoads float64 `toml:"weightLoads"`
}

// Load parses the embedded data file.
func Load() (Data, error) { return Parse(file) }

// Parse parses a data file; an unknown key is an error.
func Parse(text []byte) (Data, error) {
	var d Data
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return d, fmt.Errorf("parse the slopes: %w", err)
	}
	return d, nil
}

// MissingError lists the slopes that a table needs and that the data file does not
// define.
type MissingError struct{ Names []string }

// Error implements error.
func (e *MissingError) Error() string {
	return "missing slopes: " + strings.Join(e.Names, ", ")
}

// UnusedError lists the slopes that no table uses, such as a renamed one.
type UnusedError struct{ Names []string }

// Error implements error.
func (e *UnusedError) Error() string {
	return "slopes that no table uses: " + strings.Join(e.Names, ", ")
}
