package capacity

import "fmt"

// control returns the table of the costs of the leading control VM or of another one.
func (s *sums) control(leads bool) Table {
	c := &costs{table: Table{Name: "controlFollower", Head: roleHead}}
	if leads {
		c.table.Name = "controlLeader"
	}
	followers := s.followersPerVM()
	records := s.recordsKept()
	answersOf := s.Assumptions.ControlVMs - 1

	memory := []cost{
		{"the process, declared state", "controlHeap's fixed part / 3", s.line("controlHeap").Fixed / benchControls, "operator.Store over the replicated log"},
		{"followers' watches", fmt.Sprintf("%s × controlHeap", number(followers)), followers * s.each("controlHeap"), "followers spread by rendezvous hashing"},
	}
	if leads {
		memory = append(memory, cost{"sidecars' connections and leases", "1,100 × (controlHeapSidecars − controlHeap)", s.Size.Servers * s.announcing("controlHeapSidecars", "controlHeap"), "leases in the leader's memory, not in the log"})
	}
	memory = append(memory, cost{"settled records", fmt.Sprintf("%s × recordMemory", number(records)), records * s.one("recordMemory"), "record reducer: 24 h what runs once, 15 min the rest"})
	heap := 0.0
	for _, m := range memory {
		heap += m.value
	}
	c.group("memory", size, 0, append(memory, cost{"room that the collector takes", "the heap once more", heap * (heapGrowth - 1), "GOGC's default"})...)

	cpu := []cost{
		{"ticks, agreement, confirmations", "controlRest's fixed part / 3", s.line("controlRest").Fixed / benchControls, "one confirmation a second, for all followers together"},
		{"followers at rest", fmt.Sprintf("%s × controlRest", number(followers)), followers * s.each("controlRest"), "watch server"},
		{"changes", fmt.Sprintf("changes × %s × changeControl", number(followers)), s.changesPerSecond() * followers * s.one("changeControl"), "change feed: only what changed since the follower's revision"},
		{"restarts", "restarts / VMs × startControl", s.Size.Restarts / secondsPerDay / s.Assumptions.ControlVMs * s.one("startControl"), "whole state"},
		{"records agreed on and applied", fmt.Sprintf("requests × claimControl at %s log entries a request × a quarter", number(s.entriesPerRequest())), s.Size.Requests * s.claimControl() * followerShare, "one log; one entry carries what waits, up to 512"},
	}
	if leads {
		cpu = append(cpu,
			cost{"sidecars' renewals", "1,100 × (controlRestSidecars − controlRest)", s.Size.Servers * s.announcing("controlRestSidecars", "controlRest"), "member reducer"},
			cost{"claims and outcomes served, log sent", "the same, another quarter", s.Size.Requests * s.claimControl() * (leaderShare - followerShare), "control.Server; one stream an entry"})
	}
	c.group("processor", core, 0, cpu...)

	bytes := []cost{
		{"followers at rest", fmt.Sprintf("%s × entryRestBytes", number(followers)), followers * s.one("entryRestBytes"), "45 bytes each 2 s while nothing changes"},
		{"changes", fmt.Sprintf("changes × %s × changeBytes", number(followers)), s.changesPerSecond() * followers * s.one("changeBytes"), "each told once"},
	}
	if leads {
		bytes = append(bytes,
			cost{"sidecars' renewals", "1,100 × (sidecarRestBytes − entryRestBytes)", s.Size.Servers * (s.one("sidecarRestBytes") - s.one("entryRestBytes")), "one exchange each 1.5 s"},
			cost{"claims and outcomes", "requests × claimBytes", s.Size.Requests * s.one("claimBytes"), "one stream an entry"},
			cost{"log to the other control VMs", fmt.Sprintf("requests × recordLog × %s", number(answersOf)), s.Size.Requests * s.one("recordLog") * answersOf, "agreement, groups of entries"})
	} else {
		bytes = append(bytes, cost{"log from the leader", "requests × recordLog", s.Size.Requests * s.one("recordLog"), "agreement"})
	}
	c.group("network", rate, 0, bytes...)

	c.group("disk written", rate, 0,
		cost{"records", "requests × recordLog", s.Size.Requests * s.one("recordLog"), "segment log, synced before it is acknowledged"},
		cost{"changes", "changes × declaredLog", s.changesPerSecond() * s.one("declaredLog"), "the same log"},
	)
	c.group("disk held", size, 0,
		cost{"snapshot of the records", fmt.Sprintf("%s × recordSnapshot", number(records)), records * s.one("recordSnapshot"), "snapshots; the log behind them is cut"},
		cost{"snapshot of the declared state", "declaredSnapshot after 4,000 changes", s.at("declaredSnapshot", s.Size.Changes), "the same"},
	)
	c.table.Rows = append(c.table.Rows,
		[]string{"log stops while a snapshot is copied", fmt.Sprintf("%s × recordCopy", number(records)), seconds(records * s.one("recordCopy")), "", "Records.Image"},
		[]string{"start of a control VM", "recovery at 100,000 log entries + declaredRestore + records × recordRestore", seconds(s.at("recovery", 1e5) + s.at("declaredRestore", s.Size.Changes) + records*s.one("recordRestore")), "", "snapshot + tail; the others go on"},
	)
	return c.table
}

// The benchmark measures the processor time that three control VMs together spend on a
// request. Its split between the leader and the two others is an assumption.
const (
	leaderShare   = 0.5
	followerShare = 0.25
	// writesPerRequest counts a claim and an outcome.
	writesPerRequest = 2
	// inFlight is how many log entries the leader replicates concurrently.
	inFlight = 4
)

// entriesPerRequest returns how many log entries a request takes if the writes that arrive
// during a round trip between regions share inFlight entries.
func (s *sums) entriesPerRequest() float64 {
	group := max(1, writesPerRequest*s.Size.Requests*s.Assumptions.RegionRoundTrip/inFlight)
	return writesPerRequest / group
}

// claimControl returns the processor time of the control VMs for the claim and outcome of
// a request, in seconds.
func (s *sums) claimControl() float64 { return s.at("claimControl", s.entriesPerRequest()) }

// announcing returns the additional cost of a follower that announces a server: the slope
// of sidecars less the slope of entries.
func (s *sums) announcing(sidecars, entries string) float64 {
	return max(0, s.each(sidecars)-s.each(entries))
}

// records returns the table that compares alternative places to store request records.
func (s *sums) records() Table {
	t := Table{Name: "records", Head: []string{"", "one log (built)", "a log for each key range", "homes among the entries"}}
	kept := s.recordsKept()
	const logs = 8
	perLog := kept / logs
	held := perLog * logs * 3 / s.Assumptions.ControlVMs
	home := kept * 3 / s.Size.Entries
	row := func(what string, cells ...string) { t.Rows = append(t.Rows, append([]string{what}, cells...)) }
	row("records held on a process", number(kept), fmt.Sprintf("%s (8 logs, 3 replicas each)", number(held)), fmt.Sprintf("%s (3 copies)", number(home)))
	row("memory for them", size(kept*s.one("recordMemory")), size(held*s.one("recordMemory")), size(home*s.one("recordMemory")))
	row("log stops for a snapshot", seconds(kept*s.one("recordCopy")), seconds(perLog*s.one("recordCopy")), "no log")
	row("restore after a restart", seconds(kept*s.one("recordRestore")), seconds(held*s.one("recordRestore")), seconds(home*s.one("recordRestore")))
	row("processor to apply, each VM", core(s.Size.Requests*s.one("recordApply")), core(s.Size.Requests*s.one("recordApply")*3/s.Assumptions.ControlVMs), core(s.Size.Requests*s.one("recordApply")*3/s.Size.Entries))
	row("delay of a claim across regions", seconds(2*s.Assumptions.RegionRoundTrip+s.one("claimAlone")), "the same", seconds(s.Assumptions.RegionRoundTrip+s.one("claimAlone"))+" or, all copies in the region, less")
	row("of the time to the first token", fmt.Sprintf("%.2g%%", 100*(2*s.Assumptions.RegionRoundTrip+s.one("claimAlone"))/s.Size.FirstToken), "the same", fmt.Sprintf("%.2g%%", 100*(s.Assumptions.RegionRoundTrip+s.one("claimAlone"))/s.Size.FirstToken))
	row("a region cut off", "refuses all it can't claim", "refuses what it can't claim; with a log for each region only other regions' keys", "goes on if all copies are in it")
	row("two VMs lost, the second after a repair", "nothing lost", "nothing lost", "lost if the repair had not caught up: no disk")
	return t
}

// kv returns the table of the load of KV transfers on links, and of its consequences for
// placement.
func (s *sums) kv() Table {
	t := Table{Name: "kv", Head: []string{"figure", "sum", "value"}}
	add := func(what, sum, value string) { t.Rows = append(t.Rows, []string{what, sum, value}) }
	half := s.Size.Servers / 2
	server := s.Size.KVBytes / half
	domain := s.Size.KVBytes / s.Size.FailureDomains
	others := (s.Size.FailureDomains - 1) / s.Size.FailureDomains
	regions := (s.Size.Regions - 1) / s.Size.Regions
	link := server / s.Assumptions.LinkUse
	add("KV cache of a request", "KV / requests", size(s.kvPerRequest()))
	add("out of a prefill server, into a decode server, at the mean", "KV / (servers / 2)", rate(server)+" = "+gigabits(server))
	add("link that a server needs", fmt.Sprintf("at %.0f%% use", 100*s.Assumptions.LinkUse), rate(link)+" = "+gigabits(link))
	add("transfer of the mean request on it", "KV of a request / link", seconds(s.kvPerRequest()/link)+fmt.Sprintf(", %.0f%% of the first token's time", 100*s.kvPerRequest()/link/s.Size.FirstToken))
	add("on the stand-ins' 2 GB/s", "KV of a request / 2 GB/s", seconds(s.kvPerRequest()/2e9)+fmt.Sprintf(", %.0f%%; used to %.0f%%", 100*s.kvPerRequest()/2e9/s.Size.FirstToken, 100*server/2e9))
	add("out of a failure domain if decode servers were picked at random", fmt.Sprintf("KV / 12 × %.3g", others), rate(domain*others)+" = "+gigabits(domain*others))
	add("between regions if picked at random", fmt.Sprintf("KV × %.3g", regions), rate(s.Size.KVBytes*regions)+" = "+gigabits(s.Size.KVBytes*regions))
	add("out of a failure domain if a tenth of requests leave it", "KV / 12 × 0.1", rate(domain*0.1)+" = "+gigabits(domain*0.1))
	perModel := half / s.Size.Models
	add("prefill servers of a model, and decode servers", "servers / 2 / models", number(perModel))
	add("of a model's role in each failure domain if spread over all", "/ 12", number(perModel/s.Size.FailureDomains))
	add("the same, spread over 4 (two regions, two domains each)", "/ 4", number(perModel/4))
	return t
}

// gigabits formats bytes per second as Gbit/s or Tbit/s.
func gigabits(bytes float64) string {
	if bits := bytes * 8; bits >= 1e12 {
		return fmt.Sprintf("%.3g Tbit/s", bits/1e12)
	}
	return fmt.Sprintf("%.3g Gbit/s", bytes*8/1e9)
}
