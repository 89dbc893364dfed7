package load

import (
	"fmt"
	"net/url"
	"strings"
)

// checker collects the faults of a description.
type checker struct{ faults []string }

// require adds a fault unless the condition holds.
func (c *checker) require(ok bool, format string, arguments ...any) {
	if !ok {
		c.faults = append(c.faults, fmt.Sprintf(format, arguments...))
	}
}

// check returns every fault of a description whose defaults are filled in.
func (d *Description) check() []string {
	c := &checker{}
	for _, entry := range append(append([]string(nil), d.Entries...), d.MetricsURLs...) {
		u, err := url.Parse(entry)
		c.require(err == nil && u.Scheme != "" && u.Host != "", "%q is not a URL such as http://127.0.0.1:8080", entry)
	}
	c.require(d.Rate > 0, "rate must be above 0 requests a second")
	c.require(d.Duration > 0 && d.Requests > 0 && d.InFlight > 0 && d.Tries > 0 && d.Within > 0,
		"duration, requests, inFlight, tries and within must be above 0")
	c.arrivals(d.Arrivals)
	total := 0.0
	for _, o := range d.Organisations {
		c.require(o.Name != "" && o.Share > 0, "organisation %q needs a name and a share above 0", o.Name)
	}
	names := map[string]bool{}
	for _, class := range d.Classes {
		c.require(!names[class.Name], "class %q is defined more than once", class.Name)
		names[class.Name] = true
		c.class(class)
		total += class.Share
	}
	c.require(total > 0, "at least one class needs a share above 0")
	for _, failure := range d.Failures {
		c.require(failure.At >= 0 && failure.Do != "", "a failure needs at and do")
	}
	c.require(len(d.Failures) == 0 || d.FailuresURL != "", "failures need a failuresURL to be sent to")
	return c.faults
}

func (c *checker) arrivals(a Arrivals) {
	switch a.Kind {
	case ArrivePoisson, ArriveEven:
	case ArriveBursts:
		ok := a.BurstEvery > 0 && a.BurstFor > 0 && a.BurstFor < a.BurstEvery && a.BurstFactor >= 1 &&
			a.BurstFactor*float64(a.BurstFor) <= float64(a.BurstEvery)
		c.require(ok, "arrivals: bursts need burstEvery > burstFor > 0 and burstFactor from 1 to burstEvery/burstFor")
	default:
		c.require(false, "arrivals.kind %q is not poisson, bursts or even", a.Kind)
	}
}

func (c *checker) class(class Class) {
	within := func(share float64) bool { return share >= 0 && share <= 1 }
	c.require(class.Name != "", "a class needs a name")
	c.require(class.Share >= 0, "class %q: share must not be below 0", class.Name)
	c.require(within(class.CancelShare+class.DuplicateShare) && within(class.CancelShare) && within(class.DuplicateShare),
		"class %q: cancelShare and againShare must be from 0 to 1 together", class.Name)
	c.require(class.CancelShare == 0 || class.CancelAfter > 0, "class %q: cancelShare needs cancelAfter", class.Name)
	c.require(class.Urgency == "" || class.Urgency.Valid(), "class %q: urgency must be urgent or patient", class.Name)
	c.require(class.PromptTokens.valid(), "class %q: promptTokens needs 0 < min <= median <= max", class.Name)
	switch class.Kind {
	case KindCompletion, KindChat:
		c.require(class.Model != "", "class %q needs a model", class.Name)
		c.require(class.OutputTokens.valid(), "class %q: outputTokens needs 0 < min <= median <= max", class.Name)
		c.require(class.PrefixTokens <= class.PromptTokens.Min, "class %q: prefixTokens must not be above promptTokens.min", class.Name)
	case KindCall:
		c.require(class.StatusPath == "" || strings.Contains(class.StatusPath, identityPlaceholder), "class %q: statusPath must hold %s", class.Name, identityPlaceholder)
		c.require(class.Path != "" && class.Path[0] == '/', "class %q needs a path such as /services/dispatch-api/arrivals", class.Name)
	case KindRoute:
		c.require(class.Path != "" && class.Path[0] == '/', "class %q needs a path such as /plans/", class.Name)
		c.require(class.OutputTokens.valid(), "class %q: outputTokens needs 0 < min <= median <= max", class.Name)
		c.require(class.PrefixTokens <= class.PromptTokens.Min, "class %q: prefixTokens must not be above promptTokens.min", class.Name)
		c.require(class.DuplicateShare == 0, "class %q: a route remembers no keys; againShare must be 0", class.Name)
	default:
		c.require(false, "class %q: kind %q is not completion, chat, call or route", class.Name, class.Kind)
	}
}

func (s Spread) valid() bool {
	return s.Min > 0 && s.Min <= s.Median && s.Median <= s.Max
}
