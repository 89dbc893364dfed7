package oriolebend

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
)

// FieldError describes one invalid field of a resource.
type FieldError struct {
	// Field is the path of the field, such as "spec.minServers".
	Field string `json:"field" cbor:"field"`
	// Problem says what is wrong with the value.
	Problem string `json:"problem" cbor:"problem"`
	// Allowed describes the allowed values, if a short description exists.
	Allowed string `json:"allowed,omitempty" cbor:"allowed,omitempty"`
}

// InvalidError lists every invalid field of a resource.
type InvalidError struct{ Fields []FieldError }

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Fields))
	for _, f := range e.Fields {
		line := f.Field + ": " + f.Problem
		if f.Allowed != "" {
			line += " (allowed: " + f.Allowed + ")"
		}
		lines = append(lines, line)
	}
	return "invalid resource: " + strings.Join(lines, "; ")
}

// Bounds of the fields of a resource.
const (
	maxNameBytes = 128
	maxURLBytes  = 2048
	maxItems     = 4096
)

const allowedName = "1 to 128 letters, digits and . _ - @ +, the first a letter or digit"

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@+-]*$`)

// Check validates the resource by itself. The error is an *InvalidError that lists every
// invalid field. References to other resources are checked when the resource is applied.
func (r Resource) Check() error {
	c := &checker{}
	r.check(c)
	if len(c.fields) == 0 {
		return nil
	}
	return &InvalidError{Fields: c.fields}
}

func (r Resource) check(c *checker) {
	c.name("name", r.Name)
	if !slices.Contains(ResourceKinds(), r.Kind) {
		c.add("kind", fmt.Sprintf("%q is not known", r.Kind), allowedKinds())
	}
	switch {
	case r.Spec == nil:
		c.add("spec", "is missing", "")
	case r.Spec.ResourceKind() != r.Kind:
		c.add("spec", fmt.Sprintf("is that of a %s", r.Spec.ResourceKind()), string(r.Kind))
	default:
		r.Spec.check(c, r.Name)
	}
}

func allowedKinds() string {
	names := make([]string, 0, len(ResourceKinds()))
	for _, kind := range ResourceKinds() {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}

// checker collects the invalid fields of a resource.
type checker struct{ fields []FieldError }

func (c *checker) add(field, problem, allowed string) {
	c.fields = append(c.fields, FieldError{Field: field, Problem: problem, Allowed: allowed})
}

func (c *checker) name(field, value string) {
	if len(value) > maxNameBytes || !namePattern.MatchString(value) {
		c.add(field, fmt.Sprintf("%.140q is not a name", value), allowedName)
	}
}

func (c *checker) optionalName(field, value string) {
	if value != "" {
		c.name(field, value)
	}
}

func (c *checker) names(field string, values []string) {
	if len(values) > maxItems {
		c.add(field, fmt.Sprintf("has %d items", len(values)), fmt.Sprintf("at most %d", maxItems))
		return
	}
	seen := make(map[string]bool, len(values))
	for i, value := range values {
		item := fmt.Sprintf("%s[%d]", field, i)
		c.name(item, value)
		if seen[value] {
			c.add(item, fmt.Sprintf("%q stands twice", value), "each once")
		}
		seen[value] = true
	}
}

func (c *checker) empty(field string, isEmpty bool, why string) {
	if !isEmpty {
		c.add(field, "is set", "nothing "+why)
	}
}

func (c *checker) notNegative(field string, value float64) {
	if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		c.add(field, fmt.Sprintf("%v is out of range", value), "0 or more")
	}
}

func (c *checker) url(field, value string, required bool) {
	if value == "" && !required {
		return
	}
	if value == "" || len(value) > maxURLBytes || !strings.Contains(value, "://") {
		c.add(field, fmt.Sprintf("%.60q is not a URL", value), "scheme://... of at most 2048 bytes")
	}
}

// derived checks that a name matches the name derived from the spec.
func (c *checker) derived(name, want string) {
	if name != want {
		c.add("name", fmt.Sprintf("%.140q does not fit the spec", name), want)
	}
}

func (m *Model) check(c *checker, _ string) {
	if len(m.Versions) == 0 {
		c.add("spec.versions", "is empty", "at least one version")
	}
	c.names("spec.versions", m.Versions)
}

func (v *Version) check(c *checker, name string) {
	c.name("spec.model", v.Model)
	c.name("spec.version", v.Version)
	c.derived(name, VersionName(v.Model, v.Version))
	c.url("spec.weightURL", v.WeightURL, true)
	if v.WeightBytes <= 0 {
		c.add("spec.weightBytes", fmt.Sprintf("%d is out of range", v.WeightBytes), "1 or more")
	}
}

func (a *Adapter) check(c *checker, name string) {
	c.name("spec.model", a.Model)
	c.name("spec.adapter", a.Adapter)
	c.derived(name, AdapterName(a.Model, a.Adapter))
	c.url("spec.weightURL", a.WeightURL, false)
	c.notNegative("spec.weightBytes", float64(a.WeightBytes))
}

func (p *Pool) check(c *checker, _ string) {
	switch p.Role {
	case Prefill, Decode:
		c.name("spec.model", p.Model)
		c.name("spec.version", p.Version)
		c.names("spec.adapters", p.Adapters)
		c.empty("spec.service", p.Service == "", "for role "+string(p.Role))
	case Service:
		c.name("spec.service", p.Service)
		c.empty("spec.model", p.Model == "", "for role service")
		c.empty("spec.version", p.Version == "", "for role service")
		c.empty("spec.adapters", len(p.Adapters) == 0, "for role service")
	default:
		c.add("spec.role", fmt.Sprintf("%.40q is not known", p.Role), "prefill, decode, service")
	}
	c.notNegative("spec.minServers", float64(p.MinServers))
	c.notNegative("spec.maxOut", float64(p.MaxOut))
	c.names("spec.servers", p.Servers)
	if len(p.Servers) > 0 && p.Selector != nil {
		c.add("spec.selector", "stands beside spec.servers", "one of the two")
	}
	if len(p.Servers) > 0 && p.MinServers > len(p.Servers) {
		c.add("spec.minServers", fmt.Sprintf("%d is more than the servers listed", p.MinServers),
			fmt.Sprintf("0 to %d", len(p.Servers)))
	}
	if p.Selector != nil {
		c.optionalName("spec.selector.namePrefix", p.Selector.NamePrefix)
		c.optionalName("spec.selector.region", p.Selector.Region)
		c.optionalName("spec.selector.failureDomain", p.Selector.FailureDomain)
	}
}

func (s *DeclaredServer) check(c *checker, _ string) {
	switch s.State {
	case "", ServerServing, ServerLeaving, ServerStopping:
	default:
		c.add("spec.state", fmt.Sprintf("%.40q is not known", s.State), "serving, leaving, stopping")
	}
	c.optionalName("spec.pool", s.Pool)
}

func (p *Policy) check(c *checker, name string) {
	c.derived(name, PolicyName)
	for _, d := range []struct {
		field string
		value Duration
	}{
		{"spec.firstWithin", p.FirstWithin},
		{"spec.betweenWithin", p.BetweenWithin},
		{"spec.lease", p.Lease},
		{"spec.keepRecords", p.KeepRecords},
		{"spec.keepAnswers", p.KeepAnswers},
	} {
		if d.value < 0 {
			c.add(d.field, "is negative", "0 or more")
		}
	}
	if p.RetryBudget < 0 || p.RetryBudget > 1 || math.IsNaN(p.RetryBudget) {
		c.add("spec.retryBudget", fmt.Sprintf("%v is out of range", p.RetryBudget), "0 to 1")
	}
	c.notNegative("spec.weightLoads", float64(p.WeightLoads))
	organisations := make([]string, 0, len(p.Shares))
	for organisation := range p.Shares {
		organisations = append(organisations, organisation)
	}
	slices.Sort(organisations)
	for _, organisation := range organisations {
		field := "spec.shares." + organisation
		c.name(field, organisation)
		share := p.Shares[organisation]
		if !(share > 0) || math.IsInf(share, 0) {
			c.add(field, fmt.Sprintf("%v is out of range", share), "more than 0")
		}
	}
}
