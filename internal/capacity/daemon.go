package capacity

import "fmt"

// cost is one row of a role's table: a cost, its formula and value, and the mechanism that
// causes it.
type cost struct {
	what, formula string
	value         float64
	mechanism     string
}

// costs builds the table of a role: groups of rows, each followed by its sum.
type costs struct {
	table Table
}

// group adds rows and their sum, and compares the sum with the budget unless the budget is
// zero. It returns the sum.
func (c *costs) group(name string, format func(float64) string, budget float64, rows ...cost) float64 {
	total := 0.0
	for _, r := range rows {
		total += r.value
		c.table.Rows = append(c.table.Rows, []string{r.what, r.formula, format(r.value), "", r.mechanism})
	}
	c.sum(name, format, total, budget)
	return total
}

// sum adds a row with a total and compares it with the budget unless the budget is zero.
func (c *costs) sum(name string, format func(float64) string, total, budget float64) {
	verdict := "none named"
	if budget > 0 {
		verdict = budgetOf(total, budget, format)
	}
	c.table.Rows = append(c.table.Rows, []string{"**" + name + "**", "", "**" + format(total) + "**", verdict, ""})
}

// entry returns the table of the costs of an entry.
func (s *sums) entry() Table {
	c := &costs{table: Table{Name: "entry", Head: roleHead}}
	n := s.requestsPerEntry()
	state := s.at("followerMemory", s.stateSize())
	live := []cost{
		{"declared state and membership", "followerMemory at " + number(s.stateSize()), state, "internal/reducer/follow: snapshot + tail, no disk"},
		{"connections to gates", fmt.Sprintf("%s × connection", number(s.gatesOpen())), s.gatesOpen() * s.one("connection"), "one QUIC connection a pair, kept 5 min"},
		{"requests in progress", fmt.Sprintf("%s × heldRequest", number(s.inProgressPerEntry())), s.inProgressPerEntry() * s.one("heldRequest"), "entry reducer, answer log"},
	}
	heap := 0.0
	for _, r := range live {
		heap += r.value
	}
	c.group("memory", size, s.Budget.Memory, append(live,
		cost{"the process itself", "entryBase", s.one("entryBase"), "binary, runtime, pools"},
		cost{"room that the collector takes", "the heap once more", heap * (heapGrowth - 1), "GOGC's default; GOMEMLIMIT bounds it"})...)

	rest := c.group("bytes, without requests", rate, s.Budget.Bytes,
		cost{"state confirmed, revision reported", "entryRestBytes", s.one("entryRestBytes"), "one watch of one control VM"},
		cost{"changes", "changes × changeBytes", s.changesPerSecond() * s.one("changeBytes"), "each told once, ordered by last change"},
		cost{"whole state after restarts", "restarts / followers × (wholeStateBytes + handshakeBytes)", s.Size.Restarts / s.followers() / secondsPerDay * s.startBytes(), "snapshot"},
	)
	asked := c.group("bytes for requests", rate, s.Budget.Bytes-rest,
		cost{"claims and outcomes", "requests × claimBytes", n * s.one("claimBytes"), "control.Client: one stream, tickets"},
		cost{"reservations", fmt.Sprintf("requests × %s × sessionBytes", number(s.Assumptions.Probes)), n * s.Assumptions.Probes * s.one("sessionBytes"), "probe that is also a reservation"},
	)
	c.sum("bytes in all", rate, rest+asked, s.Budget.Bytes)

	quiet := c.group("processor, without requests", core, s.Budget.Core,
		cost{"a whole entry", "entryProcessRest", s.one("entryProcessRest"), "follower, leases, ticks"},
		cost{"changes", "changes × changeFollower", s.changesPerSecond() * s.one("changeFollower"), "only what changed is taken in"},
	)
	busy := c.group("processor for requests' control", core, s.Budget.Core-quiet,
		cost{"decisions", "requests × decision at 1,100 servers", n * s.at("decision", s.Size.Servers), "entry reducer: rendezvous hashing, no scan"},
		cost{"claims and outcomes", "requests × claimEntry", n * s.one("claimEntry"), "control.Client"},
		cost{"reservations", fmt.Sprintf("requests × %s × half a session", number(s.Assumptions.Probes)), n * s.Assumptions.Probes * s.one("session") / 2, "QUIC stream a session"},
	)
	c.sum("processor for control in all", core, quiet+busy, s.Budget.Core)
	c.group("processor for serving", core, 0,
		cost{"requests, all of their work", "requests × entryRequest at " + number(s.tokensPerRequest()) + " tokens", n * s.at("entryRequest", s.tokensPerRequest()), "HTTP, claims, sessions and parts together"},
	)
	c.group("network for serving", rate, 0,
		cost{"answers from gates", "requests × gateBytes at " + number(s.tokensPerRequest()) + " tokens", n * s.at("gateBytes", s.tokensPerRequest()), "one part a token; what callers send and get comes on top"},
	)
	return c.table
}

// sidecar returns the table of the costs of a sidecar.
func (s *sums) sidecar() Table {
	c := &costs{table: Table{Name: "sidecar", Head: roleHead}}
	n := s.sessionsPerGate()
	live := []cost{
		{"declared state and membership", "followerMemory at " + number(s.stateSize()), s.at("followerMemory", s.stateSize()), "follow reducer; a sidecar needs a small part of it"},
		{"connections of entries", fmt.Sprintf("%s × connection", number(s.entriesOpen())), s.entriesOpen() * s.one("connection"), "one QUIC connection a pair"},
		{"work in progress", "heldSession × requests in progress / servers, two gates each", 2 * s.inProgress() / s.Size.Servers * s.one("heldSession"), "gate reducer"},
	}
	heap := 0.0
	for _, r := range live {
		heap += r.value
	}
	c.group("memory", size, s.Budget.Memory, append(live,
		cost{"the process itself", "sidecarBase", s.one("sidecarBase"), "binary, runtime"},
		cost{"room that the collector takes", "the heap once more", heap * (heapGrowth - 1), "GOGC's default"})...)
	rest := c.group("bytes, without requests", rate, s.Budget.Bytes,
		cost{"state, reports, membership renewed", "sidecarRestBytes", s.one("sidecarRestBytes"), "watch of one VM, renewal at the leader each 1.5 s"},
		cost{"changes", "changes × changeBytes", s.changesPerSecond() * s.one("changeBytes"), "each told once"},
	)
	asked := c.group("bytes for requests", rate, s.Budget.Bytes-rest,
		cost{"reservations", "reservations × sessionBytes", n * s.one("sessionBytes"), "QUIC stream a session"},
	)
	c.sum("bytes in all", rate, rest+asked, s.Budget.Bytes)
	quiet := c.group("processor, without requests", core, s.Budget.Core,
		cost{"a whole sidecar beside an idle engine", "sidecarProcessRest", s.one("sidecarProcessRest"), "work list and load reports read each 2 s, ticks"},
		cost{"changes", "changes × changeFollower", s.changesPerSecond() * s.one("changeFollower"), "only its own target is worked out"},
	)
	busy := c.group("processor for requests' control", core, s.Budget.Core-quiet,
		cost{"gate's decisions", "reservations × gateReserve at 1,000 waiting", n * s.at("gateReserve", 1000), "gate reducer; does not grow with servers or entries"},
		cost{"sessions", "reservations × half a session", n * s.one("session") / 2, "QUIC"},
	)
	c.sum("processor for control in all", core, quiet+busy, s.Budget.Core)
	c.group("processor for serving", core, 0,
		cost{"a decode server's requests", "its share × sidecarRequest at " + number(s.tokensPerRequest()) + " tokens", 2 * s.Size.Requests / s.Size.Servers * s.at("sidecarRequest", s.tokensPerRequest()), "parts read from the engine and sent on"},
	)
	return c.table
}
