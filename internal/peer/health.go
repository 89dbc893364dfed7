package peer

import "time"

// verdict is what the watcher does with a connection.
type verdict string

const (
	verdictKeep   verdict = "keep"
	verdictPing   verdict = "ping"
	verdictSilent verdict = "silent"
	verdictIdle   verdict = "idle"
)

// quietTicks is how many ticks a connection may be quiet before it is pinged.
// It leaves three pings before the silence bound, so that two of them may be
// lost.
const quietTicks = ticksOfSilence - 4

// byeLinger is longer than a round trip between regions.
const byeLinger = 200 * time.Millisecond

// health is what the watcher knows of a connection.
type health struct {
	dialled   bool
	idleAfter time.Duration
	// sessions counts those that this side has not closed yet.
	sessions  int
	idleSince time.Time
	// bye is true once the peer stops.
	bye bool
	// packets is the number received until the last tick, and silent how many
	// ticks it has stood still.
	packets uint64
	silent  int
}

// began counts a session. What was silent before the first one is forgotten:
// nobody asked the peer to speak.
func (h *health) began() {
	h.sessions++
	if h.sessions == 1 {
		h.silent = 0
	}
}

func (h *health) ended(now time.Time) {
	h.sessions--
	h.idleSince = now
}

// judge is called at each tick with the number of packets received so far.
// Ticks are counted rather than time, so that a process that was itself
// paused hears its peers before it calls them silent.
func (h *health) judge(packets uint64, now time.Time, stopping bool) verdict {
	heard := packets != h.packets
	h.packets = packets
	if heard {
		h.silent = 0
	} else {
		h.silent++
	}
	switch {
	case h.sessions == 0 && h.bye:
		return h.judgeBye(now)
	case h.sessions == 0 && !stopping:
		return h.judgeIdle(now)
	case h.silent >= ticksOfSilence-1:
		return verdictSilent
	case h.silent >= quietTicks:
		return verdictPing
	default:
		return verdictKeep
	}
}

// judgeBye ends a connection whose peer stops. It waits for a moment after the
// last session, since closing drops what is still on its way.
func (h *health) judgeBye(now time.Time) verdict {
	if now.Sub(h.idleSince) >= byeLinger {
		return verdictIdle
	}
	return verdictKeep
}

// judgeIdle ends only the connections that this side dialled; see quicConfig.
func (h *health) judgeIdle(now time.Time) verdict {
	h.silent = 0
	if h.dialled && now.Sub(h.idleSince) >= h.idleAfter {
		return verdictIdle
	}
	return verdictKeep
}
