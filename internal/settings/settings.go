// Package settings reads and checks the TOML settings of every role. It reports all
// errors at once, each with its file and line, before a process opens a port.
package settings

import (
	"slices"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Settings is the content of a process's settings file. Each role reads the tables that
// it needs; the other tables may be omitted.
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

	// origin records the source of each setting; it is nil for settings that were not
	// read from a file.
	origin *origin
}

// Node identifies this process and its location.
type Node struct {
	Name          string `toml:"name"`
	Region        string `toml:"region"`
	FailureDomain string `toml:"failureDomain"`
	// MemoryMB is the memory limit of the process; garbage is collected more often as
	// the memory in use approaches it. Zero means no limit.
	MemoryMB int `toml:"memoryMB"`
	// MaxHeldBytes bounds the total size of the bodies of requests and answers that the
	// process holds for others; zero means 0.3 of memoryMB, or 64 MiB without memoryMB.
	MaxHeldBytes int64 `toml:"maxHeldBytes"`
	// LinkMbps is the capacity of the VM's network link in megabits per second; zero means that it
	// is not known.
	LinkMbps float64 `toml:"linkMbps"`
	// MaxProcessorWait is the mean time for which work may wait for the processor until a forwarder
	// refuses new connections; zero means that it is not measured.
	MaxProcessorWait Duration `toml:"maxProcessorWait"`
}

// LinkBytes returns the capacity of the VM's network link in bytes per second.
func (n Node) LinkBytes() float64 { return n.LinkMbps * 1e6 / 8 }

const (
	// heldShare is the part of the memory for held bodies. The rest is for the program, its
	// connections, its state of the fleet, and garbage that has not been collected yet.
	heldShare        = 0.3
	defaultHeldBytes = 64 << 20
	// frameShare is the part of the memory for large frames of other processes; minFrameBytes has room
	// for the largest frame and several routings.
	frameShare    = 0.2
	minFrameBytes = 24 << 20
	// connectionShare is the part of the memory for callers' connections, connectionBytes
	// the size of an idle connection: its goroutines, buffers and socket.
	connectionShare = 0.25
	// controlConnectionShare is that part in a control VM, which holds no requests of callers.
	controlConnectionShare = 0.5
	connectionBytes        = 20 << 10
	// maxDefaultConnections is below the 4,096 file descriptors that small VMs allow.
	maxDefaultConnections = 3000
)

// HeldBytes returns the bound on the bytes of bodies that the process holds.
func (n Node) HeldBytes() int64 {
	switch {
	case n.MaxHeldBytes > 0:
		return n.MaxHeldBytes
	case n.MemoryMB > 0:
		return int64(heldShare * float64(n.bytes()))
	}
	return defaultHeldBytes
}

// FrameBytes returns the bound on the bytes of large frames that the process receives from other
// processes of the system at the same time.
func (n Node) FrameBytes() int64 { return max(minFrameBytes, int64(frameShare*float64(n.bytes()))) }

// Connections returns how many callers' connections fit into the memory of the process.
func (n Node) Connections() int { return n.connectionsWithin(connectionShare) }

// ControlConnections returns how many connections of backend servers and operators fit into the memory
// of a control VM. After a loss of everything all servers connect at once.
func (n Node) ControlConnections() int { return n.connectionsWithin(controlConnectionShare) }

func (n Node) connectionsWithin(share float64) int {
	if n.MemoryMB == 0 {
		return maxDefaultConnections
	}
	return min(maxDefaultConnections, int(share*float64(n.bytes()))/connectionBytes)
}

func (n Node) bytes() int64 { return int64(n.MemoryMB) << 20 }

// Log sets the level and format of the log.
type Log struct {
	// Level is "debug", "info", "warn" or "error"; empty means "info".
	Level string `toml:"level"`
	// Format is "text" or "json"; empty means "text".
	Format string `toml:"format"`
}

// TLS names the files with this process's certificate and key, and with the certificate
// of the authority that signs the certificates of its peers.
type TLS struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
}

// Peer sets the address for the system's other processes and how they are authenticated.
type Peer struct {
	// Listen is the UDP address, IP:port.
	Listen string `toml:"listen"`
	// Trust is how peers are authenticated; empty means "certificates".
	Trust PeerTrust `toml:"trust"`
}

// PeerTrust is how the system's processes authenticate each other.
type PeerTrust string

const (
	// TrustCertificates accepts peers with a certificate signed by the authority of the
	// tls table.
	TrustCertificates PeerTrust = "certificates"
	// TrustNetwork accepts every process that can reach the port. It is for networks
	// that only the system's own processes can reach and where no keys can be
	// distributed. Anyone who gains access to such a network can take part in every
	// decision.
	TrustNetwork PeerTrust = "network"
)

// Forward sets the HTTP server for callers of routes.
type Forward struct {
	Listen string `toml:"listen"`
	// MaxConnections bounds the callers' connections; zero means as many as fit into
	// node.memoryMB, but at most 3,000.
	MaxConnections int `toml:"maxConnections"`
	// StopDelay is how long a stopping process fails the load balancer's health check
	// before it closes idle connections; zero means 3s.
	StopDelay Duration `toml:"stopDelay"`
	// StopWithin bounds a graceful stop; requests still in progress are then cut off.
	// Zero means 30s.
	StopWithin Duration `toml:"stopWithin"`
	// RetryShare and RetrySlack bound the retries that all processes together send to a
	// service within RetryWindow: RetryShare of the requests plus RetrySlack. Zero means
	// 0.2, 50 and 10s.
	RetryShare  float64  `toml:"retryShare"`
	RetrySlack  float64  `toml:"retrySlack"`
	RetryWindow Duration `toml:"retryWindow"`
}

// Caller sets the HTTP server for callers of an entry.
type Caller struct {
	Listen string `toml:"listen"`
	// MaxBodyBytes bounds the body of a request; zero means 8 MiB.
	MaxBodyBytes int64 `toml:"maxBodyBytes"`
	// MaxHeldBytes bounds the bodies of all requests in progress; zero means
	// node.maxHeldBytes.
	MaxHeldBytes int64 `toml:"maxHeldBytes"`
	// MaxPromptTokens bounds a prompt; zero means 65,536.
	MaxPromptTokens int `toml:"maxPromptTokens"`
	// MaxOutputTokens bounds an output; zero means 4,096.
	MaxOutputTokens int `toml:"maxOutputTokens"`
	// HeaderTimeout and BodyTimeout bound how long a caller may take to send the header
	// and the body; zero means 5s and 30s.
	HeaderTimeout Duration `toml:"headerTimeout"`
	BodyTimeout   Duration `toml:"bodyTimeout"`
	// StopDelay is how long /readyz fails before a stopping entry closes its port, so
	// that the load balancer stops sending requests first; zero means 3s.
	StopDelay Duration `toml:"stopDelay"`
	// MaxConnections bounds the callers' connections; zero means 4,096.
	MaxConnections int `toml:"maxConnections"`
	// Open admits callers without a token; only dev may set it.
	Open bool `toml:"open"`
}

// Operator sets the HTTP server for operators on control VMs.
type Operator struct {
	Listen string   `toml:"listen"`
	Tokens []string `toml:"tokens"`
	// Open admits operators without a token; only dev may set it.
	Open bool `toml:"open"`
}

// Metrics sets the address that serves metrics and health checks.
type Metrics struct {
	Listen string `toml:"listen"`
}

// Control names the control VMs and, on a control VM, holds its own settings.
type Control struct {
	// Members lists every control VM.
	Members []Member `toml:"members"`
	// DataFolder is the folder for the log and snapshots; only control VMs set it.
	DataFolder string `toml:"dataFolder"`
	// Seeds are the addresses, IP:port, of some control VMs. They replace Members where
	// not all control VMs are known in advance: the others join through the seeds. Each
	// control VM is then named by its IP.
	Seeds []string `toml:"seeds"`
	// SeedPort is the peer port of every control VM, if the addresses in Seeds carry a
	// different port; zero means that they carry the peer port.
	SeedPort int `toml:"seedPort"`
	// Found is whether this control VM founds the group with the other seeds if its data folder is
	// new; nil means true. It should be false on every start but the first of the whole system.
	Found *bool `toml:"found"`
	// LostDisks is the number of control VMs found through seeds that may lose their disks at the same
	// time; zero means one.
	LostDisks int `toml:"lostDisks"`
	// MinFreeBytes is the free disk space below which changes are refused; zero means
	// 64 MiB.
	MinFreeBytes int64 `toml:"minFreeBytes"`
	// LogBytes is the size of the log at which a snapshot is taken; zero means 64 MiB.
	LogBytes int64 `toml:"logBytes"`
	// QuotaOvershoot and QuotaSlack bound by how much the quota of an organisation may be
	// exceeded within QuotaWindow: by the share QuotaOvershoot plus QuotaSlack, in the unit
	// of the quota. Without QuotaWindow they are 0.1, 0 and 8s.
	QuotaOvershoot float64  `toml:"quotaOvershoot"`
	QuotaSlack     float64  `toml:"quotaSlack"`
	QuotaWindow    Duration `toml:"quotaWindow"`
	// Disable lists the features that this control VM does not use.
	Disable []Feature `toml:"disable"`
}

// Feature is a part of the decisions under load that operators can disable.
type Feature string

const (
	// FeatureQuotaLeases lets control VMs without a leader grant quotas under leases.
	FeatureQuotaLeases Feature = "quotaLeases"
	// FeatureQuotaRanks refuses the least urgent requests of an organisation first once
	// its quota is short.
	FeatureQuotaRanks Feature = "quotaRanks"
	// FeatureMemoryRanks keeps engine memory free for urgent requests in a shortage.
	FeatureMemoryRanks Feature = "memoryRanks"
	// FeatureEngineSpeeds chooses engines by their speed.
	FeatureEngineSpeeds Feature = "engineSpeeds"
	// FeatureRestoredServers keeps the list of backend servers over a restart.
	FeatureRestoredServers Feature = "restoredServers"
)

// MayFound reports whether a control VM with a new data folder founds the group with the other seeds.
func (c Control) MayFound() bool { return c.Found == nil || *c.Found }

// Enabled reports whether a feature is in use.
func (c Control) Enabled(f Feature) bool { return !slices.Contains(c.Disable, f) }

// Member is one control VM.
type Member struct {
	Name          string `toml:"name"`
	Address       string `toml:"address"`
	FailureDomain string `toml:"failureDomain"`
	// OperatorAddress is the address, IP:port, of the operator API of this control VM;
	// other control VMs redirect orders to it. If it is empty, they tell operators to try
	// the next control VM.
	OperatorAddress string `toml:"operatorAddress"`
}

// Sidecar sets the backend behind a gate: an engine or a plain service.
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
	// Concurrency bounds the calls in progress at a plain service; zero means 64.
	Concurrency int `toml:"concurrency"`
}

// Policy sets latency targets and routing limits.
type Policy struct {
	// Route is "reserve", "random", "roundRobin", "leastLoad" or "affinity";
	// empty means "reserve".
	Route string `toml:"route"`
	// FirstWithin is the target for the time to the first token; zero means 1.2s.
	FirstWithin Duration `toml:"firstWithin"`
	// BetweenWithin is the target for the time between tokens; zero means 41ms.
	BetweenWithin Duration `toml:"betweenWithin"`
	// Lease is how long a reservation lasts without renewal; zero means 3s.
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
	// Share is the weight of the organisation in queues; zero means 1.
	Share float64 `toml:"share"`
	// Operations lists the operations that the organisation may request; empty means all.
	Operations []string `toml:"operations"`
	// Urgencies lists the urgencies that the organisation may request; empty means both.
	Urgencies []oriolebend.Urgency `toml:"urgencies"`
}

// Operation sets how the requests of one operation are treated. Callers name the
// operation in the Oriolebend-Operation header; requests without it are "completion".
type Operation struct {
	Name    string             `toml:"name"`
	Urgency oriolebend.Urgency `toml:"urgency"`
	// KeepRunning lets a request continue after its caller disconnected.
	KeepRunning bool     `toml:"keepRunning"`
	FirstWithin Duration `toml:"firstWithin"`
}

// ServiceRoute sets how calls of one plain service are treated.
type ServiceRoute struct {
	Name  string      `toml:"name"`
	Calls []CallRoute `toml:"calls"`
}

// CallRoute sets how calls with one method and path prefix are treated. Calls that match
// no CallRoute may run at most once.
type CallRoute struct {
	Method string `toml:"method"`
	Path   string `toml:"path"`
	// Repeatable is true if the call may be run again after a failure.
	Repeatable bool               `toml:"repeatable"`
	Urgency    oriolebend.Urgency `toml:"urgency"`
	// StatusPath is the path of the call that returns the outcome of an earlier call.
	// "{identity}" in the path is replaced by the identity of the earlier call.
	StatusPath string `toml:"statusPath"`
}

// Dev describes the stand-ins that "oriolebend dev" runs.
type Dev struct {
	Entries  int         `toml:"entries"`
	Controls int         `toml:"controls"`
	Servers  []DevServer `toml:"servers"`
}

// DevServer describes a set of identical stand-in backend servers.
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
	// PrefillTokens is how many prompt tokens a prefill computes per second; zero means
	// 20,000.
	PrefillTokens float64 `toml:"prefillTokens"`
	// DecodeStep is the time between output tokens; zero means 25ms.
	DecodeStep Duration `toml:"decodeStep"`
	// KVTokens is the size of the KV memory in tokens; zero means 160,000.
	KVTokens int `toml:"kvTokens"`
	// LinkBytes is the bandwidth of the link in bytes per second; zero means 2e9.
	LinkBytes float64 `toml:"linkBytes"`
	// IgnoresFencing makes the engine accept outdated orders.
	IgnoresFencing bool `toml:"ignoresFencing"`
}

// Duration is a time.Duration written as text, such as "1.2s" or "41ms".
type Duration = oriolebend.Duration
