package settings

import (
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Allowed values of enums.
var (
	logLevels  = []string{"debug", "info", "warn", "error"}
	logFormats = []string{"text", "json"}
	routes     = []string{"reserve", "random", "roundRobin", "leastLoad", "affinity"}
	urgencies  = []string{string(oriolebend.Urgent), string(oriolebend.Patient)}
	peerTrusts = []string{string(TrustCertificates), string(TrustNetwork)}
	poolRoles  = []string{string(oriolebend.Prefill), string(oriolebend.Decode), string(oriolebend.Service)}
	features   = []string{
		string(FeatureQuotaLeases), string(FeatureQuotaRanks), string(FeatureMemoryRanks),
		string(FeatureEngineSpeeds), string(FeatureRestoredServers),
	}
	methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}
)

// identityPlaceholder is replaced by the identity of a call in a status path.
const identityPlaceholder = "{identity}"

// common finds the faults that apply to every role.
func (f *faults) common(s Settings) {
	f.enum("log.level", s.Log.Level, logLevels)
	f.enum("log.format", s.Log.Format, logFormats)
	f.address("peer.listen", s.Peer.Listen)
	f.enum("peer.trust", string(s.Peer.Trust), peerTrusts)
	f.address("caller.listen", s.Caller.Listen)
	f.address("forward.listen", s.Forward.Listen)
	f.address("operator.listen", s.Operator.Listen)
	f.address("metrics.listen", s.Metrics.Listen)
	f.portClash(s)
	f.node(s.Node)
	f.caller(s.Caller)
	f.forward(s.Forward)
	f.seeds(s.Control)
	f.members(s.Control.Members)
	f.sidecar(s.Sidecar)
	f.policy(s.Policy)
	f.organisations(s)
	f.operations(s.Operations)
	f.services(s.Services)
	f.dev(s)
}

// node checks the memory of a process.
func (f *faults) node(n Node) {
	atLeast(f, "node.memoryMB", n.MemoryMB, 0)
	atLeast(f, "node.maxHeldBytes", n.MaxHeldBytes, 0)
	atLeast(f, "node.linkMbps", n.LinkMbps, 0)
	atLeast(f, "node.maxProcessorWait", n.MaxProcessorWait, 0)
	if n.MemoryMB > 0 && n.MaxHeldBytes > n.bytes() {
		f.add("node.maxHeldBytes", CodeClash, "more than the process may use (node.memoryMB is %d)", n.MemoryMB)
	}
}

// enum checks that an optional value is one of the allowed values.
func (f *faults) enum(key, value string, values []string) {
	if value != "" && !slices.Contains(values, value) {
		f.add(key, CodeNotAllowed, "%q is not known; %s", value, allowed(value, values))
	}
}

// address checks an optional IP:port.
func (f *faults) address(key, value string) {
	if value == "" {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		f.add(key, CodeBadAddress, `%q is no address; allowed is IP:port, such as "127.0.0.1:8080" or "[::1]:8080"`, value)
	}
}

func (f *faults) url(key, value string) {
	if value == "" {
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		f.add(key, CodeBadAddress, `%q is no base URL; allowed is http:// or https:// with a host, such as "http://127.0.0.1:9000"`, value)
	}
}

// atLeast checks a number against its smallest allowed value.
func atLeast[N int | int64 | float64 | Duration](f *faults, key string, value, least N) {
	if value >= least {
		return
	}
	if d, ok := any(value).(Duration); ok {
		f.add(key, CodeNotAllowed, "%s is too short; allowed are durations from 0s, where 0s means the default", d)
		return
	}
	f.add(key, CodeNotAllowed, "%v is too small; allowed are numbers from %v", value, least)
}

// portClash checks that no two TCP listeners use the same address. The UDP port of peers
// can't clash with them.
func (f *faults) portClash(s Settings) {
	type listener struct{ key, address string }
	listeners := []listener{
		{"caller.listen", s.Caller.Listen},
		{"forward.listen", s.Forward.Listen},
		{"operator.listen", s.Operator.Listen},
		{"metrics.listen", s.Metrics.Listen},
	}
	for i, a := range listeners {
		for _, b := range listeners[:i] {
			if overlap(a.address, b.address) {
				f.add(a.key, CodeClash, "%s is taken by %s (%s); each needs a port of its own", a.address, b.key, b.address)
			}
		}
	}
}

// overlap reports whether two listeners can't use both addresses at the same time.
func overlap(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	if errX != nil || errY != nil || x.Port() != y.Port() || x.Port() == 0 {
		return false
	}
	return x.Addr() == y.Addr() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified()
}

func (f *faults) forward(s Forward) {
	atLeast(f, "forward.maxConnections", s.MaxConnections, 0)
	atLeast(f, "forward.stopDelay", s.StopDelay, 0)
	atLeast(f, "forward.stopWithin", s.StopWithin, 0)
	atLeast(f, "forward.retryShare", s.RetryShare, 0)
	atLeast(f, "forward.retrySlack", s.RetrySlack, 0)
	atLeast(f, "forward.retryWindow", s.RetryWindow, 0)
}

func (f *faults) seeds(c Control) {
	for i, seed := range c.Seeds {
		f.address(elementPath("control.seeds", i), seed)
	}
	atLeast(f, "control.seedPort", c.SeedPort, 0)
	atLeast(f, "control.lostDisks", c.LostDisks, 0)
	atLeast(f, "control.minFreeBytes", c.MinFreeBytes, 0)
	atLeast(f, "control.logBytes", c.LogBytes, 0)
	atLeast(f, "control.quotaOvershoot", c.QuotaOvershoot, 0)
	atLeast(f, "control.quotaSlack", c.QuotaSlack, 0)
	atLeast(f, "control.quotaWindow", c.QuotaWindow, 0)
	for i, feature := range c.Disable {
		f.enum(elementPath("control.disable", i), string(feature), features)
	}
	if len(c.Seeds) > 0 && len(c.Members) > 0 {
		f.add("control.seeds", CodeClash, "control VMs are either listed or found through seeds; remove this or control.members")
	}
}

func (f *faults) caller(c Caller) {
	atLeast(f, "caller.maxBodyBytes", c.MaxBodyBytes, 0)
	atLeast(f, "caller.maxPromptTokens", c.MaxPromptTokens, 0)
	atLeast(f, "caller.maxOutputTokens", c.MaxOutputTokens, 0)
	atLeast(f, "caller.maxConnections", c.MaxConnections, 0)
	atLeast(f, "caller.maxHeldBytes", c.MaxHeldBytes, 0)
	atLeast(f, "caller.headerTimeout", c.HeaderTimeout, 0)
	atLeast(f, "caller.bodyTimeout", c.BodyTimeout, 0)
	atLeast(f, "caller.stopDelay", c.StopDelay, 0)
}

// maxMembers is the maximum number of control VMs.
const maxMembers = 6

func (f *faults) members(members []Member) {
	names, addresses := f.unique("name"), f.unique("address")
	for i, m := range members {
		path := elementPath("control.members", i)
		f.required(joinPath(path, "name"), m.Name)
		f.required(joinPath(path, "address"), m.Address)
		f.required(joinPath(path, "failureDomain"), m.FailureDomain)
		f.address(joinPath(path, "address"), m.Address)
		f.address(joinPath(path, "operatorAddress"), m.OperatorAddress)
		names.check(joinPath(path, "name"), m.Name)
		addresses.check(joinPath(path, "address"), m.Address)
	}
	if len(members) > maxMembers {
		f.add("control.members", CodeNotAllowed, "%d control VMs; allowed are 1 to %d", len(members), maxMembers)
	}
}

func (f *faults) sidecar(s Sidecar) {
	f.url("sidecar.engine", s.Engine)
	f.url("sidecar.serviceURL", s.ServiceURL)
	atLeast(f, "sidecar.concurrency", s.Concurrency, 0)
}

func (f *faults) policy(p Policy) {
	f.enum("policy.route", p.Route, routes)
	atLeast(f, "policy.firstWithin", p.FirstWithin, 0)
	atLeast(f, "policy.betweenWithin", p.BetweenWithin, 0)
	atLeast(f, "policy.lease", p.Lease, 0)
	atLeast(f, "policy.keepRecords", p.KeepRecords, 0)
	atLeast(f, "policy.keepAnswers", p.KeepAnswers, 0)
	if p.KeepRecords > 0 && p.KeepAnswers > p.KeepRecords {
		f.add("policy.keepAnswers", CodeClash, "an answer can't be kept longer than its record (policy.keepRecords is %s)", p.KeepRecords)
	}
}

func (f *faults) organisations(s Settings) {
	names, tokens := f.unique("name"), f.unique("token")
	tokens.secret = true
	operations := operationNames(s)
	for i, o := range s.Organisations {
		path := elementPath("organisations", i)
		f.required(joinPath(path, "name"), o.Name)
		names.check(joinPath(path, "name"), o.Name)
		atLeast(f, joinPath(path, "share"), o.Share, 0)
		for j, token := range o.Tokens {
			tokens.check(elementPath(joinPath(path, "tokens"), j), token)
		}
		for j, name := range o.Operations {
			f.enum(elementPath(joinPath(path, "operations"), j), name, operations)
		}
		for j, urgency := range o.Urgencies {
			f.enum(elementPath(joinPath(path, "urgencies"), j), string(urgency), urgencies)
		}
	}
}

// defaultOperation is the operation of requests that name none.
const defaultOperation = "completion"

// operationNames lists the operations that an organisation can be limited to: the default
// operation, the declared operations, and each service as "service:" and its name.
func operationNames(s Settings) []string {
	names := []string{defaultOperation}
	for _, o := range s.Operations {
		names = append(names, o.Name)
	}
	for _, service := range s.Services {
		names = append(names, "service:"+service.Name)
	}
	return names
}

func (f *faults) operations(list []Operation) {
	names := f.unique("name")
	for i, o := range list {
		path := elementPath("operations", i)
		f.required(joinPath(path, "name"), o.Name)
		names.check(joinPath(path, "name"), o.Name)
		f.enum(joinPath(path, "urgency"), string(o.Urgency), urgencies)
		atLeast(f, joinPath(path, "firstWithin"), o.FirstWithin, 0)
	}
}

func (f *faults) services(list []ServiceRoute) {
	names := f.unique("name")
	for i, s := range list {
		path := elementPath("services", i)
		f.required(joinPath(path, "name"), s.Name)
		names.check(joinPath(path, "name"), s.Name)
		f.calls(joinPath(path, "calls"), s.Calls)
	}
}

func (f *faults) calls(list string, calls []CallRoute) {
	routes := f.unique("method and path")
	for i, c := range calls {
		path := elementPath(list, i)
		f.required(joinPath(path, "method"), c.Method)
		f.enum(joinPath(path, "method"), c.Method, methods)
		f.enum(joinPath(path, "urgency"), string(c.Urgency), urgencies)
		f.path(joinPath(path, "path"), c.Path)
		f.path(joinPath(path, "statusPath"), c.StatusPath)
		if c.StatusPath != "" && !strings.Contains(c.StatusPath, identityPlaceholder) {
			f.add(joinPath(path, "statusPath"), CodeNotAllowed, "%q asks for no operation; allowed is a path with %s in it", c.StatusPath, identityPlaceholder)
		}
		routes.check(joinPath(path, "path"), c.Method+" "+c.Path)
	}
}

func (f *faults) path(key, value string) {
	if value != "" && !strings.HasPrefix(value, "/") {
		f.add(key, CodeNotAllowed, `%q is no path; allowed are paths that begin with "/"`, value)
	}
}

// required checks that a value is set.
func (f *faults) required(key, value string) {
	if value == "" {
		f.missing(key, "is missing")
	}
}

// missing reports a setting that is not set, unless the setting, a table around it or one
// of its elements already has a fault.
func (f *faults) missing(key, format string, a ...any) {
	for _, known := range f.list {
		if known.Key == key || strings.HasPrefix(key, known.Key+".") || strings.HasPrefix(known.Key, key+"[") {
			return
		}
	}
	f.add(key, CodeMissing, format, a...)
}

// unique reports values that are given twice.
type unique struct {
	faults *faults
	// kind is the name of the values in messages.
	kind string
	// seen maps each value to the key that has it.
	seen map[string]string
	// secret keeps the values out of the messages.
	secret bool
}

func (f *faults) unique(kind string) *unique {
	return &unique{faults: f, kind: kind, seen: map[string]string{}}
}

// check reports a fault if an earlier key has the same value.
func (u *unique) check(key, value string) {
	if value == "" {
		return
	}
	first, taken := u.seen[value]
	if !taken {
		u.seen[value] = key
		return
	}
	if u.secret {
		value = "this " + u.kind
	}
	u.faults.add(key, CodeDuplicate, "%s is given to %s already; each %s must be its own", value, first, u.kind)
}
