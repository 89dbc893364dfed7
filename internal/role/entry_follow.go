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

// recordPollInterval is how often the record of a request is queried while its
// owner can't be followed.
const recordPollInterval = 500 * time.Millisecond

// Attach implements caller.Router.
func (e *Entry) Attach(ctx context.Context, organisation, requestID string) <-chan caller.Chunk {
	out := make(chan caller.Chunk)
	go func() {
		defer close(out)
		e.follow(ctx, followedRequest{organisation: organisation, requestID: requestID}, func(c caller.Chunk) {
			select {
			case out <- c:
			case <-ctx.Done():
			}
		})
	}()
	return out
}

// attachCaller lets a caller whose key is in use by another request follow that
// request.
func (e *Entry) attachCaller(f entry.AnswerAttach) {
	e.mu.Lock()
	log := e.answers[f.RequestID]
	e.mu.Unlock()
	if log == nil {
		return
	}
	w := followedRequest{
		organisation: log.organisation,
		requestID:    f.Record,
		ownerAddress: f.OwnerAddress,
		// The caller still waits at this entry, which has its complete request:
		// if the owner crashed before any output, this entry claims it again.
		resubmit: func() { e.resubmit(f.RequestID, log) },
	}
	e.follow(e.ctx, w, func(c caller.Chunk) {
		c.RequestID = f.Record
		log.append(c)
	})
}

// resubmit takes over a request whose owner has crashed and runs it at this entry. The
// request gets a new id, because the record keeps the first outcome under the old id.
func (e *Entry) resubmit(requestID string, log *answerLog) {
	r := log.request
	r.ID = uuid.Must(uuid.NewV7()).String()
	log.setID(r.ID)
	e.mu.Lock()
	delete(e.answers, requestID)
	e.answers[r.ID] = log
	e.mu.Unlock()
	log.append(caller.Chunk{RequestID: r.ID})
	e.loop.Post(entry.Arrived{At: time.Now(), Request: r})
}

// followedRequest is a request that is followed, and the place where it runs.
type followedRequest struct {
	organisation string
	requestID    string
	// ownerAddress is the address of the request's owner, empty if unknown.
	ownerAddress string
	// resubmit runs the request at this entry; it is nil for a caller that only
	// follows.
	resubmit func()
}

// follow follows a request at this entry, at its owner, or in its record, until its
// last chunk was passed to put or the request was claimed again.
func (e *Entry) follow(ctx context.Context, w followedRequest, put func(caller.Chunk)) {
	delivered := 0
	once := func(c caller.Chunk) {
		if c.Text != "" && c.Offset < delivered {
			return
		}
		delivered = max(delivered, c.Offset+c.Tokens)
		put(c)
	}
	for ctx.Err() == nil {
		if e.followLocal(ctx, w.organisation, w.requestID, once) {
			return
		}
		if w.ownerAddress != "" && e.followOwner(ctx, w, once) {
			return
		}
		found, err := e.Record(ctx, w.organisation, w.requestID)
		if err != nil {
			put(caller.Chunk{Problem: unreadRecordProblem(err, w.requestID)})
			return
		}
		if w.resubmit != nil && delivered == 0 && ownerLost(found) {
			w.resubmit()
			return
		}
		if chunk, final := finalChunk(found, w.requestID, delivered); final {
			put(chunk)
			return
		}
		w.ownerAddress = found.OwnerAddress
		wait(ctx, recordPollInterval)
	}
}

// unreadRecordProblem returns the problem for a caller whose request has a record that
// can't be read now. The error describes the query for the record, which was not run. The
// request itself was claimed by another entry and may have run. If the error were returned
// unchanged, the caller would receive "not run" for a request that ran, and might make a
// payment twice.
func unreadRecordProblem(err error, requestID string) *oriolebend.Problem {
	p := *asProblem(err, requestID)
	if p.Reason != oriolebend.ReasonUnknownRequest {
		p.Ran = oriolebend.RanUnknown
	}
	return &p
}

// ownerLost reports whether a request's owner is lost and another entry may run the
// request. Otherwise the caller that follows it would receive the failure of the
// crashed process in place of an answer.
func ownerLost(a message.ClaimAnswer) bool {
	return a.State == message.RecordFailed && a.Answer != nil && a.Answer.Reason == oriolebend.ReasonLeaseEnded ||
		a.State == message.RecordFailed && a.Reason == oriolebend.ReasonLeaseEnded
}

// followLocal reads the answer of a request that this entry owns. It reports false
// if the entry does not run the request or ctx ended first.
func (e *Entry) followLocal(ctx context.Context, organisation, requestID string, put func(caller.Chunk)) bool {
	e.mu.Lock()
	log := e.answers[requestID]
	e.mu.Unlock()
	if log == nil || log.organisation != organisation {
		return false
	}
	return e.read(ctx, log, put)
}

// read passes every chunk of an answer to put; it reports false if ctx ended first.
// When the last reader disconnects before the end, no caller is left to receive the
// answer, and the request is cancelled unless it continues without readers.
func (e *Entry) read(ctx context.Context, log *answerLog, put func(caller.Chunk)) bool {
	log.addReader()
	complete := readLog(ctx, log, put)
	if log.removeReader() && !complete {
		e.loop.Post(entry.CallerLeft{At: time.Now(), RequestID: log.id()})
		e.dropAnswer(log.id(), log)
	}
	return complete
}

// readLog passes every chunk to put; it reports false if ctx ended first.
func readLog(ctx context.Context, log *answerLog, put func(caller.Chunk)) bool {
	read := 0
	for {
		chunks, changed := log.chunksFrom(read)
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

// followOwner reads the answer from the entry that owns the request. It reports
// false if that entry is unreachable, does not know the request, or is lost before
// the end.
func (e *Entry) followOwner(ctx context.Context, w followedRequest, put func(caller.Chunk)) bool {
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
		put(chunkFromFollowed(followed, w.requestID))
		if followed.Last {
			return true
		}
	}
}

func (e *Entry) openFollow(ctx context.Context, address string, f message.Follow) (peer.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
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

// ServeFollow is the peer.Handler for entries whose callers sent the key of a
// request that this entry runs.
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
	known := e.followLocal(ctx, follow.Organisation, follow.RequestID, func(c caller.Chunk) {
		if s.Send(followedFromChunk(c)) != nil {
			cancel()
		}
	})
	if !known {
		_ = s.Send(message.Followed{Last: true, Reason: oriolebend.ReasonUnknownRequest})
	}
}

func followedFromChunk(c caller.Chunk) message.Followed {
	f := message.Followed{Offset: c.Offset, Tokens: c.Tokens, Text: c.Text, Last: c.Last(), Call: c.Call, Answer: c.Replay}
	if c.End != nil {
		f.Finish, f.Tokens = c.End.Finish, c.End.Tokens
	}
	if c.Problem != nil {
		f.Reason, f.Ran, f.RetryAfter, f.Detail = c.Problem.Reason, c.Problem.Ran, c.Problem.RetryAfter, c.Problem.Detail
	}
	return f
}

func chunkFromFollowed(f message.Followed, requestID string) caller.Chunk {
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

// finalChunk returns the last chunk of an answer whose record is settled. The stored
// answer has no token bounds, so the rest can't be separated from output that the
// caller has already received. In this case the stream breaks off and a retry
// replays the stored answer.
func finalChunk(a message.ClaimAnswer, requestID string, delivered int) (caller.Chunk, bool) {
	switch a.State {
	case message.RecordAnswered:
		if a.Answer != nil && delivered == 0 {
			return caller.Chunk{Replay: a.Answer}, true
		}
		return retryChunk(requestID, oriolebend.ReasonServerLost, oriolebend.RanYes, "the answer is stored; ask again with the same key"), true
	case message.RecordFailed:
		if a.Answer != nil && !record.IsTransient(a.Answer.Reason) {
			return caller.Chunk{Replay: a.Answer}, true
		}
		return retryChunk(requestID, failureOf(a), oriolebend.RanUnknown, "the request failed where it ran; ask again with the same key"), true
	case message.RecordNotRun:
		return retryChunk(requestID, oriolebend.ReasonServerLost, oriolebend.RanNo, "the request was closed without running; ask again with the same key"), true
	case message.RecordUnknown:
		return problemChunk(requestID, oriolebend.ReasonOutcomeLost, oriolebend.RanUnknown, "the request was dispatched once and its outcome is lost"), true
	default:
		return caller.Chunk{}, false
	}
}

// failureOf returns the reason in its record for which a request failed.
func failureOf(a message.ClaimAnswer) oriolebend.Reason {
	if a.Answer == nil || a.Answer.Reason == "" {
		return oriolebend.ReasonServerLost
	}
	return a.Answer.Reason
}

func problemChunk(requestID string, reason oriolebend.Reason, ran oriolebend.Ran, detail string) caller.Chunk {
	return caller.Chunk{Problem: &oriolebend.Problem{Reason: reason, Ran: ran, RequestID: requestID, Detail: detail}}
}

// followRetryAfter is the retry delay for a caller that followed a request. By then
// the record allows a new run or holds the answer.
const followRetryAfter = time.Second

func retryChunk(requestID string, reason oriolebend.Reason, ran oriolebend.Ran, detail string) caller.Chunk {
	c := problemChunk(requestID, reason, ran, detail)
	c.Problem.RetryAfter = followRetryAfter
	return c
}

// wait waits until a time has passed or ctx ends. It does not report which, so its
// callers check ctx.
func wait(ctx context.Context, d time.Duration) { pause.For(ctx, d) }
