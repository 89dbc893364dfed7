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
		return verdictIdle
	case h.sessions == 0 && !stopping:
		return h.judgeIdle(now)
	case h.silent >= ticksOfSilence-1:
		return verdictSilent
	case !heard:
		return verdictPing
	default:
		return verdictKeep
	}
}

// judgeIdle ends only the connections that this side dialled; see quicConfig.
func (h *health) judgeIdle(now time.Time) verdict {
	h.silent = 0
	if h.dialled && now.Sub(h.idleSince) >= h.idleAfter {
		return verdictIdle
	}
	return verdictKeep
}
