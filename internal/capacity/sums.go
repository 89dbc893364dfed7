package capacity

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	secondsPerDay = 86400
	// connectionIdleSeconds is how long a connection without sessions is kept open.
	connectionIdleSeconds = 300.0
	// benchControls is the number of control VMs in the benchmarks.
	benchControls = 3
	// heapGrowth is the size that the heap may reach before Go's garbage collector runs, as
	// a multiple of the live heap, with the default of GOGC.
	heapGrowth = 2
)

// Table is one table of the page.
type Table struct {
	Name string
	Head []string
	Rows [][]string
}

// sums computes the tables and records which slopes they use.
type sums struct {
	Data
	lines   map[string]Line
	used    map[string]bool
	missing []string
}

// Tables computes every table of the page.
func Tables(d Data) ([]Table, error) {
	s := &sums{Data: d, lines: map[string]Line{}, used: map[string]bool{}}
	for _, slope := range d.Slopes {
		line, err := slope.Fit()
		if err != nil {
			return nil, err
		}
		s.lines[slope.Name] = line
	}
	tables := []Table{
		s.demand(), s.entry(), s.sidecar(), s.control(true), s.control(false), s.kv(), s.records(), s.events(),
	}
	if len(s.missing) > 0 {
		slices.Sort(s.missing)
		return nil, &MissingError{Names: slices.Compact(s.missing)}
	}
	if unused := s.unused(); len(unused) > 0 {
		return nil, &UnusedError{Names: unused}
	}
	sweeps, err := d.sweepTables()
	if err != nil {
		return nil, err
	}
	fullSize, err := d.fullSizeTables()
	if err != nil {
		return nil, err
	}
	return slices.Concat(tables, sweeps, fullSize, []Table{d.commandTable(), d.measured()}), nil
}

func (s *sums) line(name string) Line {
	line, ok := s.lines[name]
	if !ok {
		s.missing = append(s.missing, name)
	}
	s.used[name] = true
	return line
}

// unused returns the names of the slopes that no table has used.
func (s *sums) unused() []string {
	var names []string
	for _, slope := range s.Slopes {
		if !s.used[slope.Name] {
			names = append(names, slope.Name)
		}
	}
	return names
}

// at returns the value of a slope at a size, in seconds or bytes.
func (s *sums) at(name string, size float64) float64 { return s.line(name).At(size) }

// each returns how much a slope grows for each unit of its size.
func (s *sums) each(name string) float64 { return s.line(name).Each }

// one returns the value of a slope at size 1, which is the value of a constant slope.
func (s *sums) one(name string) float64 { return s.line(name).At(1) }

// Demand on one process, which several tables use.

func (s *sums) followers() float64        { return s.Size.Entries + s.Size.Servers }
func (s *sums) requestsPerEntry() float64 { return s.Size.Requests / s.Size.Entries }
func (s *sums) tokensPerRequest() float64 { return s.Size.Tokens / s.Size.Requests }
func (s *sums) changesPerSecond() float64 { return s.Size.Changes / secondsPerDay }
func (s *sums) sessionsPerGate() float64 {
	return s.Assumptions.Probes * s.Size.Requests / s.Size.Servers
}
func (s *sums) followersPerVM() float64     { return s.followers() / s.Assumptions.ControlVMs }
func (s *sums) serversPerDomain() float64   { return s.Size.Servers / s.Size.FailureDomains }
func (s *sums) entriesPerDomain() float64   { return s.Size.Entries / s.Size.FailureDomains }
func (s *sums) kvPerRequest() float64       { return s.Size.KVBytes / s.Size.Requests }
func (s *sums) inProgress() float64         { return s.Size.Requests * s.life() }
func (s *sums) inProgressPerEntry() float64 { return s.inProgress() / s.Size.Entries }

// life returns how long a request is in progress, in seconds.
func (s *sums) life() float64 {
	return s.Size.FirstToken + s.tokensPerRequest()*s.Size.BetweenTokens
}

// gatesOpen returns how many gates an entry has a connection to: those that it exchanged
// messages with within connectionIdleSeconds, if requests are spread evenly.
func (s *sums) gatesOpen() float64 {
	rate := s.requestsPerEntry() * s.Assumptions.Probes / s.Size.Servers
	return s.Size.Servers * (1 - math.Exp(-rate*connectionIdleSeconds))
}

// entriesOpen returns how many entries a gate has a connection to.
func (s *sums) entriesOpen() float64 {
	return s.gatesOpen() * s.Size.Entries / s.Size.Servers
}

// stateSize returns the number of resources and members: models with three versions and
// two pools each, and servers both declared and announced.
func (s *sums) stateSize() float64 {
	return s.Size.Models*(1+3+2) + 2*s.Size.Servers
}

// startBytes returns the bytes that the start of a follower transfers.
func (s *sums) startBytes() float64 { return s.one("wholeStateBytes") + s.one("handshakeBytes") }

// recordsKept returns the number of settled records that are kept.
func (s *sums) recordsKept() float64 {
	once := s.Assumptions.OnceShare * s.Assumptions.KeepOnce
	repeatable := (1 - s.Assumptions.OnceShare) * s.Assumptions.KeepRepeatable
	return s.Size.Requests * (once + repeatable)
}

// demand returns the table of the demand on one process.
func (s *sums) demand() Table {
	t := Table{Name: "demand", Head: []string{"demand", "sum", "value"}}
	add := func(what, sum, value string) { t.Rows = append(t.Rows, []string{what, sum, value}) }
	add("followers of the declared state", "entries + sidecars", number(s.followers()))
	add("followers of a control VM", fmt.Sprintf("over %s VMs", number(s.Assumptions.ControlVMs)), number(s.followersPerVM()))
	add("requests of an entry", "requests / entries", number(s.requestsPerEntry())+"/s")
	add("output of a request", "tokens / requests", number(s.tokensPerRequest())+" tokens")
	add("life of a request", "first token + output × time between tokens", seconds(s.life()))
	add("requests in progress", "requests × life", number(s.inProgress()))
	add("requests in progress at an entry", "/ entries", number(s.inProgressPerEntry()))
	add("reservations asked of a gate", fmt.Sprintf("%s probes a request / servers", number(s.Assumptions.Probes)), number(s.sessionsPerGate())+"/s")
	add("gates that an entry has a connection to", "those met within 5 min, requests spread evenly", number(s.gatesOpen()))
	add("changes", "4,000 a day", number(s.changesPerSecond()*60)+"/min")
	add("resources and members in view", "34 × (model, 3 versions, 2 pools), servers declared and announced", number(s.stateSize()))
	add("KV cache of a request", "KV / requests", size(s.kvPerRequest()))
	return t
}

var roleHead = []string{"cost", "worked out from", "at this size", "budget", "mechanism that carries it"}

// budgetOf formats a budget and whether the value fits into it.
func budgetOf(value, budget float64, format func(float64) string) string {
	verdict := "fits"
	if value > budget {
		verdict = "does **not** fit"
	}
	return fmt.Sprintf("%s: %s", format(budget), verdict)
}

// Number formats of the page.

func number(v float64) string {
	switch {
	case v >= 1e6:
		return fmt.Sprintf("%.1f million", v/1e6)
	case v >= 1000:
		return fmt.Sprintf("%d,%03d", int(v+0.5)/1000, int(v+0.5)%1000)
	case v >= 100 || v == math.Trunc(v):
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.2g", v)
}

func size(v float64) string {
	for _, unit := range []struct {
		factor float64
		name   string
	}{{1e12, "TB"}, {1e9, "GB"}, {1e6, "MB"}, {1e3, "kB"}} {
		if v >= unit.factor {
			return fmt.Sprintf("%.3g %s", v/unit.factor, unit.name)
		}
	}
	return fmt.Sprintf("%.3g B", v)
}

func rate(v float64) string { return size(v) + "/s" }

// core formats processor time per second as a share of one core.
func core(v float64) string { return fmt.Sprintf("%.2g%% of a core", 100*v) }

func seconds(v float64) string {
	d := time.Duration(v * float64(time.Second))
	switch {
	case d >= 10*time.Minute:
		return fmt.Sprintf("%.0f min", d.Minutes())
	case d >= 10*time.Second:
		return fmt.Sprintf("%.0f s", d.Seconds())
	case d >= time.Second:
		return fmt.Sprintf("%.1f s", d.Seconds())
	case d >= time.Millisecond:
		return fmt.Sprintf("%.3g ms", float64(d)/float64(time.Millisecond))
	}
	return fmt.Sprintf("%.3g µs", float64(d)/float64(time.Microsecond))
}
