package settings

import (
	"maps"
	"slices"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// dev checks the stand-ins of "oriolebend dev".
func (f *faults) dev(s Settings) {
	atLeast(f, "dev.entries", s.Dev.Entries, 0)
	atLeast(f, "dev.controls", s.Dev.Controls, 0)
	if s.Dev.Controls > maxMembers {
		f.add("dev.controls", CodeNotAllowed, "%d control VMs; allowed are 1 to %d", s.Dev.Controls, maxMembers)
	}
	prefixes := f.unique("namePrefix")
	for i, server := range s.Dev.Servers {
		path := elementPath("dev.servers", i)
		f.required(joinPath(path, "namePrefix"), server.NamePrefix)
		prefixes.check(joinPath(path, "namePrefix"), server.NamePrefix)
		f.devServer(path, server)
		f.devServerRole(path, server, s.Services)
	}
	f.devPools(s.Dev.Servers)
}

func (f *faults) devServer(path string, s DevServer) {
	atLeast(f, joinPath(path, "count"), s.Count, 1)
	atLeast(f, joinPath(path, "prefillTokens"), s.PrefillTokens, 0)
	atLeast(f, joinPath(path, "decodeStep"), s.DecodeStep, 0)
	atLeast(f, joinPath(path, "kvTokens"), s.KVTokens, 0)
	atLeast(f, joinPath(path, "linkBytes"), s.LinkBytes, 0)
	if len(s.FailureDomains) == 0 {
		f.missing(joinPath(path, "failureDomains"), "is missing; name the failure domains that the servers stand in")
	}
	adapters := f.unique("adapter")
	for i, adapter := range s.Adapters {
		adapters.check(elementPath(joinPath(path, "adapters"), i), adapter)
	}
}

// devServerRole checks the settings that depend on the role of a stand-in server.
func (f *faults) devServerRole(path string, s DevServer, services []ServiceRoute) {
	switch s.Role {
	case oriolebend.Prefill, oriolebend.Decode:
		f.required(joinPath(path, "model"), s.Model)
		if s.Service != "" {
			f.add(joinPath(path, "service"), CodeClash, "a %s server runs no service", s.Role)
		}
	case oriolebend.Service:
		f.required(joinPath(path, "service"), s.Service)
		f.knownService(joinPath(path, "service"), s.Service, services)
		if s.Model != "" {
			f.add(joinPath(path, "model"), CodeClash, "a service server holds no model")
		}
	case "":
		f.missing(joinPath(path, "role"), "is missing; %s", allowed("", poolRoles))
	default:
		f.enum(joinPath(path, "role"), string(s.Role), poolRoles)
	}
}

// knownService requires that the service of a stand-in server is declared under
// [[services]]. Callers can't reach an undeclared service, and the server would be idle.
func (f *faults) knownService(key, name string, services []ServiceRoute) {
	if name == "" {
		return
	}
	names := make([]string, len(services))
	for i, s := range services {
		names[i] = s.Name
	}
	if slices.Contains(names, name) {
		return
	}
	if len(names) == 0 {
		f.add(key, CodeUnknownName, "service %q is not declared; add it under [[services]]", name)
		return
	}
	f.add(key, CodeUnknownName, "service %q is not declared under [[services]]; %s", name, allowed(name, names))
}

// devPools requires both a prefill and a decode server for each model. With only one of
// them, requests for the model could be accepted but never answered.
func (f *faults) devPools(servers []DevServer) {
	pools := map[string]map[oriolebend.PoolRole]bool{}
	firsts := map[string]string{}
	for i, s := range servers {
		if s.Model == "" || (s.Role != oriolebend.Prefill && s.Role != oriolebend.Decode) {
			continue
		}
		if pools[s.Model] == nil {
			pools[s.Model] = map[oriolebend.PoolRole]bool{}
			firsts[s.Model] = joinPath(elementPath("dev.servers", i), "model")
		}
		pools[s.Model][s.Role] = true
	}
	for _, model := range slices.Sorted(maps.Keys(pools)) {
		for _, role := range []oriolebend.PoolRole{oriolebend.Prefill, oriolebend.Decode} {
			if !pools[model][role] {
				f.add(firsts[model], CodeMissing, "model %q has no %s server; it needs both pools", model, role)
			}
		}
	}
}
