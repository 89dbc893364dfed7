package capacity

import "fmt"

// events returns the table of occasional events: the data that they move, their duration
// and their cost.
func (s *sums) events() Table {
	t := Table{Name: "events", Head: []string{"event", "what it moves", "how fast", "what it costs"}}
	add := func(cells ...string) { t.Rows = append(t.Rows, cells) }
	start := s.startBytes()
	add("one change", fmt.Sprintf("%s told to %s followers", size(s.one("changeBytes")), number(s.followers())),
		fmt.Sprintf("median %s, 99th %s; means over 80 to 1,420 followers, little growth", seconds(s.one("inForce")), seconds(s.one("inForceLate"))),
		fmt.Sprintf("%s of processor and %s, all control VMs together", seconds(s.followers()*s.one("changeControl")), size(s.followers()*s.one("changeBytes"))))
	add("100 changes at once", "the same, told together where they come together",
		fmt.Sprintf("99th %s by the fitted line", seconds(s.at("burst", s.followers()))), "less than 100 single changes")
	add("a leading control VM lost", fmt.Sprintf("%s followers go to the other VMs", number(s.followersPerVM())),
		fmt.Sprintf("silent: change accepted after %s, in force after %s, at the lost VM's followers after %s; planned: %s", seconds(s.one("silentAccepted")), seconds(s.one("silentInForce")), seconds(s.one("silentLate")), seconds(s.one("plannedInForce"))),
		fmt.Sprintf("claims wait that long: %s requests", number(s.Size.Requests*s.one("silentAccepted"))))
	add("one restart of a daemon (110 a day)", fmt.Sprintf("the whole state, %s", size(start)), "in force once fetched",
		fmt.Sprintf("%s of processor; in a day %s and %s over all control VMs", seconds(s.one("startControl")), seconds(s.Size.Restarts*s.one("startControl")), size(s.Size.Restarts*start)))
	wave := s.Size.Entries * s.Assumptions.Wave
	waves := 1 / s.Assumptions.Wave
	handshakes := s.gatesOpen()
	add("rolling restart of all entries", fmt.Sprintf("%s waves of %s; each entry fetches %s and makes %s connections", number(waves), number(wave), size(start), number(handshakes)),
		fmt.Sprintf("%s if each stops in %s", seconds(waves*s.Assumptions.EntryStop), seconds(s.Assumptions.EntryStop)),
		fmt.Sprintf("control: %s of processor and %s in all, a wave %s on each VM; an entry: %s of processor and %s for its connections, spread over their first minutes; other entries carry %.0f%% more",
			seconds(s.Size.Entries*s.one("startControl")), size(s.Size.Entries*start), seconds(wave*s.one("startControl")/s.Assumptions.ControlVMs),
			seconds(handshakes*s.one("handshake")/2), size(handshakes*s.one("handshakeBytes")), 100*s.Assumptions.Wave/(1-s.Assumptions.Wave)))
	add("all followers start at once", fmt.Sprintf("the whole state to %s followers", number(s.followers())),
		fmt.Sprintf("at least %s on each control VM with one core", seconds(s.followersPerVM()*s.one("startControl"))),
		fmt.Sprintf("%s of processor on each, %s of it in encoding the state for each follower anew; %s in all", seconds(s.followersPerVM()*s.one("startControl")), seconds(s.followersPerVM()*s.one("wholeState")), size(s.followers()*start)))
	s.domainLost(add)
	s.regionCut(add, start)
	return t
}

// domainLost adds the rows for the loss of a failure domain.
func (s *sums) domainLost(add func(...string)) {
	share := 1 / s.Size.FailureDomains
	streams := s.inProgress() * share
	notice := 3.0
	add("a failure domain lost at the peak", fmt.Sprintf("%s entries, %s servers, %s followers, at most one control VM",
		number(s.entriesPerDomain()), number(s.serversPerDomain()), number(s.entriesPerDomain()+s.serversPerDomain())),
		fmt.Sprintf("streams notice within %s (silence of a peer); servers leave the membership after a lease, %s", seconds(notice), seconds(s.Assumptions.LeaseFor)),
		fmt.Sprintf("%s requests lose their decode or prefill server and %s their entry (both: %s); begun again, the prefills are %s of the fleet's whole prefill work and %s of KV; what is left carries %.0f%% more; requests sent towards lost gates until noticed: at most %s",
			number(streams), number(streams), number(streams*share), seconds(streams/s.Size.Requests/(1-share)), size(streams*s.kvPerRequest()), 100*share/(1-share), number(s.Size.Requests*share*s.Assumptions.Probes*notice)))
	load := s.Assumptions.WeightBytes / s.Assumptions.WeightRate
	add("its models brought to other servers, if operators declare it", fmt.Sprintf("weights of %s servers, %s each", number(s.serversPerDomain()), size(s.Assumptions.WeightBytes)),
		fmt.Sprintf("%s for one, %s for all with %s loads at a time", seconds(load), seconds(load*s.serversPerDomain()/s.Assumptions.WeightLoads), number(s.Assumptions.WeightLoads)),
		"the weight store's rate; the pools' spare room carries the loss meanwhile")
	add("the same, in what was to run once", fmt.Sprintf("%.0f%% of requests, those with their server or entry there", 100*s.Assumptions.OnceShare),
		"owners' leases end after 10 s", "told `unknown` unless the server's status call resolves them; none runs twice")
}

// regionCut adds the rows for a region that is cut off and reconnected.
func (s *sums) regionCut(add func(...string), start float64) {
	share := 1 / s.Size.Regions
	followers := s.followers() * share
	add("one region cut off for 5 min", fmt.Sprintf("%s entries, %s servers; two of five voters at most", number(s.Size.Entries*share), number(s.Size.Servers*share)),
		"at once: the rest has a quorum, at most one leader change; in the region declared state stays in force and ages visibly",
		fmt.Sprintf("the region refuses %s requests/s, %s in 5 min, each with `ran: no` or `unknown`; the rest carries on with %.0f%% of the servers; if the balancer sends all there, %.0f%% more",
			number(s.Size.Requests*share), number(s.Size.Requests*share*s.Size.Unreached), 100*(1-share), 100*share/(1-share)))
	add("the region comes back", fmt.Sprintf("%s followers catch up", number(followers)), "doubled, jittered waits up to 5 s",
		fmt.Sprintf("the tail only; if all took the whole state: %s and %s of processor", size(followers*start), seconds(followers*s.one("startControl"))))
}
