package reached

import (
	"fmt"
	"strings"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// SilentAfter is how long after its last report a follower counts as silent;
// followers report every 10 s at least.
const SilentAfter = 30 * time.Second

// Observed is the input from which a status or an explanation is computed.
type Observed struct {
	At      time.Time
	View    declared.View
	Reports []Report
	// Announcements are the latest announcements by server; only the leader has
	// them.
	Announcements map[string]message.Announce
}

// Status compares the declared state with the reached state.
func (o Observed) Status() oriolebend.Status {
	status := oriolebend.Status{Revision: o.View.Revision, Total: len(o.Reports)}
	status.InForce, status.Rest = o.inForce(o.View.Revision)
	status.Text = forceText(status.InForce, status.Total, status.Rest)
	servers := o.Servers()
	for _, r := range o.View.List(oriolebend.KindPool) {
		status.Pools = append(status.Pools, poolStatus(r, servers))
	}
	return status
}

// inForce counts the followers that have a revision in force and are not silent,
// and lists the others.
func (o Observed) inForce(revision uint64) (int, []oriolebend.NodeStatus) {
	count := 0
	var rest []oriolebend.NodeStatus
	for _, r := range o.Reports {
		age := o.At.Sub(r.At)
		silent := age > SilentAfter
		if r.Revision >= revision && !silent {
			count++
			continue
		}
		rest = append(rest, oriolebend.NodeStatus{
			Node: r.Node, Role: r.Role, Revision: r.Revision, Control: r.Control,
			HeardAgo: oriolebend.Duration(age.Truncate(time.Millisecond)), Silent: silent,
		})
	}
	return count, rest
}

// maxNamed bounds the number of followers that a text names.
const maxNamed = 5

func forceText(count, total int, rest []oriolebend.NodeStatus) string {
	text := fmt.Sprintf("in force on %d of %d", count, total)
	if len(rest) == 0 {
		return text
	}
	names := make([]string, 0, maxNamed+1)
	for i, n := range rest {
		if i == maxNamed {
			names = append(names, fmt.Sprintf("and %d more", len(rest)-maxNamed))
			break
		}
		names = append(names, nodeText(n))
	}
	return text + "; the rest: " + strings.Join(names, ", ")
}

func nodeText(n oriolebend.NodeStatus) string {
	text := fmt.Sprintf("%s at %d", n.Node, n.Revision)
	if n.Silent {
		text += fmt.Sprintf(", silent for %s", time.Duration(n.HeardAgo).Truncate(time.Second))
	}
	return text
}

// Servers compares each member with its declared state, sorted by name.
func (o Observed) Servers() []oriolebend.ServerStatus {
	pools := o.View.PoolServers()
	members := o.View.Members()
	list := make([]oriolebend.ServerStatus, 0, len(members))
	for _, s := range members {
		list = append(list, o.server(s, pools[s.Name]))
	}
	return list
}

func (o Observed) server(s oriolebend.Server, pool string) oriolebend.ServerStatus {
	target := o.View.TargetIn(s, pool)
	status := oriolebend.ServerStatus{Server: s, Pool: pool, Declared: target.State}
	status.Detail = target.Missing(s)
	status.Settled = status.Detail == ""
	announce, known := o.Announcements[s.Name]
	if !known {
		return status
	}
	status.Progress = string(announce.Progress)
	if status.Detail != "" && announce.Detail != "" {
		status.Detail += "; " + announce.Detail
	}
	return status
}

func poolStatus(r oriolebend.Resource, servers []oriolebend.ServerStatus) oriolebend.PoolStatus {
	pool := r.Spec.(*oriolebend.Pool)
	status := oriolebend.PoolStatus{Name: r.Name, Declared: declaredText(pool), MinServers: pool.MinServers}
	for _, s := range servers {
		if s.Pool != r.Name {
			continue
		}
		status.Servers++
		if s.Server.State == oriolebend.ServerServing {
			status.Serving++
		}
		if s.Settled {
			status.Settled++
		} else {
			status.Rest = append(status.Rest, s)
		}
	}
	return status
}

func declaredText(p *oriolebend.Pool) string {
	if p.Role == oriolebend.Service {
		return "service " + p.Service
	}
	text := fmt.Sprintf("%s %s", p.Role, oriolebend.VersionName(p.Model, p.Version))
	for _, adapter := range p.Adapters {
		text += " +" + adapter
	}
	return text
}
