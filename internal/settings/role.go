package settings

import (
	"net/netip"
	"slices"
)

// Role is the subcommand that settings are checked for.
type Role string

// Roles of processes.
const (
	RoleEntry     Role = "entry"
	RoleForwarder Role = "forwarder"
	RoleSidecar   Role = "sidecar"
	RoleControl   Role = "control"
	RoleDev       Role = "dev"
)

// Roles lists every role.
var Roles = []Role{RoleEntry, RoleForwarder, RoleSidecar, RoleControl, RoleDev}

// minTokenLength is the minimum length of a token outside of dev. Shorter tokens can be
// guessed.
const minTokenLength = 16

// RoleOf returns the role that a settings file was most likely written for.
func RoleOf(s Settings) Role {
	switch {
	case len(s.Dev.Servers) > 0:
		return RoleDev
	case s.Control.DataFolder != "":
		return RoleControl
	case s.Forward.Listen != "":
		return RoleForwarder
	case s.Sidecar.Server != "" || s.Sidecar.Engine != "" || s.Sidecar.Service != "":
		return RoleSidecar
	default:
		return RoleEntry
	}
}

// Check checks the settings for one role. The error is an *Errors with all faults,
// including those that Parse reported.
func Check(role Role, s Settings) error {
	f := faults{origin: s.origin}
	if s.origin != nil {
		f.list = slices.Clone(s.origin.faults)
	}
	f.common(s)
	switch role {
	case RoleEntry:
		f.entryRole(s)
	case RoleForwarder:
		f.forwarderRole(s)
	case RoleSidecar:
		f.sidecarRole(s)
	case RoleControl:
		f.controlRole(s)
	case RoleDev:
		f.devRole(s)
	default:
		names := make([]string, len(Roles))
		for i, r := range Roles {
			names[i] = string(r)
		}
		f.add("", CodeNotAllowed, "role %q is not known; %s", role, allowed(string(role), names))
	}
	return f.err()
}

// process checks the settings that every role except dev needs.
func (f *faults) process(s Settings) {
	f.required("node.name", s.Node.Name)
	f.required("node.region", s.Node.Region)
	f.required("node.failureDomain", s.Node.FailureDomain)
	f.listen("peer.listen", s.Peer.Listen)
	f.listen("metrics.listen", s.Metrics.Listen)
	if s.Peer.Trust != TrustNetwork {
		f.required("tls.certificate", s.TLS.Certificate)
		f.required("tls.key", s.TLS.Key)
		f.required("tls.authority", s.TLS.Authority)
	}
	if len(s.Control.Members) == 0 && len(s.Control.Seeds) == 0 {
		f.missing("control.members", "is missing; list every control VM under [[control.members]]")
	}
	f.notOpen("caller.open", s.Caller.Open)
	f.notOpen("operator.open", s.Operator.Open)
}

// listen requires an address with a fixed port, which peers and load balancers can be
// configured with.
func (f *faults) listen(key, value string) {
	f.required(key, value)
	if address, err := netip.ParseAddrPort(value); err == nil && address.Port() == 0 {
		f.add(key, CodeBadAddress, "%q has no port; allowed are ports from 1 to 65535", value)
	}
}

// notOpen refuses access without a token, which only dev may allow.
func (f *faults) notOpen(key string, open bool) {
	if open {
		f.add(key, CodeNotAllowed, "only dev may let callers in without a token")
	}
}

func (f *faults) entryRole(s Settings) {
	f.process(s)
	f.listen("caller.listen", s.Caller.Listen)
	if len(s.Organisations) == 0 {
		f.missing("organisations", "is missing; list every organisation under [[organisations]]")
	}
	for i, o := range s.Organisations {
		f.tokens(joinPath(elementPath("organisations", i), "tokens"), o.Tokens)
	}
}

func (f *faults) forwarderRole(s Settings) {
	f.process(s)
	f.listen("forward.listen", s.Forward.Listen)
}

func (f *faults) tokens(key string, tokens []string) {
	if len(tokens) == 0 {
		f.missing(key, "is missing; list at least one token")
	}
	for i, token := range tokens {
		if len(token) < minTokenLength {
			f.add(elementPath(key, i), CodeNotAllowed, "a token of %d characters; allowed are %d or more", len(token), minTokenLength)
		}
	}
}

func (f *faults) sidecarRole(s Settings) {
	f.process(s)
	f.required("sidecar.server", s.Sidecar.Server)
	engine, service := s.Sidecar.Engine != "", s.Sidecar.Service != ""
	switch {
	case engine && service:
		f.add("sidecar.service", CodeClash, "one sidecar stands before an engine or a service; remove this or sidecar.engine")
	case service:
		f.required("sidecar.serviceURL", s.Sidecar.ServiceURL)
	case !engine:
		f.missing("sidecar.engine", "is missing; set this, or sidecar.service with sidecar.serviceURL")
	}
}

func (f *faults) controlRole(s Settings) {
	f.process(s)
	f.listen("operator.listen", s.Operator.Listen)
	if len(s.Control.Seeds) == 0 {
		f.required("control.dataFolder", s.Control.DataFolder)
	}
	if s.Peer.Trust != TrustNetwork {
		f.tokens("operator.tokens", s.Operator.Tokens)
	}
	f.ownMember(s)
}

// ownMember requires that a control VM is listed among the members with its name, address
// and failure domain. Otherwise the other control VMs would send messages for it to
// another address, and it would wait for a quorum that never includes it.
func (f *faults) ownMember(s Settings) {
	if s.Node.Name == "" || len(s.Control.Members) == 0 {
		return
	}
	names := make([]string, len(s.Control.Members))
	for i, m := range s.Control.Members {
		names[i] = m.Name
	}
	i := slices.Index(names, s.Node.Name)
	if i < 0 {
		f.add("node.name", CodeUnknownName, "%q is not among control.members; %s", s.Node.Name, allowed(s.Node.Name, names))
		return
	}
	listed := s.Control.Members[i]
	if !reaches(listed.Address, s.Peer.Listen) {
		f.add(joinPath(elementPath("control.members", i), "address"), CodeClash,
			"%s does not reach this VM's peer.listen (%s)", listed.Address, s.Peer.Listen)
	}
	if s.Node.FailureDomain != "" && listed.FailureDomain != s.Node.FailureDomain {
		f.add(joinPath(elementPath("control.members", i), "failureDomain"), CodeClash,
			"%q differs from this VM's node.failureDomain (%q)", listed.FailureDomain, s.Node.FailureDomain)
	}
}

// reaches reports whether messages sent to address arrive at a listener on listen. It
// returns true for malformed addresses, which are reported elsewhere.
func reaches(address, listen string) bool {
	to, errTo := netip.ParseAddrPort(address)
	at, errAt := netip.ParseAddrPort(listen)
	if errTo != nil || errAt != nil {
		return true
	}
	return to.Port() == at.Port() && (to.Addr() == at.Addr() || at.Addr().IsUnspecified())
}

// devRole requires at least one stand-in. The faults of individual stand-ins are found by
// dev.
func (f *faults) devRole(s Settings) {
	if len(s.Dev.Servers) == 0 {
		f.missing("dev.servers", "is missing; describe the stand-ins under [[dev.servers]]")
	}
}
