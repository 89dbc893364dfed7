package oriolebend

import "fmt"

// Routing is everything that decides where callers' plain HTTP requests may
// go. It is declared and replaced as a whole: two operators who each changed a
// part could otherwise bring a mixture into force that neither of them wrote.
type Routing struct {
	// Version is the operators' number for this routing. The highest one that
	// was ever accepted is in force.
	Version  uint64         `json:"version" cbor:"version"`
	Routes   []Route        `json:"routes" cbor:"routes"`
	Services []RouteService `json:"services" cbor:"services"`
	Limits   CallerLimits   `json:"limits,omitzero" cbor:"limits"`
	// Keyed is set if callers show a key on every route that is not public. It is implied
	// by Organisations, and stays when the last of these is removed: a routing that has
	// lost its organisations must not let everybody in.
	Keyed         bool           `json:"keyed,omitempty" cbor:"keyed,omitempty"`
	Organisations []Organisation `json:"organisations,omitempty" cbor:"organisations,omitempty"`
}

// NeedsKeys reports whether callers show a key on routes that are not public.
func (r Routing) NeedsKeys() bool { return r.Keyed || len(r.Organisations) > 0 }

// RepeatRule says what may be done with a request whose outcome is not known.
type RepeatRule string

// Repeat rules.
const (
	// RepeatIdempotent requests may run any number of times.
	RepeatIdempotent RepeatRule = "idempotent"
	// RepeatNever requests run at most once.
	RepeatNever RepeatRule = "atMostOnce"
	// RepeatResumable streams may go on at another backend server behind the
	// last event that was delivered.
	RepeatResumable RepeatRule = "resumable"
)

// Repeatable reports whether a request may be sent again after it may have run.
func (r RepeatRule) Repeatable() bool { return r == RepeatIdempotent || r == RepeatResumable }

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name string `json:"name" cbor:"name"`
	Host string `json:"host" cbor:"host"`
	// PathPrefix begins and ends with a slash; the longest that fits wins.
	PathPrefix string     `json:"pathPrefix" cbor:"pathPrefix"`
	Repeat     RepeatRule `json:"repeat" cbor:"repeat"`
	// Public routes need no key.
	Public bool `json:"public,omitempty" cbor:"public,omitempty"`
	// Stream is set if answers are streams of events.
	Stream bool `json:"stream,omitempty" cbor:"stream,omitempty"`
	// Timeout bounds the whole answer.
	Timeout Duration `json:"timeout" cbor:"timeout"`
	// AnswerWithin is the target for the answer, or for a stream's first event;
	// PauseWithin the one for the pause between two events.
	AnswerWithin Duration `json:"answerWithin,omitempty" cbor:"answerWithin,omitempty"`
	PauseWithin  Duration `json:"pauseWithin,omitempty" cbor:"pauseWithin,omitempty"`
	// Rank orders requests that compete; 0 goes first.
	Rank int `json:"rank,omitempty" cbor:"rank,omitempty"`
	// Attempts is how many backend servers one request may be sent to.
	Attempts int `json:"attempts" cbor:"attempts"`
	// Targets share the requests by weight.
	Targets []RouteTarget `json:"targets" cbor:"targets"`
}

// RouteTarget is one service of a route and its weight among the others.
type RouteTarget struct {
	Service string  `json:"service" cbor:"service"`
	Weight  float64 `json:"weight" cbor:"weight"`
}

// RouteService is a group of backend servers that answer alike.
type RouteService struct {
	Name       string `json:"name" cbor:"name"`
	HealthPath string `json:"healthPath,omitempty" cbor:"healthPath,omitempty"`
	// MaxConnections is what one backend server accepts from all its clients
	// together.
	MaxConnections int `json:"maxConnections,omitempty" cbor:"maxConnections,omitempty"`
	// Engine is set for model engines.
	Engine *EngineLimits `json:"engine,omitempty" cbor:"engine,omitempty"`
}

// EngineLimits is what the engines of a service can hold.
type EngineLimits struct {
	// Slots is how many requests an engine works on at once.
	Slots int `json:"slots" cbor:"slots"`
	// KVTokens is the size of the KV memory, TokenBytes the bytes of one token.
	KVTokens   int   `json:"kvTokens" cbor:"kvTokens"`
	TokenBytes int64 `json:"tokenBytes" cbor:"tokenBytes"`
	// TokensPerPart is how many tokens of output a part of a stream holds; zero means that
	// it is not known.
	TokensPerPart int `json:"tokensPerPart,omitempty" cbor:"tokensPerPart,omitempty"`
	// LinkMbps is the rate of the engine's link for KV transfers.
	LinkMbps float64 `json:"linkMbps" cbor:"linkMbps"`
	// ResultLives is how long a prefill result is kept for its transfer.
	ResultLives Duration `json:"resultLives" cbor:"resultLives"`
	// RoleChange is how long an engine is away to change its pool role.
	RoleChange Duration `json:"roleChange,omitempty" cbor:"roleChange,omitempty"`
	// HoldWithin is the longest that memory can be reserved ahead.
	HoldWithin Duration `json:"holdWithin,omitempty" cbor:"holdWithin,omitempty"`
}

// CallerLimits bounds what callers may send and how slowly; zero leaves a
// bound to the process's defaults.
type CallerLimits struct {
	MaxHeaderBytes int      `json:"maxHeaderBytes,omitempty" cbor:"maxHeaderBytes,omitempty"`
	MaxBodyBytes   int64    `json:"maxBodyBytes,omitempty" cbor:"maxBodyBytes,omitempty"`
	HeaderTimeout  Duration `json:"headerTimeout,omitempty" cbor:"headerTimeout,omitempty"`
	IdleTimeout    Duration `json:"idleTimeout,omitempty" cbor:"idleTimeout,omitempty"`
}

// Check finds everything that is wrong with a routing. The error is an
// *InvalidError.
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
	places := map[[2]string]bool{}
	for i, route := range r.Routes {
		route.check(c, i, services)
		place := [2]string{route.Host, route.PathPrefix}
		if places[place] {
			c.add(indexed("routes", i, "pathPrefix"), "is taken by another route of the host", "one route for each host and prefix")
		}
		places[place] = true
	}
	r.checkOrganisations(c)
	if len(c.fields) > 0 {
		return &InvalidError{Fields: c.fields}
	}
	return nil
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

// indexed is the path of a field of an element of a list.
func indexed(list string, at int, field string) string {
	return fmt.Sprintf("%s[%d].%s", list, at, field)
}
