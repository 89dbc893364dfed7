package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestHealthCheck(t *testing.T) {
	const idleAfter = time.Minute
	now := time.Unix(1_000, 0)
	cases := []struct {
		name     string
		h        health
		packets  uint64
		stopping bool
		want     verdict
	}{
		{name: "received", h: health{sessions: 1, packets: 4, quietTicks: 4}, packets: 5, want: verdictKeep},
		{name: "quietForATick", h: health{sessions: 1, packets: 5}, packets: 5, want: verdictKeep},
		{name: "quiet", h: health{sessions: 1, packets: 5, quietTicks: 1}, packets: 5, want: verdictPing},
		{name: "stillQuiet", h: health{sessions: 1, packets: 5, quietTicks: 3}, packets: 5, want: verdictPing},
		{name: "silent", h: health{sessions: 1, packets: 5, quietTicks: 4}, packets: 5, want: verdictSilent},
		{name: "noSessions", h: health{packets: 5, quietTicks: 9, idleSince: now}, packets: 5, want: verdictKeep},
		{name: "idle", h: health{dialled: true, idleSince: now.Add(-idleAfter)}, want: verdictIdle},
		{name: "notIdleYet", h: health{dialled: true, idleSince: now.Add(1 - idleAfter)}, want: verdictKeep},
		{name: "idleButAccepted", h: health{idleSince: now.Add(-idleAfter)}, want: verdictKeep},
		{name: "bye", h: health{bye: true}, want: verdictIdle},
		{name: "byeJustAfterASession", h: health{bye: true, idleSince: now}, want: verdictKeep},
		{name: "byeWithSessions", h: health{bye: true, sessions: 1, packets: 5}, packets: 6, want: verdictKeep},
		{name: "stoppingIsChecked", h: health{packets: 5, quietTicks: 4}, packets: 5, stopping: true, want: verdictSilent},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.h.idleAfter = idleAfter
			is.New(t).Equal(c.h.check(c.packets, now, c.stopping), c.want)
		})
	}
}

// Guards against a new session that is aborted immediately on a connection that was
// idle for a long time, because ticks before the session were counted.
func TestFirstSessionForgetsSilence(t *testing.T) {
	h := health{quietTicks: 4, packets: 5}
	h.sessionStarted()
	is.New(t).Equal(h.check(5, time.Unix(0, 0), false), verdictKeep)
}
