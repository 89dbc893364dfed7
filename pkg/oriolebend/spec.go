package oriolebend

import "fmt"

// Spec is the part of a resource that an operator writes: a *Model, *Version,
// *Adapter, *Pool, *DeclaredServer or *Policy. Specs are not changed once they
// are part of a resource.
type Spec interface {
	// ResourceKind tells which kind of resource the spec belongs to.
	ResourceKind() ResourceKind
	// check adds what is wrong with the spec of a resource of this name.
	check(c *checker, name string)
}

// Model is a model that callers may name.
type Model struct {
	// Versions are the versions wanted; pools may serve no other.
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
	// WeightURL is where engines fetch the adapter; empty if they know it.
	WeightURL string `json:"weightURL,omitempty" cbor:"weightURL,omitempty"`
	// WeightBytes is the size of the adapter.
	WeightBytes int64 `json:"weightBytes,omitempty" cbor:"weightBytes,omitempty"`
}

// Pool says which backend servers run which phase of which model, or which
// plain service.
type Pool struct {
	Role     PoolRole `json:"role" cbor:"role"`
	Model    string   `json:"model,omitempty" cbor:"model,omitempty"`
	Version  string   `json:"version,omitempty" cbor:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty" cbor:"adapters,omitempty"`
	// Service is the plain service, for pools of that role.
	Service string `json:"service,omitempty" cbor:"service,omitempty"`
	// MinServers is how many servers keep serving while others change.
	MinServers int `json:"minServers" cbor:"minServers"`
	// MaxOut is how many servers may be out of work for a change at once;
	// zero means 1.
	MaxOut int `json:"maxOut,omitempty" cbor:"maxOut,omitempty"`
	// Servers lists the servers by name; Selector picks them by what they
	// announce. A server resource that names a pool goes before both.
	Servers  []string  `json:"servers,omitempty" cbor:"servers,omitempty"`
	Selector *Selector `json:"selector,omitempty" cbor:"selector,omitempty"`
}

// Selector picks backend servers; empty fields match any.
type Selector struct {
	NamePrefix    string `json:"namePrefix,omitempty" cbor:"namePrefix,omitempty"`
	Region        string `json:"region,omitempty" cbor:"region,omitempty"`
	FailureDomain string `json:"failureDomain,omitempty" cbor:"failureDomain,omitempty"`
}

// DeclaredServer is what operators want of one backend server.
type DeclaredServer struct {
	// State is "serving", "leaving" or "stopping"; empty means serving.
	State ServerState `json:"state,omitempty" cbor:"state,omitempty"`
	// Pool is the pool that the server belongs to; empty leaves it to the
	// pools' lists and selectors.
	Pool string `json:"pool,omitempty" cbor:"pool,omitempty"`
}

// PolicyName is the name of the one policy resource.
const PolicyName = "default"

// Policy holds the settings of policy that may change at run time. Zero
// fields leave the setting of each process's file in force.
type Policy struct {
	// FirstWithin and BetweenWithin are the targets of the time to the first
	// token and of the time between tokens.
	FirstWithin   Duration `json:"firstWithin,omitempty" cbor:"firstWithin,omitempty"`
	BetweenWithin Duration `json:"betweenWithin,omitempty" cbor:"betweenWithin,omitempty"`
	// Lease is how long a reservation lives unrenewed.
	Lease Duration `json:"lease,omitempty" cbor:"lease,omitempty"`
	// KeepRecords and KeepAnswers are how long a settled record and its stored
	// answer are kept.
	KeepRecords Duration `json:"keepRecords,omitempty" cbor:"keepRecords,omitempty"`
	KeepAnswers Duration `json:"keepAnswers,omitempty" cbor:"keepAnswers,omitempty"`
	// RetryBudget is the greatest share of attempts that may be retries.
	RetryBudget float64 `json:"retryBudget,omitempty" cbor:"retryBudget,omitempty"`
	// Shares weighs organisations in queues; others weigh 1.
	Shares map[string]float64 `json:"shares,omitempty" cbor:"shares,omitempty"`
	// WeightLoads is how many servers may load weights at once; zero means 2.
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
