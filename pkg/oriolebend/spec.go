package oriolebend

import "fmt"

// Spec is the part of a resource that an operator writes: a *Model, *Version,
// *Adapter, *Pool, *DeclaredServer or *Policy. A spec must not be modified once it
// is part of a resource.
type Spec interface {
	// ResourceKind returns the kind of resource that the spec belongs to.
	ResourceKind() ResourceKind
	// check reports to c every invalid field of the spec of the named resource.
	check(c *checker, name string)
}

// Model is a model that callers may request.
type Model struct {
	// Versions are the desired versions; pools may serve no other.
	Versions []string `json:"versions" cbor:"versions"`
}

// Version is one version of a model; it is named "model@version".
type Version struct {
	Model   string `json:"model" cbor:"model"`
	Version string `json:"version" cbor:"version"`
	// WeightURL is where engines fetch the weights.
	WeightURL string `json:"weightURL" cbor:"weightURL"`
	// WeightBytes is the size of the weights.
	WeightBytes int64 `json:"weightBytes" cbor:"weightBytes"`
}

// Adapter is one adapter of a model; it is named "model+adapter".
type Adapter struct {
	Model   string `json:"model" cbor:"model"`
	Adapter string `json:"adapter" cbor:"adapter"`
	// WeightURL is where engines fetch the adapter; empty if the engines already know it.
	WeightURL string `json:"weightURL,omitempty" cbor:"weightURL,omitempty"`
	// WeightBytes is the size of the adapter.
	WeightBytes int64 `json:"weightBytes,omitempty" cbor:"weightBytes,omitempty"`
}

// Pool assigns backend servers to a phase of a model, or to a plain service.
type Pool struct {
	Role     PoolRole `json:"role" cbor:"role"`
	Model    string   `json:"model,omitempty" cbor:"model,omitempty"`
	Version  string   `json:"version,omitempty" cbor:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty" cbor:"adapters,omitempty"`
	// Service is the name of the plain service, for pools with role Service.
	Service string `json:"service,omitempty" cbor:"service,omitempty"`
	// MinServers is how many servers keep serving while others change.
	MinServers int `json:"minServers" cbor:"minServers"`
	// MaxOut bounds how many servers may be out of service for a change at once;
	// zero means 1.
	MaxOut int `json:"maxOut,omitempty" cbor:"maxOut,omitempty"`
	// Servers lists the servers by name; Selector selects them by the attributes
	// that they announce. A server resource that names a pool overrides both.
	Servers  []string  `json:"servers,omitempty" cbor:"servers,omitempty"`
	Selector *Selector `json:"selector,omitempty" cbor:"selector,omitempty"`
}

// Selector selects backend servers; an empty field matches any value.
type Selector struct {
	NamePrefix    string `json:"namePrefix,omitempty" cbor:"namePrefix,omitempty"`
	Region        string `json:"region,omitempty" cbor:"region,omitempty"`
	FailureDomain string `json:"failureDomain,omitempty" cbor:"failureDomain,omitempty"`
}

// DeclaredServer is the desired state of one backend server.
type DeclaredServer struct {
	// State is "serving", "leaving" or "stopping"; empty means serving.
	State ServerState `json:"state,omitempty" cbor:"state,omitempty"`
	// Pool is the pool that the server belongs to; if it is empty, the pools' lists
	// and selectors decide.
	Pool string `json:"pool,omitempty" cbor:"pool,omitempty"`
}

// PolicyName is the name of the one policy resource.
const PolicyName = "default"

// Policy holds the policy settings that can change at run time. A zero field leaves
// the value of each process's settings file in force.
type Policy struct {
	// FirstWithin is the target for the time to the first token, BetweenWithin the
	// target for the time between tokens.
	FirstWithin   Duration `json:"firstWithin,omitempty" cbor:"firstWithin,omitempty"`
	BetweenWithin Duration `json:"betweenWithin,omitempty" cbor:"betweenWithin,omitempty"`
	// Lease is how long a reservation lasts without renewal.
	Lease Duration `json:"lease,omitempty" cbor:"lease,omitempty"`
	// KeepRecords is how long a settled record is kept, KeepAnswers how long its
	// stored answer is kept.
	KeepRecords Duration `json:"keepRecords,omitempty" cbor:"keepRecords,omitempty"`
	KeepAnswers Duration `json:"keepAnswers,omitempty" cbor:"keepAnswers,omitempty"`
	// RetryBudget bounds the share of attempts that may be retries.
	RetryBudget float64 `json:"retryBudget,omitempty" cbor:"retryBudget,omitempty"`
	// Shares holds the weights of organisations in queues; the weight of an
	// organisation that is not listed is 1.
	Shares map[string]float64 `json:"shares,omitempty" cbor:"shares,omitempty"`
	// WeightLoads bounds how many servers may load weights at once; zero means 2.
	WeightLoads int `json:"weightLoads,omitempty" cbor:"weightLoads,omitempty"`
}

// ResourceKind implements Spec.
func (*Model) ResourceKind() ResourceKind { return KindModel }

// ResourceKind implements Spec.
func (*Version) ResourceKind() ResourceKind { return KindVersion }

// ResourceKind implements Spec.
func (*Adapter) ResourceKind() ResourceKind { return KindAdapter }

// ResourceKind implements Spec.
func (*Pool) ResourceKind() ResourceKind { return KindPool }

// ResourceKind implements Spec.
func (*DeclaredServer) ResourceKind() ResourceKind { return KindServer }

// ResourceKind implements Spec.
func (*Policy) ResourceKind() ResourceKind { return KindPolicy }

func newSpec(kind ResourceKind) (Spec, error) {
	switch kind {
	case KindModel:
		return &Model{}, nil
	case KindVersion:
		return &Version{}, nil
	case KindAdapter:
		return &Adapter{}, nil
	case KindPool:
		return &Pool{}, nil
	case KindServer:
		return &DeclaredServer{}, nil
	case KindPolicy:
		return &Policy{}, nil
	}
	return nil, &InvalidError{Fields: []FieldError{{
		Field:   "kind",
		Problem: fmt.Sprintf("%q is not known", kind),
		Allowed: allowedKinds(),
	}}}
}
