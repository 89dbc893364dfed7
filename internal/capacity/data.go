// Package capacity works out what each role costs at the size that the project
// is designed for, from slopes measured on one machine. The tables of
// docs/CAPACITY.md are its output; a test holds them to the data file.
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

// Data is what the sums start from.
type Data struct {
	Size   Size   `toml:"size"`
	Budget Budget `toml:"budget"`
	Choice Choice `toml:"choice"`
	// Commands are what a reader runs to measure again, by a short name.
	Commands map[string]string `toml:"commands"`
	Slopes   []Slope           `toml:"slopes"`
	// Sweeps are by the name of their table on the page.
	Sweeps map[string]Sweep `toml:"sweeps"`
	// Played are by the name of their table on the page.
	Played map[string]Played `toml:"played"`
}

// Size is the fleet that the users named.
type Size struct {
	Entries        float64 `toml:"entries"`
	Servers        float64 `toml:"servers"`
	Accelerators   float64 `toml:"accelerators"`
	Requests       float64 `toml:"requests"`   // a second
	Tokens         float64 `toml:"tokens"`     // a second
	KVBytes        float64 `toml:"kvBytes"`    // a second
	FirstToken     float64 `toml:"firstToken"` // seconds
	BetweenTokens  float64 `toml:"betweenTokens"`
	Organisations  float64 `toml:"organisations"`
	Models         float64 `toml:"models"`
	Regions        float64 `toml:"regions"`
	FailureDomains float64 `toml:"failureDomains"`
	Changes        float64 `toml:"changes"`   // a day
	InForce        float64 `toml:"inForce"`   // seconds
	Failures       float64 `toml:"failures"`  // a day
	Restarts       float64 `toml:"restarts"`  // a day
	Unreached      float64 `toml:"unreached"` // seconds that a region is cut off
}

// Budget is what a daemon may spend for control.
type Budget struct {
	Core       float64 `toml:"core"` // of one
	Memory     float64 `toml:"memory"`
	Bytes      float64 `toml:"bytes"` // a second
	ControlVMs float64 `toml:"controlVMs"`
}

// Choice is what we took where the users named nothing; none of it was
// measured.
type Choice struct {
	// Voters of the ControlVMs agree; all serve followers.
	Voters     float64 `toml:"voters"`
	ControlVMs float64 `toml:"controlVMs"`
	// Probes is the number of gates that an entry asks per request.
	Probes float64 `toml:"probes"`
	// OnceShare is the share of requests that may run at most once.
	OnceShare float64 `toml:"onceShare"`
	// RegionRoundTrip is between two regions, in seconds.
	RegionRoundTrip float64 `toml:"regionRoundTrip"`
	// LinkUse is the share of a link that is planned for.
	LinkUse float64 `toml:"linkUse"`
	// KeepOnce and KeepRepeatable are how long settled records stay, in
	// seconds.
	KeepOnce       float64 `toml:"keepOnce"`
	KeepRepeatable float64 `toml:"keepRepeatable"`
	// Wave is the share of entries restarted at a time, and EntryStop how long
	// an entry takes to stop, in seconds.
	Wave      float64 `toml:"wave"`
	EntryStop float64 `toml:"entryStop"`
	// LeaseFor is the membership lease, in seconds.
	LeaseFor float64 `toml:"leaseFor"`
	// RenewEvery is how often a sidecar renews it, in seconds.
	RenewEvery float64 `toml:"renewEvery"`
	// WeightBytes is the size of a version's weights, WeightRate what the
	// weight store gives one load, in bytes a second, and WeightLoads the
	// loads at a time.
	WeightBytes float64 `toml:"weightBytes"`
	WeightRate  float64 `toml:"weightRate"`
	WeightLoads float64 `toml:"weightLoads"`
}

// Load reads the data file that is built in.
func Load() (Data, error) { return Parse(file) }

// Parse reads a data file; an unknown key is an error.
func Parse(text []byte) (Data, error) {
	var d Data
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return d, fmt.Errorf("read the slopes: %w", err)
	}
	return d, nil
}

// MissingError names slopes that a sum needs and the data file lacks.
type MissingError struct{ Names []string }

// Error implements error.
func (e *MissingError) Error() string {
	return "missing slopes: " + strings.Join(e.Names, ", ")
}

// UnusedError names slopes that no sum uses, such as one that was renamed.
type UnusedError struct{ Names []string }

// Error implements error.
func (e *UnusedError) Error() string {
	return "slopes that no sum uses: " + strings.Join(e.Names, ", ")
}
