package entry

import (
	"container/heap"
	"time"
)

// alarm names one timer of a request.
type alarm int

const (
	alarmDeadline alarm = iota // the caller stops waiting
	alarmClaim                 // a claim is unanswered, or is to be renewed
	alarmWake                  // a waiting request may try again
	alarmPrefill               // the prefill round: offers, grant, result
	alarmDecode                // the decode round: offers, grant
	alarmStandby               // the second decode round: offers
	alarmCall                  // the call round: offers, grant
	alarmReserve               // decode room is to be asked for once more
	alarmHold                  // prefill room was held idle for long enough
	alarmHedge                 // the transfer is slow: get a second server ready
	alarmTransfer              // the transfer is late
	alarmStall                 // no output for long
	alarmSettle                // a record is unsettled
	alarmAnswer                // the answer's end waited for its record
	alarmStatus                // the outcome of a lost call is unanswered
	alarms
)

type timer struct {
	at    time.Time
	seq   uint64
	id    string
	alarm alarm
}

// timers is a heap ordered by time, then by the order of setting.
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

// setAlarm has an alarm of r go off after a while, in place of its last one.
func (s *State) setAlarm(r *request, a alarm, after time.Duration) {
	s.setAlarmAt(r, a, s.now.Add(after))
}

func (s *State) setAlarmAt(r *request, a alarm, at time.Time) {
	r.due[a] = at
	s.seq++
	heap.Push(&s.timers, timer{at: at, seq: s.seq, id: r.ID, alarm: a})
	if len(s.timers) > 2*int(alarms)*(len(s.requests)+minTimers) {
		s.compactTimers()
	}
}

// minTimers keeps the heap of a nearly idle entry from being compacted often.
const minTimers = 16

// compactTimers drops the outdated entries of the heap: alarms far ahead would
// else keep the IDs of requests that ended long ago.
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

// runTimers carries out every alarm that is due. An alarm set again or
// cleared since leaves an outdated entry in the heap, told by its time.
func (s *State) runTimers() {
	for len(s.timers) > 0 && !s.timers[0].at.After(s.now) {
		t := heap.Pop(&s.timers).(timer)
		r := s.requests[t.id]
		if r == nil || !r.due[t.alarm].Equal(t.at) {
			continue
		}
		r.clearAlarm(t.alarm)
		s.rang(r, t.alarm)
	}
}

func (s *State) rang(r *request, a alarm) {
	switch a {
	case alarmDeadline:
		s.deadlinePassed(r)
	case alarmClaim:
		s.claimDue(r)
	case alarmWake:
		s.wake(r)
	case alarmPrefill:
		s.roundDue(r, r.prefill)
	case alarmDecode:
		s.roundDue(r, r.decode)
	case alarmStandby:
		s.roundDue(r, r.standby)
	case alarmCall:
		s.roundDue(r, r.call)
	case alarmReserve:
		s.reserveAgain(r)
	case alarmHold:
		s.releasePrefillHold(r)
	case alarmHedge:
		s.hedgeTransfer(r)
	case alarmTransfer:
		s.transferLate(r)
	case alarmStall:
		s.stalled(r)
	case alarmSettle:
		s.sendSettle(r)
	case alarmAnswer:
		s.answerUnsettled(r)
	case alarmStatus:
		s.statusDue(r)
	}
}
