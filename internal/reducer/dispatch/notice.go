package dispatch

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
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
	leaving   bool
	restUntil time.Time
	limited   bool
	perSecond float64
	// named is when an answer named the limit last.
	named time.Time
}

// noticed takes in what a server has said, and returns what of it is new.
func (s *State) noticed(e Noticed) []Effect {
	start := e.Server.Start()
	kept := s.stated[start]
	if kept == nil {
		if e.Notice == (Notice{}) {
			return nil
		}
		kept = &stated{}
		s.stated[start] = kept
	}
	learnt := kept.take(e)
	if learnt == (Learnt{}) {
		return nil
	}
	return []Effect{learnt}
}

func (k *stated) take(e Noticed) Learnt {
	var learnt Learnt
	if e.Notice.Leaving && !k.leaving {
		k.leaving, learnt.Leaving = true, true
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
