package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/speed"
)

// mostSpeeds bounds the engines in a report of speeds, which then has a few kilobytes. At sites with
// more engines, each forwarder reports others.
const mostSpeeds = 64

// EngineSpeeds returns the recent speeds of engines, for a process that has no reports of them yet.
func EngineSpeeds(s *State, at time.Time) []message.EngineSpeed {
	var list []message.EngineSpeed
	for _, c := range s.servers {
		v := s.services[c.Service]
		if v == nil {
			continue
		}
		if seen, recent := v.speeds.writing.Observation(at, &c.writing); recent {
			list = append(list, message.EngineSpeed{
				Instance: c.Instance, Incarnation: c.Incarnation, Streams: seen.Count, Event: seen.Mean,
			})
		}
	}
	slices.SortFunc(list, func(a, b message.EngineSpeed) int { return cmp.Compare(a.Instance, b.Instance) })
	if len(list) <= mostSpeeds {
		return list
	}
	first := int(s.config.Seed % uint64(len(list)))
	return slices.Concat(list[first:], list[:first])[:mostSpeeds]
}

// mergeSpeeds adds the speeds of engines that another process has observed.
func (s *State) mergeSpeeds(e SpeedsReported) {
	if s.config.IgnoreSpeeds {
		return
	}
	for _, seen := range e.Speeds {
		c := s.serverByStart(message.ServerStart{Instance: seen.Instance, Incarnation: seen.Incarnation})
		if c == nil {
			continue
		}
		if v := s.services[c.Service]; v != nil && v.limits.Engine != nil {
			v.speeds.writing.Merge(&c.writing, e.At, speed.Observation{Count: seen.Streams, Mean: seen.Event})
		}
	}
}

// reportedChange is the ratio by which the factor of an engine must change to be reported.
const reportedChange = 4.0 / 3

// SpeedChange is a change of an engine's time for an event, relative to the other engines.
type SpeedChange struct {
	Service, Instance string
	Before, Factor    float64
}

// SpeedChanges returns the engines whose factor has changed by more than a third since it was last
// returned, sorted by instance.
func SpeedChanges(s *State, at time.Time) []SpeedChange {
	var changes []SpeedChange
	for name, v := range s.services {
		s.compareSpeeds(at, name, v)
		for _, c := range s.inOrder[name] {
			before, now := cmp.Or(c.reportedFactor, 1), c.writing.Factor()
			if now > before*reportedChange || before > now*reportedChange {
				c.reportedFactor = now
				changes = append(changes, SpeedChange{Service: name, Instance: c.Instance, Before: before, Factor: now})
			}
		}
	}
	slices.SortFunc(changes, func(a, b SpeedChange) int { return cmp.Compare(a.Instance, b.Instance) })
	return changes
}

// UnevenEngine is an engine that differs in speed from the others of its service, and its work.
type UnevenEngine struct {
	Instance                string
	Factor                  float64
	Generations, HeldMemory int
}

// UnevenEngines returns up to a number of engines that differ in speed, the most different first.
func UnevenEngines(s *State, most int) []UnevenEngine {
	var list []UnevenEngine
	for _, c := range s.servers {
		if f := c.writing.Factor(); f != 1 {
			list = append(list, UnevenEngine{Instance: c.Instance, Factor: f, Generations: c.inProgress, HeldMemory: c.heldMemory})
		}
	}
	slices.SortFunc(list, func(a, b UnevenEngine) int {
		return cmp.Or(cmp.Compare(math.Abs(math.Log(b.Factor)), math.Abs(math.Log(a.Factor))), cmp.Compare(a.Instance, b.Instance))
	})
	return list[:min(most, len(list))]
}
