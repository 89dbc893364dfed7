package reached

import (
	"fmt"
	"strings"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// SilentAfter is how long after its last report a follower is called silent;
// they report every 10 s at least.
const SilentAfter = 30 * time.Second

// Observed is all that a status is drawn from.
type Observed struct {
	At      time.Time
	View    declared.View
	Reports []Report
	// Announcements are the latest of each server; only the leader has them.
	Announcements map[string]message.Announce
}

// Status compares what is declared with what is reached.
func (k Observed) Status() oriolebend.Status {
	status := oriolebend.Status{Revision: k.View.Revision, Total: len(k.Reports)}
	status.InForce, status.Rest = k.inForce(k.View.Revision)
	status.Text = forceText(status.InForce, status.Total, status.Rest)
	servers := k.Servers()
	for _, r := range k.View.List(oriolebend.KindPool) {
		status.Pools = append(status.Pools, poolStatus(r, servers))
	}
	return status
}

// inForce counts the followers that have a revision in force and are heard
// of, and lists the others.
func (k Observed) inForce(revision uint64) (int, []oriolebend.NodeStatus) {
	count := 0
	var rest []oriolebend.NodeStatus
	for _, r := range k.Reports {
		age := k.At.Sub(r.At)
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

// maxNamed bounds how many followers a sentence names.
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

// Servers compares each member with what is declared for it, by name.
func (k Observed) Servers() []oriolebend.ServerStatus {
	pools := k.View.PoolServers()
	members := k.View.Members()
	list := make([]oriolebend.ServerStatus, 0, len(members))
	for _, s := range members {
		list = append(list, k.server(s, pools[s.Name]))
	}
	return list
}

func (k Observed) server(s oriolebend.Server, pool string) oriolebend.ServerStatus {
	target := k.View.TargetIn(s, pool)
	status := oriolebend.ServerStatus{Server: s, Pool: pool, Declared: target.State}
	status.Detail = target.Missing(s)
	status.Settled = status.Detail == ""
	announce, known := k.Announcements[s.Name]
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
