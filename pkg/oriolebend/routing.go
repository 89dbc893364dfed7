package oriolebend

import (
	"fmt"
	"strings"
)

// Routing determines where callers' plain HTTP requests may be sent. It is declared
// and replaced as a whole: two operators who each changed a part could otherwise
// bring a combination into force that neither of them wrote.
type Routing struct {
	// Version is the number that operators give this routing. The routing with the
	// highest version ever accepted is in force.
	Version  uint64         `json:"version" cbor:"version"`
	Routes   []Route        `json:"routes" cbor:"routes"`
	Services []RouteService `json:"services" cbor:"services"`
	Limits   CallerLimits   `json:"limits,omitzero" cbor:"limits"`
	// Keyed is set if callers must present a key on every route that is not public. It is
	// implied by Organisations, and stays set when the last organisation is removed: a
	// routing that has lost its organisations must not admit everybody.
	Keyed         bool           `json:"keyed,omitempty" cbor:"keyed,omitempty"`
	Organisations []Organisation `json:"organisations,omitempty" cbor:"organisations,omitempty"`
}

// NeedsKeys reports whether callers must present a key on routes that are not public.
func (r Routing) NeedsKeys() bool { return r.Keyed || len(r.Organisations) > 0 }

// RepeatRule says whether a request whose outcome is not known may be repeated.
type RepeatRule string

// Repeat rules.
const (
	// RepeatIdempotent requests may run any number of times.
	RepeatIdempotent RepeatRule = "idempotent"
	// RepeatNever requests run at most once.
	RepeatNever RepeatRule = "atMostOnce"
	// RepeatResumable streams may be resumed at another backend server after the
	// last event that was delivered.
	RepeatResumable RepeatRule = "resumable"
)

// Repeatable reports whether a request that may have been executed may be sent again.
func (r RepeatRule) Repeatable() bool { return r == RepeatIdempotent || r == RepeatResumable }

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name string `json:"name" cbor:"name"`
	Host string `json:"host" cbor:"host"`
	// PathPrefix begins and ends with a slash; the longest matching prefix wins.
	PathPrefix string     `json:"pathPrefix" cbor:"pathPrefix"`
	Repeat     RepeatRule `json:"repeat" cbor:"repeat"`
	// Public is set if the route needs no key.
	Public bool `json:"public,omitempty" cbor:"public,omitempty"`
	// Stream is set if answers are streams of events.
	Stream bool `json:"stream,omitempty" cbor:"stream,omitempty"`
	// Timeout bounds the time until the answer is complete.
	Timeout Duration `json:"timeout" cbor:"timeout"`
	// AnswerWithin is the target time to the answer, or to a stream's first event.
	// PauseWithin is the target for the pause between two events.
	AnswerWithin Duration `json:"answerWithin,omitempty" cbor:"answerWithin,omitempty"`
	PauseWithin  Duration `json:"pauseWithin,omitempty" cbor:"pauseWithin,omitempty"`
	// Rank is the priority among competing requests; 0 is served first.
	Rank int `json:"rank,omitempty" cbor:"rank,omitempty"`
	// Attempts bounds how many backend servers one request is sent to.
	Attempts int `json:"attempts" cbor:"attempts"`
	// Targets are the services that share the requests by weight.
	Targets []RouteTarget `json:"targets" cbor:"targets"`
}

// RouteTarget is one service of a route and its weight among the others.
type RouteTarget struct {
	Service string  `json:"service" cbor:"service"`
	Weight  float64 `json:"weight" cbor:"weight"`
}

// RouteService is a group of interchangeable backend servers.
type RouteService struct {
	Name       string `json:"name" cbor:"name"`
	HealthPath string `json:"healthPath,omitempty" cbor:"healthPath,omitempty"`
	// MaxConnections is how many connections one backend server accepts from all its
	// clients together.
	MaxConnections int `json:"maxConnections,omitempty" cbor:"maxConnections,omitempty"`
	// Engine is set for model engines.
	Engine *EngineLimits `json:"engine,omitempty" cbor:"engine,omitempty"`
}

// EngineLimits describes the capacity of each engine of a service.
type EngineLimits struct {
	// Slots is how many requests an engine processes at once.
	Slots int `json:"slots" cbor:"slots"`
	// KVTokens is the size of the KV memory in tokens, TokenBytes the size of one
	// token's KV cache in bytes.
	KVTokens   int   `json:"kvTokens" cbor:"kvTokens"`
	TokenBytes int64 `json:"tokenBytes" cbor:"tokenBytes"`
	// TokensPerPart is how many output tokens one part of a stream holds; zero means
	// that the number is not known.
	TokensPerPart int `json:"tokensPerPart,omitempty" cbor:"tokensPerPart,omitempty"`
	// LinkMbps is the bandwidth of the engine's link for KV transfers.
	LinkMbps float64 `json:"linkMbps" cbor:"linkMbps"`
	// ResultLives is how long a prefill result is kept for its transfer.
	ResultLives Duration `json:"resultLives" cbor:"resultLives"`
	// RoleChange is how long an engine is unavailable while it changes its pool role.
	RoleChange Duration `json:"roleChange,omitempty" cbor:"roleChange,omitempty"`
	// HoldWithin bounds how long memory can be reserved ahead.
	HoldWithin Duration `json:"holdWithin,omitempty" cbor:"holdWithin,omitempty"`
}

// CallerLimits bounds the size of callers' requests and how slowly they may arrive.
// Zero means the default of the process.
type CallerLimits struct {
	MaxHeaderBytes int      `json:"maxHeaderBytes,omitempty" cbor:"maxHeaderBytes,omitempty"`
	MaxBodyBytes   int64    `json:"maxBodyBytes,omitempty" cbor:"maxBodyBytes,omitempty"`
	HeaderTimeout  Duration `json:"headerTimeout,omitempty" cbor:"headerTimeout,omitempty"`
	IdleTimeout    Duration `json:"idleTimeout,omitempty" cbor:"idleTimeout,omitempty"`
}

// Check validates the whole routing. The error is an *InvalidError that lists every
// invalid field.
func (r Routing) Check() error {
	c := &checker{}
	services := map[string]bool{}
	for i, s := range r.Services {
		if s.Name == "" {
			c.add(indexed("services", i, "name"), "is empty", "a name")
		}
		if services[s.Name] {
			c.add(indexed("services", i, "name"), "is given twice", "names that differ")
		}
		services[s.Name] = true
	}
	prefixes := map[[2]string]bool{}
	for i, route := range r.Routes {
		route.check(c, i, services)
		prefix := [2]string{HostKey(route.Host), route.PathPrefix}
		if prefixes[prefix] {
			c.add(indexed("routes", i, "pathPrefix"), "is taken by another route of the host", "one route for each host and prefix")
		}
		prefixes[prefix] = true
	}
	r.checkOrganisations(c)
	if len(c.fields) > 0 {
		return &InvalidError{Fields: c.fields}
	}
	return nil
}

// HostKey returns a host in lower case without its port, since routes match regardless of case and
// port.
func HostKey(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

func (r Route) check(c *checker, at int, services map[string]bool) {
	if r.Host == "" {
		c.add(indexed("routes", at, "host"), "is empty", "a host name")
	}
	if r.PathPrefix == "" || r.PathPrefix[0] != '/' || r.PathPrefix[len(r.PathPrefix)-1] != '/' {
		c.add(indexed("routes", at, "pathPrefix"), "does not begin and end with a slash", `text such as "/plans/"`)
	}
	if r.Timeout <= 0 {
		c.add(indexed("routes", at, "timeout"), "is not above zero", "a duration above 0s")
	}
	switch r.Repeat {
	case RepeatIdempotent, RepeatNever, RepeatResumable:
	default:
		c.add(indexed("routes", at, "repeat"), "is not known", "idempotent, atMostOnce or resumable")
	}
	total := 0.0
	for _, t := range r.Targets {
		if !services[t.Service] {
			c.add(indexed("routes", at, "targets"), "names a service that is not listed", "names of services")
		}
		if t.Weight < 0 {
			c.add(indexed("routes", at, "targets"), "has a weight below 0", "weights from 0")
		}
		total += t.Weight
	}
	if total <= 0 {
		c.add(indexed("routes", at, "targets"), "has weights that add up to 0", "at least one weight above 0")
	}
}

// indexed returns the path of a field of a list element.
func indexed(list string, at int, field string) string {
	return fmt.Sprintf("%s[%d].%s", list, at, field)
}
