package placements

import (
	"fmt"
	"strings"
	"time"
)

const (
	// speedsInterval is how often the engines that differ in speed are logged.
	speedsInterval = 10 * time.Second
	// mostSpeedLines bounds the lines about changed speeds at a time: after the start of a system,
	// the factors of all engines may change at once.
	mostSpeedLines = 10
	// mostUneven is how many engines a line lists. The log shortens a longer text.
	mostUneven = 8
)

// logSpeeds logs the engines whose speed has changed, and from time to time those that differ from
// the others. The mutex must be held.
func (a *Allocator) logSpeeds(at time.Time) {
	changes := a.state.Placement.SpeedChanges(at)
	for i, c := range changes {
		if a.Count != nil {
			a.Count("engineSpeedChanged")
		}
		if i < mostSpeedLines {
			a.Logger.Info("engine speed changed", "service", c.Service, "server", c.Instance,
				"factor", round(c.Factor), "before", round(c.Before), "others", max(0, len(changes)-mostSpeedLines))
		}
	}
	if at.Sub(a.speedsLogged) < speedsInterval {
		return
	}
	a.speedsLogged = at
	if uneven := a.state.Placement.UnevenEngines(mostUneven); len(uneven) > 0 {
		list := make([]string, len(uneven))
		for i, e := range uneven {
			list[i] = fmt.Sprintf("%s=%.2f/%d/%d", e.Instance, e.Factor, e.Generations, e.HeldMemory)
		}
		a.Logger.Info("engines differ in speed", "factorGenerationsMemory", strings.Join(list, " "))
	}
}

// round rounds a factor to a hundredth.
func round(factor float64) float64 { return float64(int(factor*100+0.5)) / 100 }
