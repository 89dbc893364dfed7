package role

import (
	"context"
	"time"

	"github.com/oriolebend/oriolebend/internal/caller"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
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
		e.attachTo(ctx, organisation, requestID, "", nil, func(c caller.Chunk) {
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
	submit := func() bool {
		if !log.read() {
			return false
		}
		e.loop.Post(entry.Arrived{At: time.Now(), Request: log.request})
		return true
	}
	e.attachTo(e.ctx, log.organisation, f.Record, f.OwnerAddress, submit, func(c caller.Chunk) {
		c.RequestID = f.Record
		log.append(c)
	})
}

// attachTo follows a request here, at its owner, or in its record, until its
// last chunk went to put. If the request was given up before any output came,
// submit runs the follower's own in its place; it is nil if there is none.
//
// Without it the caller that came back after its entry died would wait for
// that entry's lease, only to be told to come back again.
func (e *Entry) attachTo(ctx context.Context, organisation, requestID, ownerAddress string, submit func() bool, put func(caller.Chunk)) {
	delivered := 0
	once := func(c caller.Chunk) {
		if c.Text != "" && c.Offset < delivered {
			return
		}
		delivered = max(delivered, c.Offset+c.Tokens)
		put(c)
	}
	for ctx.Err() == nil {
		if e.followHere(ctx, organisation, requestID, once) {
			return
		}
		if ownerAddress != "" && e.followOwner(ctx, organisation, requestID, ownerAddress, once) {
			return
		}
		found, err := e.Record(ctx, organisation, requestID)
		if err != nil {
			put(caller.Chunk{Problem: asProblem(err, requestID)})
			return
		}
		if found.Reopens && delivered == 0 && submit != nil && submit() {
			return
		}
		if chunk, final := finalChunk(found, requestID, delivered); final {
			put(chunk)
			return
		}
		ownerAddress = found.OwnerAddress
		wait(ctx, pollEvery)
	}
}

// followHere reads the answer of a request that this entry owns.
func (e *Entry) followHere(ctx context.Context, organisation, requestID string, put func(caller.Chunk)) bool {
	e.mu.Lock()
	log := e.answers[requestID]
	e.mu.Unlock()
	if log == nil || log.organisation != organisation {
		return false
	}
	return e.read(ctx, requestID, log, put)
}

// read hands every chunk of an answer to put; it returns false if ctx ended
// first. The last reader that leaves before the end cancels the request: no
// caller is left that could take its answer.
func (e *Entry) read(ctx context.Context, requestID string, log *answerLog, put func(caller.Chunk)) bool {
	log.join()
	whole := readLog(ctx, log, put)
	if log.leave() && !whole {
		e.loop.Post(entry.CallerGone{At: time.Now(), RequestID: requestID})
		e.forget(requestID, log)
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
func (e *Entry) followOwner(ctx context.Context, organisation, requestID, address string, put func(caller.Chunk)) bool {
	s, err := e.openFollow(ctx, address, message.Follow{RequestID: requestID, Organisation: organisation})
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
		put(chunkOf(followed, requestID))
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
	case message.RecordAnswered, message.RecordFailed:
		if a.Answer != nil && delivered == 0 {
			return caller.Chunk{Replay: a.Answer}, true
		}
		return problemChunk(requestID, oriolebend.ReasonServerLost, oriolebend.RanYes, "the answer is stored; ask again with the same key"), true
	case message.RecordNotRun:
		return problemChunk(requestID, oriolebend.ReasonServerLost, oriolebend.RanNo, "the request was closed without running"), true
	case message.RecordUnknown:
		return problemChunk(requestID, oriolebend.ReasonOutcomeLost, oriolebend.RanUnknown, "the request was dispatched once and its outcome is lost"), true
	default:
		return caller.Chunk{}, false
	}
}

func problemChunk(requestID string, reason oriolebend.Reason, ran oriolebend.Ran, detail string) caller.Chunk {
	return caller.Chunk{Problem: &oriolebend.Problem{Reason: reason, Ran: ran, RequestID: requestID, Detail: detail}}
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
