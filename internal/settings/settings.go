// Package settings reads and checks the TOML settings of every role. All
// errors are found at once, each with its file and line, before a process
// listens anywhere.
package settings

import "github.com/oriolebend/oriolebend/pkg/oriolebend"

// Settings is one process's settings file. Each role reads the tables it
// needs; the others may be left out.
type Settings struct {
	Node          Node           `toml:"node"`
	Log           Log            `toml:"log"`
	TLS           TLS            `toml:"tls"`
	Peer          Peer           `toml:"peer"`
	Caller        Caller         `toml:"caller"`
	Forward       Forward        `toml:"forward"`
	Operator      Operator       `toml:"operator"`
	Metrics       Metrics        `toml:"metrics"`
	Control       Control        `toml:"control"`
	Sidecar       Sidecar        `toml:"sidecar"`
	Policy        Policy         `toml:"policy"`
	Organisations []Organisation `toml:"organisations"`
	Operations    []Operation    `toml:"operations"`
	Services      []ServiceRoute `toml:"services"`
	Dev           Dev            `toml:"dev"`

	// origin tells where each setting came from; nil for settings that were
	// not read from a file.
	origin *origin
}

// Node says which process this is and where it stands.
type Node struct {
	Name          string `toml:"name"`
	Region        string `toml:"region"`
	FailureDomain string `toml:"failureDomain"`
	// MemoryMB is what the process may use; its garbage is collected more
	// often as it comes near. Zero means no bound.
	MemoryMB int `toml:"memoryMB"`
	// MaxHeldBytes bounds the bodies of requests and answers that the process holds for
	// others, all together; zero means 0.3 of memoryMB, or 64 MiB without it.
	MaxHeldBytes int64 `toml:"maxHeldBytes"`
}

const (
	// heldShare leaves the rest of the memory to the program, its connections, what it knows
	// of the fleet, and what the collector has not yet freed.
	heldShare        = 0.3
	defaultHeldBytes = 64 << 20
	// connectionShare is the part of the memory for callers' connections, connectionBytes
	// what an idle one takes: its goroutines, buffers and socket.
	connectionShare = 0.25
	connectionBytes = 20 << 10
	// mostConnections is under the 4,096 descriptors that small VMs allow.
	mostConnections = 3000
)

// HeldBytes is how many bytes of bodies the process holds at most.
func (n Node) HeldBytes() int64 {
	switch {
	case n.MaxHeldBytes > 0:
		return n.MaxHeldBytes
	case n.MemoryMB > 0:
		return int64(heldShare * float64(n.bytes()))
	}
	return defaultHeldBytes
}

// Connections is how many connections of callers the process has room for.
func (n Node) Connections() int {
	if n.MemoryMB == 0 {
		return mostConnections
	}
	return min(mostConnections, int(connectionShare*float64(n.bytes()))/connectionBytes)
}

func (n Node) bytes() int64 { return int64(n.MemoryMB) << 20 }

// Log sets what is logged and how.
type Log struct {
	// Level is "debug", "info", "warn" or "error"; empty means "info".
	Level string `toml:"level"`
	// Format is "text" or "json"; empty means "text".
	Format string `toml:"format"`
}

// TLS names the files of this process's certificate and of the authority
// that signed those of its peers.
type TLS struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
}

// Peer sets where the system's own processes reach this one.
type Peer struct {
	// Listen is an IP:port for UDP.
	Listen string `toml:"listen"`
	// Trust says by what peers are believed; empty means "certificates".
	Trust PeerTrust `toml:"trust"`
}

// PeerTrust says by what the system's own processes believe each other.
type PeerTrust string

const (
	// TrustCertificates believes whom the authority of the tls table signed.
	TrustCertificates PeerTrust = "certificates"
	// TrustNetwork believes every process that can reach the port. It is for
	// networks that only the system's own processes can reach and where no
	// keys can be handed out: who gets into such a network can take part in
	// every decision.
	TrustNetwork PeerTrust = "network"
)

// Forward sets the HTTP side towards callers of routes.
type Forward struct {
	Listen string `toml:"listen"`
	// MaxConnections bounds the callers' connections; zero means as many as node.memoryMB has
	// room for, 3,000 at most.
	MaxConnections int `toml:"maxConnections"`
	// StopDelay is how long a stopping process fails its balancer check before
	// it closes idle connections; zero means 3s.
	StopDelay Duration `toml:"stopDelay"`
	// StopWithin bounds a graceful stop; what is in progress then is cut. Zero
	// means 30s.
	StopWithin Duration `toml:"stopWithin"`
	// RetryShare and RetrySlack bound what all processes together send to a
	// service again within RetryWindow: that share of the requests, and the
	// slack besides. Zero means 0.2, 50 and 10s.
	RetryShare  float64  `toml:"retryShare"`
	RetrySlack  float64  `toml:"retrySlack"`
	RetryWindow Duration `toml:"retryWindow"`
}

// Caller sets the HTTP side towards callers.
type Caller struct {
	Listen string `toml:"listen"`
	// MaxBodyBytes bounds a request's body; zero means 8 MiB.
	MaxBodyBytes int64 `toml:"maxBodyBytes"`
	// MaxHeldBytes bounds the bodies of all requests in progress; zero means
	// node.maxHeldBytes.
	MaxHeldBytes int64 `toml:"maxHeldBytes"`
	// MaxPromptTokens bounds a prompt; zero means 65,536.
	MaxPromptTokens int `toml:"maxPromptTokens"`
	// MaxOutputTokens bounds an output; zero means 4,096.
	MaxOutputTokens int `toml:"maxOutputTokens"`
	// HeaderTimeout and BodyTimeout end slow callers; zero means 5s and 30s.
	HeaderTimeout Duration `toml:"headerTimeout"`
	BodyTimeout   Duration `toml:"bodyTimeout"`
	// StopDelay is how long /readyz fails before a stopping entry closes its
	// port, so that the balancer looks away first; zero means 3s.
	StopDelay Duration `toml:"stopDelay"`
	// MaxConnections bounds the callers' connections; zero means 4,096.
	MaxConnections int `toml:"maxConnections"`
	// Open lets callers in without a token; only dev sets it.
	Open bool `toml:"open"`
}

// Operator sets the HTTP side towards operators, on control VMs.
type Operator struct {
	Listen string   `toml:"listen"`
	Tokens []string `toml:"tokens"`
	// Open lets operators in without a token; only dev sets it.
	Open bool `toml:"open"`
}

// Metrics sets where metrics and health are served.
type Metrics struct {
	Listen string `toml:"listen"`
}

// Control names the control VMs and, on one of them, its own part.
type Control struct {
	// Members lists every control VM.
	Members []Member `toml:"members"`
	// DataFolder holds the log and snapshots; only control VMs set it.
	DataFolder string `toml:"dataFolder"`
	// Seeds are addresses of some control VMs, IP:port, in place of Members
	// where nobody knows them all beforehand: the others join through them.
	// Each control VM is then named by its IP.
	Seeds []string `toml:"seeds"`
	// SeedPort is the peer port of every control VM, if Seeds carry another
	// port of theirs; zero means that they carry this one.
	SeedPort int `toml:"seedPort"`
	// Found is set on the first start of the whole system only: the seeds then
	// found the group.
	Found bool `toml:"found"`
	// MinFreeBytes is how much room the disk must have for changes to be
	// taken; zero means 64 MiB.
	MinFreeBytes int64 `toml:"minFreeBytes"`
	// LogBytes is how much log leads to a snapshot; zero means 64 MiB.
	LogBytes int64 `toml:"logBytes"`
	// QuotaOvershoot and QuotaSlack are by how much the quota of an organisation may be
	// exceeded within QuotaWindow: by that share, and by the slack besides, in the unit of
	// the quota. Without QuotaWindow they are 0.1, nothing and 8s.
	QuotaOvershoot float64  `toml:"quotaOvershoot"`
	QuotaSlack     float64  `toml:"quotaSlack"`
	QuotaWindow    Duration `toml:"quotaWindow"`
}

// Member is one control VM.
type Member struct {
	Name          string `toml:"name"`
	Address       string `toml:"address"`
	FailureDomain string `toml:"failureDomain"`
	// OperatorAddress is where operators reach it, IP:port; another control VM
	// redirects orders there. Empty means that it tells them to try the next.
	OperatorAddress string `toml:"operatorAddress"`
}

// Sidecar sets what stands behind a gate: an engine or a plain service.
type Sidecar struct {
	// Server is the name of the backend server.
	Server string `toml:"server"`
	// Engine is the engine's base URL.
	Engine string `toml:"engine"`
	// Service is the plain service's name, and ServiceURL its base URL.
	Service    string `toml:"service"`
	ServiceURL string `toml:"serviceURL"`
	// ChecksFencing is true if the engine refuses orders that carry an old
	// fencing number.
	ChecksFencing bool `toml:"checksFencing"`
	// Concurrency bounds the calls of a plain service in progress; zero means
	// 64.
	Concurrency int `toml:"concurrency"`
}

// Policy sets latency targets and limits of routing.
type Policy struct {
	// Route is "reserve", "random", "roundRobin", "leastLoad" or "affinity";
	// empty means "reserve".
	Route string `toml:"route"`
	// FirstWithin is the target of the time to the first token; zero means
	// 1.2s.
	FirstWithin Duration `toml:"firstWithin"`
	// BetweenWithin is the target of the time between tokens; zero means 41ms.
	BetweenWithin Duration `toml:"betweenWithin"`
	// Lease is how long a reservation lives unrenewed; zero means 3s.
	Lease Duration `toml:"lease"`
	// KeepRecords is how long a settled record is kept; zero means 24h.
	KeepRecords Duration `toml:"keepRecords"`
	// KeepAnswers is how long a stored answer is kept; zero means 1h.
	KeepAnswers Duration `toml:"keepAnswers"`
}

// Organisation is one organisation of callers.
type Organisation struct {
	Name   string   `toml:"name"`
	Tokens []string `toml:"tokens"`
	// Share weighs the organisation in queues; zero means 1.
	Share float64 `toml:"share"`
	// Operations lists what the organisation may ask for; empty means all.
	Operations []string `toml:"operations"`
	// Urgencies lists what the organisation may ask for; empty means both.
	Urgencies []oriolebend.Urgency `toml:"urgencies"`
}

// Operation sets how requests of one name are treated. Callers name it in the
// Oriolebend-Operation header; unnamed requests are "completion".
type Operation struct {
	Name    string             `toml:"name"`
	Urgency oriolebend.Urgency `toml:"urgency"`
	// KeepRunning lets a request go on after its caller left.
	KeepRunning bool     `toml:"keepRunning"`
	FirstWithin Duration `toml:"firstWithin"`
}

// ServiceRoute sets how calls of one plain service are treated.
type ServiceRoute struct {
	Name  string      `toml:"name"`
	Calls []CallRoute `toml:"calls"`
}

// CallRoute sets how calls of one method and path prefix are treated. Calls
// that match none may run at most once.
type CallRoute struct {
	Method string `toml:"method"`
	Path   string `toml:"path"`
	// Repeatable is true if the call may be run again after a failure.
	Repeatable bool               `toml:"repeatable"`
	Urgency    oriolebend.Urgency `toml:"urgency"`
	// StatusPath is the call that tells the outcome of an earlier one by its
	// identity; "{identity}" in it is replaced.
	StatusPath string `toml:"statusPath"`
}

// Dev describes the stand-ins that "oriolebend dev" runs.
type Dev struct {
	Entries  int         `toml:"entries"`
	Controls int         `toml:"controls"`
	Servers  []DevServer `toml:"servers"`
}

// DevServer describes stand-in backend servers that are alike.
type DevServer struct {
	// NamePrefix is followed by a number from 1.
	NamePrefix     string              `toml:"namePrefix"`
	Count          int                 `toml:"count"`
	Role           oriolebend.PoolRole `toml:"role"`
	FailureDomains []string            `toml:"failureDomains"`
	Model          string              `toml:"model"`
	Version        string              `toml:"version"`
	Adapters       []string            `toml:"adapters"`
	Service        string              `toml:"service"`
	// PrefillTokens is how many prompt tokens a second a prefill computes;
	// zero means 20,000.
	PrefillTokens float64 `toml:"prefillTokens"`
	// DecodeStep is the time between output tokens; zero means 25ms.
	DecodeStep Duration `toml:"decodeStep"`
	// KVTokens is the size of the KV memory in tokens; zero means 160,000.
	KVTokens int `toml:"kvTokens"`
	// LinkBytes is the link's rate in bytes a second; zero means 2e9.
	LinkBytes float64 `toml:"linkBytes"`
	// IgnoresFencing makes the engine accept outdated orders.
	IgnoresFencing bool `toml:"ignoresFencing"`
}

// Duration is a time.Duration written as text, such as "1.2s" or "41ms".
type Duration = oriolebend.Duration
