// Package saturation measures whether a process has reached the capacity of its VM: of its network
// link, or of its processor. A saturated process refuses new connections before it reads from them,
// so that callers go to other processes at once.
package saturation

import (
	"context"
	"runtime"
	"sync"
	"time"
)

const (
	// slotLength is the resolution of the measurement, windowSlots the number of slots that are
	// taken together. One long body fills the smallest link for less than the window.
	slotLength  = 100 * time.Millisecond
	windowSlots = 10
	// linkFull and linkFree are shares of the link's capacity: above linkFull the process is
	// saturated, until the use has fallen below linkFree.
	linkFull = 0.5
	linkFree = 0.45
	// waitFree is the share of the longest mean wait for the processor below which the process is
	// not saturated any more.
	waitFree = 0.4
	// waitWeight is the weight of the last time in the mean, maxWait the longest time that counts: a
	// process that was suspended is not saturated for long.
	waitWeight = 0.3
	maxWait    = 300 * time.Millisecond
	// packetBytes is added to each read and write for the headers of packets, and for their
	// acknowledgements in the other direction.
	packetBytes = 60
)

// State is what a process has reached the capacity of.
type State string

// States of a process.
const (
	Free      State = "free"
	Link      State = "link"
	Processor State = "processor"
)

// Config configures a Meter.
type Config struct {
	// LinkBytes is the capacity of the VM's link in bytes per second, in each direction; zero means
	// that the link is not measured.
	LinkBytes float64
	// MaxWait is the mean time for which work may wait for the processor; zero means that it is not
	// measured.
	MaxWait time.Duration
	// Changed is called with each new state; it may be nil.
	Changed func(State, Use)
}

// Use is what a process used in the last second.
type Use struct {
	// Sent and Received are shares of the link's capacity.
	Sent, Received float64
	// Wait is the mean time for which work waited for the processor.
	Wait time.Duration
}

// Meter measures one process. A nil Meter measures nothing and is always free.
type Meter struct {
	config Config

	mutex sync.Mutex
	slots [windowSlots]traffic
	// newest is the number of the newest slot, sum the total of all slots.
	newest int64
	sum    traffic
	start  time.Time
	// state is the state of the last tick, since when it changed to or from Free.
	state State
	since time.Time
	// lastEnd is when the process was last saturated, and lastFor for how long it was until then.
	lastEnd time.Time
	lastFor time.Duration
	// nearCapacity is when the use was last above the level below which a saturated process is free.
	nearCapacity time.Time
	// wait is the mean time for which work waited for the processor, due when it is measured next.
	wait time.Duration
	due  time.Time
}

// traffic counts bytes.
type traffic struct{ sent, received int64 }

// New returns a Meter.
func New(c Config) *Meter {
	return &Meter{config: c, start: time.Now(), state: Free}
}

// LinkBytes returns the capacity of the link in bytes per second, zero if it is not measured.
func (m *Meter) LinkBytes() float64 {
	if m == nil {
		return 0
	}
	return m.config.LinkBytes
}

// Run measures the processor until ctx ends.
func (m *Meter) Run(ctx context.Context) {
	timer := time.NewTimer(slotLength)
	defer timer.Stop()
	for {
		due := m.expectTick()
		timer.Reset(time.Until(due))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			runtime.Gosched() // runs again once the goroutines that wait for the processor have run
			m.tick(time.Since(due))
		}
	}
}

// expectTick records and returns when the next timer is due. Without traffic it is due once in a
// window.
func (m *Meter) expectTick() time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.advance()
	interval := slotLength
	if m.sum == (traffic{}) && m.state == Free {
		interval *= windowSlots
	}
	m.due = time.Now().Add(interval)
	return m.due
}

// tick records for how long work waited for the processor.
func (m *Meter) tick(wait time.Duration) {
	m.mutex.Lock()
	m.wait += time.Duration(waitWeight * float64(min(wait, maxWait)-m.wait))
	m.advance()
	changed, use := m.update()
	state := m.state
	m.mutex.Unlock()
	if changed && m.config.Changed != nil {
		m.config.Changed(state, use)
	}
}

// Saturated reports whether the process has reached the capacity of its VM.
func (m *Meter) Saturated() bool {
	if m == nil {
		return false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.advance()
	return m.next() != Free
}

// SaturatedFor reports whether the process has been saturated for a time. If it is free again, the
// report is the same until it has been free for another time.
func (m *Meter) SaturatedFor(length, free time.Duration) bool {
	if m == nil {
		return false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.state != Free && time.Since(m.since) >= length {
		return true
	}
	return m.lastFor >= length && time.Since(m.lastEnd) < free
}

// NearCapacityWithin reports whether the process was saturated, or would not yet have been free again,
// within a time.
func (m *Meter) NearCapacityWithin(length time.Duration) bool {
	if m == nil {
		return false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return !m.nearCapacity.IsZero() && time.Since(m.nearCapacity) < length
}

// count adds the bytes of one read or write.
func (m *Meter) count(sent, received int) {
	if m == nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.advance()
	if sent+received == 0 {
		return
	}
	t := traffic{sent: int64(sent + packetBytes), received: int64(received + packetBytes)}
	m.slots[m.newest%windowSlots].add(t)
	m.sum.add(t)
}

func (t *traffic) add(o traffic) {
	t.sent += o.sent
	t.received += o.received
}

// advance drops the slots that have left the window. The mutex must be held.
func (m *Meter) advance() {
	newest := int64(time.Since(m.start) / slotLength)
	if newest-m.newest >= windowSlots {
		m.slots, m.sum, m.newest = [windowSlots]traffic{}, traffic{}, newest
		return
	}
	for m.newest < newest {
		m.newest++
		old := &m.slots[m.newest%windowSlots]
		m.sum.add(traffic{sent: -old.sent, received: -old.received})
		*old = traffic{}
	}
}

// use returns the use of the last window. The mutex must be held.
func (m *Meter) use() Use {
	u := Use{Wait: m.wait}
	if m.config.LinkBytes > 0 {
		capacity := m.config.LinkBytes * (slotLength * windowSlots).Seconds()
		u.Sent, u.Received = float64(m.sum.sent)/capacity, float64(m.sum.received)/capacity
	}
	return u
}

// next returns the state that the use of the last window gives. The mutex must be held.
func (m *Meter) next() State {
	link, wait := linkFull, m.config.MaxWait
	switch m.state {
	case Link:
		link = linkFree
	case Processor:
		wait = m.freeWait()
	}
	return m.exceeded(link, wait)
}

// freeWait is the mean wait for the processor below which the process is not saturated any more.
func (m *Meter) freeWait() time.Duration {
	return time.Duration(waitFree * float64(m.config.MaxWait))
}

// exceeded returns which of two levels the use of the last window exceeds. The mutex must be held.
func (m *Meter) exceeded(link float64, wait time.Duration) State {
	u := m.use()
	switch {
	case max(u.Sent, u.Received) > link:
		return Link
	case wait > 0 && (u.Wait > wait || m.overdue()):
		return Processor
	}
	return Free
}

// overdue reports whether the measurement of the processor waits for the processor itself. The mutex
// must be held.
func (m *Meter) overdue() bool {
	return !m.due.IsZero() && time.Since(m.due) >= maxWait
}

// update applies the next state, and reports whether it has changed. The mutex must be held.
func (m *Meter) update() (bool, Use) {
	next := m.next()
	changed := next != m.state
	if m.exceeded(linkFree, m.freeWait()) != Free {
		m.nearCapacity = time.Now()
	}
	if (next == Free) != (m.state == Free) {
		if next == Free {
			m.lastEnd, m.lastFor = time.Now(), time.Since(m.since)
		}
		m.since = time.Now()
	}
	m.state = next
	return changed, m.use()
}
