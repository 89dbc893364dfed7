package dispatch

import (
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Notice is what a server says of itself with an answer, whatever the answer is.
type Notice struct {
	// Leaving is set if the server takes no new work.
	Leaving bool
	// Rest is for how long the server wants no request from this VM; zero means that it
	// does not say so.
	Rest time.Duration
	// Limited is set if the server names a limit, PerSecond the requests a second that it
	// takes from all VMs together for as long as it names it.
	Limited   bool
	PerSecond float64
}

// Noticed tells what a server has said with an answer.
type Noticed struct {
	At time.Time
	// Sent is when the request was sent that was answered.
	Sent   time.Time
	Server message.BackendServer
	Notice Notice
	// Served is set if the request was served and the whole notice could be read: another
	// answer may lack what the server would have said.
	Served bool
}

func (Noticed) isDispatchEvent() {}

// Learnt tells what was new in a notice. It is told for the log.
type Learnt struct {
	// Leaving is set if the server had not said so before.
	Leaving bool
	// Rest is for how long the server is left alone from now on; zero means no longer than
	// was known.
	Rest time.Duration
	// Limited is set if the limit is new or another one, Ended if there is none any more.
	Limited, Ended bool
	PerSecond      float64
}

func (Learnt) isDispatchEffect() {}

// stated is what one start of a server has said of itself. It is kept apart from what control
// VMs tell of the server: one that is forgotten and told of anew has said it all the same.
type stated struct {
	// leaving is since when it says that it leaves, zero if it does not.
	leaving   time.Time
	restUntil time.Time
	limited   bool
	perSecond float64
	// named is when an answer named the limit last, next from when a permission to send is
	// worth asking for.
	named, next time.Time
}

// Withheld tells that a permission to send to a server with a limit was refused.
type Withheld struct {
	At     time.Time
	Server message.BackendServer
	// After is when another one may be asked for.
	After time.Duration
}

// LimitEnded tells that a server is known to have named no limit since a time.
type LimitEnded struct {
	At     time.Time
	Server message.BackendServer
}

func (Withheld) isDispatchEvent() {}

func (LimitEnded) isDispatchEvent() {}

// noticed takes in what a server has said, and returns what of it is new.
func (s *State) noticed(e Noticed) []Effect {
	kept := s.stated[e.Server.Start()]
	if kept == nil {
		if e.Notice == (Notice{}) {
			return nil
		}
		kept = &stated{}
		s.stated[e.Server.Start()] = kept
	}
	learnt := kept.take(e)
	if learnt == (Learnt{}) {
		return nil
	}
	return []Effect{learnt}
}

func (k *stated) take(e Noticed) Learnt {
	var learnt Learnt
	if e.Notice.Leaving && k.leaving.IsZero() {
		k.leaving, learnt.Leaving = e.At, true
	}
	if until := e.At.Add(e.Notice.Rest); e.Notice.Rest > 0 && until.After(k.restUntil) {
		k.restUntil, learnt.Rest = until, e.Notice.Rest
	}
	switch {
	case e.Notice.Limited:
		if !k.limited || k.perSecond != e.Notice.PerSecond {
			learnt.Limited, learnt.PerSecond = true, e.Notice.PerSecond
		}
		k.limited, k.perSecond, k.named = true, e.Notice.PerSecond, e.At
	case k.limited && e.Served && e.Sent.After(k.named):
		// An answer that was under way while the limit was named says nothing about now.
		k.limited, learnt.Ended = false, true
	}
	return learnt
}

func (s *State) withheld(e Withheld) {
	if kept := s.stated[e.Server.Start()]; kept != nil {
		kept.next = e.At.Add(e.After)
	}
}

func (s *State) limitEnded(e LimitEnded) {
	if kept := s.stated[e.Server.Start()]; kept != nil && !kept.named.After(e.At) {
		kept.limited = false
	}
}

// Limit is the limit that a server has named.
type Limit struct {
	PerSecond float64
	// Named is when an answer named it last.
	Named time.Time
}

// Limit returns the limit of a server, false if it has none as far as is known.
func (s *State) Limit(server message.BackendServer) (Limit, bool) {
	kept := s.stated[server.Start()]
	if kept == nil || !kept.limited {
		return Limit{}, false
	}
	return Limit{PerSecond: kept.perSecond, Named: kept.named}, true
}

// ClosedReason is why a server takes nothing from this forwarder now, empty if it does.
func (s *State) ClosedReason(at time.Time, server message.BackendServer) oriolebend.Reason {
	_, reason := s.closed(at, server)
	return reason
}

// closed is until when a server takes nothing from this forwarder, by what it has said of
// itself, and why; the reason is empty if it does.
func (s *State) closed(at time.Time, server message.BackendServer) (time.Time, oriolebend.Reason) {
	if len(s.stated) == 0 {
		return time.Time{}, ""
	}
	kept := s.stated[server.Start()]
	if kept == nil {
		return time.Time{}, ""
	}
	return kept.closed(at)
}

func (k *stated) closed(at time.Time) (time.Time, oriolebend.Reason) {
	switch {
	case !k.leaving.IsZero():
		return at.Add(retryUnknown), oriolebend.ReasonLeaving
	case at.Before(k.restUntil):
		return k.restUntil, oriolebend.ReasonServerRests
	case k.limited && at.Before(k.next):
		return k.next, oriolebend.ReasonServerLimit
	}
	return time.Time{}, ""
}

// resting reports whether a server has asked for rest that is not over.
func (s *State) resting(at time.Time, server message.BackendServer) bool {
	kept := s.stated[server.Start()]
	return kept != nil && at.Before(kept.restUntil)
}

// Closed lists the servers of a service that take nothing from this forwarder now.
func (s *State) Closed(at time.Time, name string) []string {
	if len(s.stated) == 0 {
		return nil
	}
	var list []string
	for _, c := range s.inOrder[name] {
		if _, reason := s.closed(at, c.BackendServer); reason != "" {
			list = append(list, c.Instance)
		}
	}
	return list
}

// retryClosed is the shortest time that a caller is told whom no server takes.
const retryClosed = 50 * time.Millisecond

// AllClosed reports whether no server of a service takes a request for what the servers have
// said of themselves, and then why and when the first of them may.
func (s *State) AllClosed(at time.Time, n Need) (Refused, bool) {
	var first time.Time
	var refused Refused
	for _, c := range s.inOrder[n.Service] {
		if !c.takesWork() || c.Role == oriolebend.Prefill || slices.Contains(n.Tried, c.Instance) {
			continue
		}
		until, reason := s.closed(at, c.BackendServer)
		switch reason {
		case "":
			return Refused{}, false
		case oriolebend.ReasonLeaving:
			continue // it takes nothing any more
		}
		if refused.Reason == "" || until.Before(first) {
			first, refused.Reason = until, reason
		}
	}
	refused.RetryAfter = max(retryClosed, first.Sub(at))
	return refused, refused.Reason != ""
}
