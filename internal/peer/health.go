package peer

import "time"

// verdict is the action to take on a connection after a check.
type verdict string

const (
	verdictKeep   verdict = "keep"
	verdictPing   verdict = "ping"
	verdictSilent verdict = "silent"
	verdictIdle   verdict = "idle"
)

// pingAfterTicks is how many ticks without a packet pass before a connection is pinged.
// Three pings are sent before the connection times out, so that two of them may be
// lost.
const pingAfterTicks = ticksPerSilence - 4

// byeCloseDelay is how long a connection stays open after its last session once the peer
// stops. It is longer than a round trip between regions.
const byeCloseDelay = 200 * time.Millisecond

// health is the state that decides whether a connection is kept, pinged or closed.
type health struct {
	dialled   bool
	idleAfter time.Duration
	// sessions counts the sessions that this side has not closed yet.
	sessions  int
	idleSince time.Time
	// bye is true once the peer has announced that it stops.
	bye bool
	// packets is the number of packets received until the last tick, quietTicks the
	// number of ticks since the last packet.
	packets    uint64
	quietTicks int
}

// sessionStarted counts a session. Ticks without a packet before the first session don't
// count, since the peer had no reason to send then.
func (h *health) sessionStarted() {
	h.sessions++
	if h.sessions == 1 {
		h.quietTicks = 0
	}
}

func (h *health) sessionEnded(now time.Time) {
	h.sessions--
	h.idleSince = now
}

// check is called at each tick with the number of packets received so far, and
// returns the action to take. It counts ticks, not time, so that a process that was
// itself paused receives packets of its peers before it closes their connections.
func (h *health) check(packets uint64, now time.Time, stopping bool) verdict {
	received := packets != h.packets
	h.packets = packets
	if received {
		h.quietTicks = 0
	} else {
		h.quietTicks++
	}
	switch {
	case h.sessions == 0 && h.bye:
		return h.checkBye(now)
	case h.sessions == 0 && !stopping:
		return h.checkIdle(now)
	case h.quietTicks >= ticksPerSilence-1:
		return verdictSilent
	case h.quietTicks >= pingAfterTicks:
		return verdictPing
	default:
		return verdictKeep
	}
}

// checkBye closes a connection whose peer stops. It waits for byeCloseDelay after the last
// session, since closing drops data in flight.
func (h *health) checkBye(now time.Time) verdict {
	if now.Sub(h.idleSince) >= byeCloseDelay {
		return verdictIdle
	}
	return verdictKeep
}

// checkIdle closes an idle connection only if this side dialled it; see quicConfig.
func (h *health) checkIdle(now time.Time) verdict {
	h.quietTicks = 0
	if h.dialled && now.Sub(h.idleSince) >= h.idleAfter {
		return verdictIdle
	}
	return verdictKeep
}
