package reached

import (
	"fmt"
	"slices"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Explain explains why a resource, or a member without a declared resource, has
// not reached its declared state yet. It returns false if neither exists.
func (o Observed) Explain(key oriolebend.ResourceKey) (oriolebend.Explanation, bool) {
	e := oriolebend.Explanation{Kind: key.Kind, Name: key.Name, Reached: true}
	r, isDeclared := o.View.Resources[key]
	_, member := o.View.Servers[key.Name]
	if !isDeclared && !(key.Kind == oriolebend.KindServer && member) {
		return e, false
	}
	if isDeclared {
		e.Revision = r.Revision
		o.explainFollowers(&e)
	}
	servers := o.Servers()
	switch spec := r.Spec.(type) {
	case *oriolebend.Pool:
		explainPool(&e, poolStatus(r, servers))
	case *oriolebend.Model:
		o.explainPools(&e, servers, func(p *oriolebend.Pool) bool { return p.Model == key.Name })
	case *oriolebend.Version:
		o.explainPools(&e, servers, func(p *oriolebend.Pool) bool {
			return p.Model == spec.Model && p.Version == spec.Version
		})
	case *oriolebend.Adapter:
		o.explainPools(&e, servers, func(p *oriolebend.Pool) bool {
			return p.Model == spec.Model && slices.Contains(p.Adapters, spec.Adapter)
		})
	}
	if key.Kind == oriolebend.KindServer {
		explainServer(&e, key.Name, servers)
	}
	return e, true
}

// explainer adds lines to an explanation.
type explainer oriolebend.Explanation

// addUnreached adds a line on a state that is not reached.
func (e *explainer) addUnreached(format string, args ...any) {
	e.Reached = false
	e.Lines = append(e.Lines, fmt.Sprintf(format, args...))
}

func (o Observed) explainFollowers(e *oriolebend.Explanation) {
	count, rest := o.inForce(e.Revision)
	e.Lines = append(e.Lines, fmt.Sprintf("followers: revision %d is %s", e.Revision,
		forceText(count, len(o.Reports), rest)))
	if len(rest) > 0 {
		e.Reached = false
	}
}

func explainPool(e *oriolebend.Explanation, p oriolebend.PoolStatus) {
	add := (*explainer)(e)
	e.Lines = append(e.Lines, fmt.Sprintf("pool %s: %d of %d servers are as declared (%s), %d serve, minimum %d",
		p.Name, p.Settled, p.Servers, p.Declared, p.Serving, p.MinServers))
	if p.Servers == 0 {
		add.addUnreached("pool %s has no server: none that announced itself is listed or selected", p.Name)
	}
	if p.Serving < p.MinServers {
		add.addUnreached("pool %s is under its minimum of %d", p.Name, p.MinServers)
	}
	if p.Serving == p.Servers && p.Serving == p.MinServers && p.Settled < p.Servers {
		add.addUnreached("pool %s has no server to spare: add one, or lower minServers", p.Name)
	}
	for _, s := range p.Rest {
		add.addUnreached("%s", serverText(s))
	}
}

func serverText(s oriolebend.ServerStatus) string {
	text := fmt.Sprintf("server %s %s", s.Server.Name, s.Detail)
	if s.Progress != "" {
		text += " (" + s.Progress + ")"
	}
	return text
}

func (o Observed) explainPools(e *oriolebend.Explanation, servers []oriolebend.ServerStatus, uses func(*oriolebend.Pool) bool) {
	found := false
	for _, r := range o.View.List(oriolebend.KindPool) {
		if uses(r.Spec.(*oriolebend.Pool)) {
			found = true
			explainPool(e, poolStatus(r, servers))
		}
	}
	if !found {
		(*explainer)(e).addUnreached("no pool serves it")
	}
}

func explainServer(e *oriolebend.Explanation, name string, servers []oriolebend.ServerStatus) {
	for _, s := range servers {
		if s.Server.Name != name {
			continue
		}
		e.Lines = append(e.Lines, fmt.Sprintf("server %s is %s, in pool %q", name, s.Server.State, s.Pool))
		if !s.Settled {
			(*explainer)(e).addUnreached("%s", serverText(s))
		}
		return
	}
	(*explainer)(e).addUnreached("no server %s holds a membership lease", name)
}
