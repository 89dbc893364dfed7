package role

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/oriolebend/oriolebend/internal/caller"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/pause"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
	"github.com/oriolebend/oriolebend/internal/reducer/record"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// pollEvery is how often the record of a request is looked up while its owner
// can't be followed.
const pollEvery = 500 * time.Millisecond

// Attach implements caller.Router.
func (e *Entry) Attach(ctx context.Context, organisation, requestID string) <-chan caller.Chunk {
	out := make(chan caller.Chunk)
	go func() {
		defer close(out)
		e.attachTo(ctx, following{organisation: organisation, requestID: requestID}, func(c caller.Chunk) {
			select {
			case out <- c:
			case <-ctx.Done():
			}
		})
	}()
	return out
}

// attach has a caller whose key is in use elsewhere follow the request that
// uses it.
func (e *Entry) attach(f entry.AnswerAttach) {
	e.mu.Lock()
	log := e.answers[f.RequestID]
	e.mu.Unlock()
	if log == nil {
		return
	}
	w := following{
		organisation: log.organisation,
		requestID:    f.Record,
		ownerAddress: f.OwnerAddress,
		// The caller of this entry still waits and its request is whole: if
		// the owner died before any output, this entry claims it anew.
		claimAgain: func() { e.submitAgain(f.RequestID, log) },
	}
	e.attachTo(e.ctx, w, func(c caller.Chunk) {
		c.RequestID = f.Record
		log.append(c)
	})
}

// submitAgain has this entry run a request whose owner died. It gets a new id:
// the record holds an id for the outcome that it was given first.
func (e *Entry) submitAgain(requestID string, log *answerLog) {
	r := log.request
	r.ID = uuid.Must(uuid.NewV7()).String()
	log.rename(r.ID)
	e.mu.Lock()
	delete(e.answers, requestID)
	e.answers[r.ID] = log
	e.mu.Unlock()
	log.append(caller.Chunk{RequestID: r.ID})
	e.loop.Post(entry.Arrived{At: time.Now(), Request: r})
}

// following is a request that is followed, and where.
type following struct {
	organisation string
	requestID    string
	// ownerAddress is where the request's owner is reached, empty if unknown.
	ownerAddress string
	// claimAgain has the request run by this entry; it is nil for those who
	// only look on.
	claimAgain func()
}

// attachTo follows a request here, at its owner, or in its record, until its
// last chunk went to put or it was claimed anew.
func (e *Entry) attachTo(ctx context.Context, w following, put func(caller.Chunk)) {
	delivered := 0
	once := func(c caller.Chunk) {
		if c.Text != "" && c.Offset < delivered {
			return
		}
		delivered = max(delivered, c.Offset+c.Tokens)
		put(c)
	}
	for ctx.Err() == nil {
		if e.followHere(ctx, w.organisation, w.requestID, once) {
			return
		}
		if w.ownerAddress != "" && e.followOwner(ctx, w, once) {
			return
		}
		found, err := e.Record(ctx, w.organisation, w.requestID)
		if err != nil {
			put(caller.Chunk{Problem: notFollowed(err, w.requestID)})
			return
		}
		if w.claimAgain != nil && delivered == 0 && orphaned(found) {
			w.claimAgain()
			return
		}
		if chunk, final := finalChunk(found, w.requestID, delivered); final {
			put(chunk)
			return
		}
		w.ownerAddress = found.OwnerAddress
		wait(ctx, pollEvery)
	}
}

// notFollowed is what a caller is told whose request has a record that can't be read
// now. The error is about the reading, which was not done; the request itself was
// claimed by somebody and may have run. Passed on as it is, "not run" would be told of
// a request that ran, and a payment would be made a second time.
func notFollowed(err error, requestID string) *oriolebend.Problem {
	p := *asProblem(err, requestID)
	if p.Reason != oriolebend.ReasonUnknownRequest {
		p.Ran = oriolebend.RanUnknown
	}
	return &p
}

// orphaned reports whether a request's owner is gone and another entry may run
// it: the caller that follows it would otherwise get the end of a process that
// died in place of its answer.
func orphaned(a message.ClaimAnswer) bool {
	return a.State == message.RecordFailed && a.Answer != nil && a.Answer.Reason == oriolebend.ReasonLeaseEnded ||
		a.State == message.RecordFailed && a.Reason == oriolebend.ReasonLeaseEnded
}

// followHere reads the answer of a request that this entry owns.
func (e *Entry) followHere(ctx context.Context, organisation, requestID string, put func(caller.Chunk)) bool {
	e.mu.Lock()
	log := e.answers[requestID]
	e.mu.Unlock()
	if log == nil || log.organisation != organisation {
		return false
	}
	return e.read(ctx, log, put)
}

// read hands every chunk of an answer to put; it returns false if ctx ended
// first. The last reader that leaves before the end cancels the request: no
// caller is left that could take its answer.
func (e *Entry) read(ctx context.Context, log *answerLog, put func(caller.Chunk)) bool {
	log.join()
	whole := readLog(ctx, log, put)
	if log.leave() && !whole {
		e.loop.Post(entry.CallerLeft{At: time.Now(), RequestID: log.id()})
		e.forget(log.id(), log)
	}
	return whole
}

// readLog hands every chunk to put; it returns false if ctx ended first.
func readLog(ctx context.Context, log *answerLog, put func(caller.Chunk)) bool {
	read := 0
	for {
		chunks, changed := log.from(read)
		for _, c := range chunks {
			put(c)
			if c.Last() {
				return true
			}
		}
		read += len(chunks)
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// followOwner reads the answer from the entry that owns the request. It
// returns false if that entry can't be reached, does not know the request, or
// is lost before the end.
func (e *Entry) followOwner(ctx context.Context, w following, put func(caller.Chunk)) bool {
	s, err := e.openFollow(ctx, w.ownerAddress, message.Follow{RequestID: w.requestID, Organisation: w.organisation})
	if err != nil {
		return false
	}
	defer s.Close()
	defer context.AfterFunc(ctx, func() { s.Close() })()
	for {
		m, err := s.Receive()
		if err != nil {
			return false
		}
		followed, ok := m.(message.Followed)
		if !ok || followed.Reason == oriolebend.ReasonUnknownRequest {
			return false
		}
		put(chunkOf(followed, w.requestID))
		if followed.Last {
			return true
		}
	}
}

func (e *Entry) openFollow(ctx context.Context, address string, f message.Follow) (peer.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, openWithin)
	defer cancel()
	s, err := e.config.Dialer.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	if err := s.Send(f); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// ServeFollow is the peer.Handler for entries whose callers sent a key that
// this entry runs.
func (e *Entry) ServeFollow(ctx context.Context, s peer.Stream) {
	first, err := s.Receive()
	if err != nil {
		return
	}
	follow, ok := first.(message.Follow)
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		<-s.Done()
		cancel()
	}()
	known := e.followHere(ctx, follow.Organisation, follow.RequestID, func(c caller.Chunk) {
		if s.Send(followedOf(c)) != nil {
			cancel()
		}
	})
	if !known {
		_ = s.Send(message.Followed{Last: true, Reason: oriolebend.ReasonUnknownRequest})
	}
}

func followedOf(c caller.Chunk) message.Followed {
	f := message.Followed{Offset: c.Offset, Tokens: c.Tokens, Text: c.Text, Last: c.Last(), Call: c.Call, Answer: c.Replay}
	if c.End != nil {
		f.Finish, f.Tokens = c.End.Finish, c.End.Tokens
	}
	if c.Problem != nil {
		f.Reason, f.Ran, f.RetryAfter, f.Detail = c.Problem.Reason, c.Problem.Ran, c.Problem.RetryAfter, c.Problem.Detail
	}
	return f
}

func chunkOf(f message.Followed, requestID string) caller.Chunk {
	switch {
	case f.Reason != "":
		return caller.Chunk{Problem: &oriolebend.Problem{Reason: f.Reason, Ran: f.Ran, RetryAfter: f.RetryAfter, Detail: f.Detail, RequestID: requestID}}
	case f.Call != nil:
		return caller.Chunk{Call: f.Call}
	case f.Answer != nil:
		return caller.Chunk{Replay: f.Answer}
	case f.Last:
		return caller.Chunk{End: &caller.End{Finish: f.Finish, Tokens: f.Tokens}}
	default:
		return caller.Chunk{Offset: f.Offset, Tokens: f.Tokens, Text: f.Text}
	}
}

// finalChunk returns how an answer ends whose record is settled. If the
// caller already has a part of the output the rest can't be told from the
// stored whole without its token bounds, so the stream breaks off and a retry
// replays it.
func finalChunk(a message.ClaimAnswer, requestID string, delivered int) (caller.Chunk, bool) {
	switch a.State {
	case message.RecordAnswered:
		if a.Answer != nil && delivered == 0 {
			return caller.Chunk{Replay: a.Answer}, true
		}
		return comeBackChunk(requestID, oriolebend.ReasonServerLost, oriolebend.RanYes, "the answer is stored; ask again with the same key"), true
	case message.RecordFailed:
		if a.Answer != nil && !record.IsTransient(a.Answer.Reason) {
			return caller.Chunk{Replay: a.Answer}, true
		}
		return comeBackChunk(requestID, failureOf(a), oriolebend.RanUnknown, "the request failed where it ran; ask again with the same key"), true
	case message.RecordNotRun:
		return comeBackChunk(requestID, oriolebend.ReasonServerLost, oriolebend.RanNo, "the request was closed without running; ask again with the same key"), true
	case message.RecordUnknown:
		return problemChunk(requestID, oriolebend.ReasonOutcomeLost, oriolebend.RanUnknown, "the request was dispatched once and its outcome is lost"), true
	default:
		return caller.Chunk{}, false
	}
}

// failureOf returns why a request failed, by its record.
func failureOf(a message.ClaimAnswer) oriolebend.Reason {
	if a.Answer == nil || a.Answer.Reason == "" {
		return oriolebend.ReasonServerLost
	}
	return a.Answer.Reason
}

func problemChunk(requestID string, reason oriolebend.Reason, ran oriolebend.Ran, detail string) caller.Chunk {
	return caller.Chunk{Problem: &oriolebend.Problem{Reason: reason, Ran: ran, RequestID: requestID, Detail: detail}}
}

// comeBackAfter is when a caller that followed a request is told to send its
// key again: the record is open to a new run, or holds the answer, by then.
const comeBackAfter = time.Second

func comeBackChunk(requestID string, reason oriolebend.Reason, ran oriolebend.Ran, detail string) caller.Chunk {
	c := problemChunk(requestID, reason, ran, detail)
	c.Problem.RetryAfter = comeBackAfter
	return c
}

// wait waits where the end of ctx is looked at elsewhere.
func wait(ctx context.Context, d time.Duration) { pause.For(ctx, d) }
