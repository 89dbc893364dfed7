package reached

import (
	"fmt"
	"slices"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Explain says why a resource, or a member that no resource names, is not
// reached yet. It reports false if there is neither.
func (k Observed) Explain(key oriolebend.ResourceKey) (oriolebend.Explanation, bool) {
	e := oriolebend.Explanation{Kind: key.Kind, Name: key.Name, Reached: true}
	r, isDeclared := k.View.Resources[key]
	_, member := k.View.Servers[key.Name]
	if !isDeclared && !(key.Kind == oriolebend.KindServer && member) {
		return e, false
	}
	if isDeclared {
		e.Revision = r.Revision
		k.explainFollowers(&e)
	}
	servers := k.Servers()
	switch spec := r.Spec.(type) {
	case *oriolebend.Pool:
		explainPool(&e, poolStatus(r, servers))
	case *oriolebend.Model:
		k.explainPools(&e, servers, func(p *oriolebend.Pool) bool { return p.Model == key.Name })
	case *oriolebend.Version:
		k.explainPools(&e, servers, func(p *oriolebend.Pool) bool {
			return p.Model == spec.Model && p.Version == spec.Version
		})
	case *oriolebend.Adapter:
		k.explainPools(&e, servers, func(p *oriolebend.Pool) bool {
			return p.Model == spec.Model && slices.Contains(p.Adapters, spec.Adapter)
		})
	}
	if key.Kind == oriolebend.KindServer {
		explainServer(&e, key.Name, servers)
	}
	return e, true
}

// explainer adds sentences to an explanation.
type explainer oriolebend.Explanation

// miss adds something that is not reached.
func (e *explainer) miss(format string, args ...any) {
	e.Reached = false
	e.Lines = append(e.Lines, fmt.Sprintf(format, args...))
}

func (k Observed) explainFollowers(e *oriolebend.Explanation) {
	count, rest := k.inForce(e.Revision)
	e.Lines = append(e.Lines, fmt.Sprintf("followers: revision %d is %s", e.Revision,
		forceText(count, len(k.Reports), rest)))
	if len(rest) > 0 {
		e.Reached = false
	}
}

func explainPool(e *oriolebend.Explanation, p oriolebend.PoolStatus) {
	add := (*explainer)(e)
	e.Lines = append(e.Lines, fmt.Sprintf("pool %s: %d of %d servers are as declared (%s), %d serve, minimum %d",
		p.Name, p.Settled, p.Servers, p.Declared, p.Serving, p.MinServers))
	if p.Servers == 0 {
		add.miss("pool %s has no server: none that announced itself is listed or selected", p.Name)
	}
	if p.Serving < p.MinServers {
		add.miss("pool %s is under its minimum of %d", p.Name, p.MinServers)
	}
	if p.Serving == p.Servers && p.Serving == p.MinServers && p.Settled < p.Servers {
		add.miss("pool %s has no server to spare: add one, or lower minServers", p.Name)
	}
	for _, s := range p.Rest {
		add.miss("%s", serverText(s))
	}
}

func serverText(s oriolebend.ServerStatus) string {
	text := fmt.Sprintf("server %s %s", s.Server.Name, s.Detail)
	if s.Progress != "" {
		text += " (" + s.Progress + ")"
	}
	return text
}

func (k Observed) explainPools(e *oriolebend.Explanation, servers []oriolebend.ServerStatus, uses func(*oriolebend.Pool) bool) {
	found := false
	for _, r := range k.View.List(oriolebend.KindPool) {
		if uses(r.Spec.(*oriolebend.Pool)) {
			found = true
			explainPool(e, poolStatus(r, servers))
		}
	}
	if !found {
		(*explainer)(e).miss("no pool serves it")
	}
}

func explainServer(e *oriolebend.Explanation, name string, servers []oriolebend.ServerStatus) {
	for _, s := range servers {
		if s.Server.Name != name {
			continue
		}
		e.Lines = append(e.Lines, fmt.Sprintf("server %s is %s, in pool %q", name, s.Server.State, s.Pool))
		if !s.Settled {
			(*explainer)(e).miss("%s", serverText(s))
		}
		return
	}
	(*explainer)(e).miss("no server %s holds a membership lease", name)
}
