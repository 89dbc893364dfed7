package quotalease

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Timing of the agreement between control VMs.
const (
	leaderLease     = 230 * time.Millisecond
	electionTimeout = 300 * time.Millisecond
	heartbeats      = 50 * time.Millisecond
)

// agreement simulates the election of leaders in a group. A member votes only if it has neither
// received a message of a leader nor voted nor started within the election timeout.
type agreement struct {
	*group
	random *rand.Rand
	voters map[string]*voter
}

// voter is the part of one member in the agreement. Times are those of its clock.
type voter struct {
	term    int
	leads   bool
	contact time.Time
	// timeout is when the member ceases to know its leader, and stands for election.
	timeout time.Time
	// acks holds when the heartbeats were sent that were acknowledged last.
	acks map[string]time.Time
}

func newAgreement(names []string, random *rand.Rand) *agreement {
	a := &agreement{group: newGroup(names), random: random, voters: map[string]*voter{}}
	for _, name := range names {
		a.voters[name] = &voter{}
		a.contact(name)
	}
	return a
}

func (a *agreement) contact(name string) {
	v, now := a.voters[name], a.clock(name)
	v.contact, v.timeout = now, now.Add(electionTimeout+a.randomUpTo(electionTimeout))
}

func (a *agreement) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(a.random.Int64N(int64(limit)))
}

func (a *agreement) restartMember(name string, down time.Duration) {
	a.restart(name)
	a.nodes[name].up = a.now.Add(down)
	a.voters[name].leads = false
	a.contact(name)
	a.voters[name].contact = a.now.Add(down)
}

// connected reports whether two members that are up reach each other.
func (a *agreement) connected(one, other string) bool {
	return a.isUp(one) && a.isUp(other) && !a.cut[one+" "+other] && !a.cut[other+" "+one]
}

func (a *agreement) advanceAgreement() {
	for _, name := range a.names {
		if !a.isUp(name) {
			continue
		}
		a.expire(name)
		a.expireLeader(name)
		switch v := a.voters[name]; {
		case v.leads && a.now.Sub(start)%heartbeats == 0:
			a.heartbeat(name)
		case !v.leads && !a.clock(name).Before(v.timeout):
			a.elect(name)
		}
	}
}

// expire ends the leadership of a member whose lease has ended.
func (a *agreement) expire(name string) {
	v := a.voters[name]
	if end := a.leaseEnd(name); v.leads && !a.clock(name).Before(end) {
		v.leads = false
		a.setLeader(name, "")
		a.nodes[name].lost = end
		a.contact(name)
	}
}

// expireLeader ends the leader of a member that has received none of its messages for the election
// timeout.
func (a *agreement) expireLeader(name string) {
	v := a.voters[name]
	if !v.leads && a.nodes[name].leader != "" && a.clock(name).Sub(v.contact) >= electionTimeout {
		a.setLeader(name, "")
		a.nodes[name].lost = v.contact
	}
}

func (a *agreement) leaseEnd(name string) time.Time {
	acks := []time.Time{a.clock(name)}
	for _, other := range a.names {
		if other != name {
			acks = append(acks, a.voters[name].acks[other])
		}
	}
	slices.SortFunc(acks, func(x, y time.Time) int { return y.Compare(x) })
	return acks[len(a.names)/2].Add(leaderLease)
}

func (a *agreement) heartbeat(name string) {
	v := a.voters[name]
	for _, other := range a.names {
		o := a.voters[other]
		if other == name || !a.isUp(other) || a.cut[name+" "+other] || o.term > v.term {
			continue
		}
		o.term, o.leads = v.term, false
		a.contact(other)
		a.setLeader(other, name)
		if !a.cut[other+" "+name] {
			v.acks[other] = a.clock(name)
		}
	}
}

func (a *agreement) elect(name string) {
	a.setLeader(name, "")
	v := a.voters[name]
	v.timeout = a.clock(name).Add(heartbeats + a.randomUpTo(heartbeats))
	if a.clock(name).Before(v.contact.Add(electionTimeout)) {
		return
	}
	voters, term := []string{name}, v.term
	for _, other := range a.names {
		o := a.voters[other]
		if other != name && a.connected(name, other) && !o.leads && !a.clock(other).Before(o.contact.Add(electionTimeout)) {
			voters, term = append(voters, other), max(term, o.term)
		}
	}
	if 2*len(voters) <= len(a.names) {
		return
	}
	for _, other := range voters {
		a.voters[other].term = term + 1
		a.contact(other)
		a.setLeader(other, "")
	}
	v.leads, v.acks = true, map[string]time.Time{}
	for _, other := range a.names {
		v.acks[other] = a.clock(name)
	}
	a.setLeader(name, name)
}
