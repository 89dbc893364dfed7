package entry

import (
	"container/heap"
	"time"
)

// alarm identifies one timer of a request.
type alarm int

const (
	alarmDeadline alarm = iota // the caller stops waiting
	alarmClaim                 // a claim is unanswered
	alarmWake                  // a waiting request may try again
	alarmPrefill               // the prefill round: offers, grant, result
	alarmDecode                // the decode round: offers, grant
	alarmStandby               // the second decode round: offers
	alarmCall                  // the call round: offers, grant
	alarmReserve               // decode capacity or a call status is to be requested again
	alarmHold                  // a prefill reservation was held idle for long enough
	alarmHedge                 // the transfer is slow: prepare a second server
	alarmTransfer              // the transfer or the result has timed out
	alarmStall                 // no progress for long
	alarmSettle                // a record is unsettled
	alarmAnswer                // the end of the answer waited too long for its record
	alarmStatus                // the query of the outcome of a lost call timed out
	alarmCount
)

type timer struct {
	at    time.Time
	seq   uint64
	id    string
	alarm alarm
}

// timers is a heap ordered by time, then by the order in which the timers were
// set.
type timers []timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].seq < t[j].seq
	}
	return t[i].at.Before(t[j].at)
}

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	popped := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return popped
}

// setAlarm sets an alarm of r to go off after a duration and replaces its last
// setting.
func (s *State) setAlarm(r *request, a alarm, after time.Duration) {
	s.setAlarmAt(r, a, s.now.Add(after))
}

func (s *State) setAlarmAt(r *request, a alarm, at time.Time) {
	r.due[a] = at
	s.timerSeq++
	heap.Push(&s.timers, timer{at: at, seq: s.timerSeq, id: r.ID, alarm: a})
	if len(s.timers) > 2*int(alarmCount)*(len(s.requests)+minTimers) {
		s.compactTimers()
	}
}

// minTimers keeps the heap of a nearly idle entry from being compacted often.
const minTimers = 16

// compactTimers removes the outdated entries of the heap. Without it, alarms
// set far ahead would keep the IDs of requests that ended long ago.
func (s *State) compactTimers() {
	live := s.timers[:0]
	for _, t := range s.timers {
		if r := s.requests[t.id]; r != nil && r.due[t.alarm].Equal(t.at) {
			live = append(live, t)
		}
	}
	clear(s.timers[len(live):])
	s.timers = live
	heap.Init(&s.timers)
}

func (r *request) clearAlarm(a alarm) {
	r.due[a] = time.Time{}
}

// runTimers fires every alarm that is due. An alarm that was set again or
// cleared leaves an outdated entry in the heap, which is recognised by its
// time.
func (s *State) runTimers() {
	for len(s.timers) > 0 && !s.timers[0].at.After(s.now) {
		t := heap.Pop(&s.timers).(timer)
		r := s.requests[t.id]
		if r == nil || !r.due[t.alarm].Equal(t.at) {
			continue
		}
		r.clearAlarm(t.alarm)
		s.fire(r, t.alarm)
	}
}

func (s *State) fire(r *request, a alarm) {
	switch a {
	case alarmDeadline:
		s.handleDeadline(r)
	case alarmClaim:
		s.claimTimedOut(r)
	case alarmWake:
		s.wake(r)
	case alarmPrefill:
		s.roundTimedOut(r, r.prefill)
	case alarmDecode:
		s.roundTimedOut(r, r.decode)
	case alarmStandby:
		s.roundTimedOut(r, r.standby)
	case alarmCall:
		s.roundTimedOut(r, r.call)
	case alarmReserve:
		s.retryReservation(r)
	case alarmHold:
		s.releasePrefillHold(r)
	case alarmHedge:
		s.hedgeTransfer(r)
	case alarmTransfer:
		s.handleTransferTimeout(r)
	case alarmStall:
		s.handleStall(r)
	case alarmSettle:
		s.sendSettle(r)
	case alarmAnswer:
		s.reportUnsettled(r)
	case alarmStatus:
		s.statusTimedOut(r)
	}
}
