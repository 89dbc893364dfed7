package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/oriolebend/oriolebend/internal/caller"
	"github.com/oriolebend/oriolebend/internal/prefix"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Outcome is the result of a request as its caller saw it.
type Outcome string

const (
	// OutcomeAnswered means that the answer arrived to its end.
	OutcomeAnswered Outcome = "answered"
	// OutcomeRefused means that the entry answered with a problem that says that
	// the request did not run.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed means that the entry answered with a problem that says that the
	// request ran or may have run, or that a service answered with an error status.
	OutcomeFailed Outcome = "failed"
	// OutcomeCancelled means that the load cancelled the request as planned.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeLost means that the caller got neither a complete answer nor a
	// problem.
	OutcomeLost Outcome = "lost"
	// OutcomeUnsent means that the request was not sent, because the limit of
	// requests in progress was reached when it was due.
	OutcomeUnsent Outcome = "unsent"
)

// Reasons that the load tool reports itself, in addition to those of the router.
const (
	reasonConnection     oriolebend.Reason = "connectionLost"
	reasonStreamBrokeOff oriolebend.Reason = "streamBrokeOff"
	reasonCallerTimeout  oriolebend.Reason = "callerGaveUp"
	reasonNotProblem     oriolebend.Reason = "notAProblem"
)

// attempt is the result of sending a request to an entry once.
type attempt struct {
	outcome    Outcome
	reason     oriolebend.Reason
	ran        oriolebend.Ran
	retryAfter time.Duration
	requestID  string
	replayed   bool
	// first and last are the times of the first and the last output; gaps are the
	// times between tokens.
	first, last time.Time
	gaps        []gap
	tokens      int
	text        string
	// damage describes a stream whose events are not complete and in order; empty if they are.
	damage string
}

// gap is the time per token of one piece of output, counted from the piece before,
// and its number of tokens.
type gap struct {
	took   time.Duration
	tokens int
}

// httpMessage is the HTTP message of a request. Every attempt sends the same.
type httpMessage struct {
	kind Kind
	// host is the host of a route; empty means that of the entry.
	host   string
	path   string
	header http.Header
	body   []byte
}

// send sends a request to an entry once and reads the answer to its end.
func send(ctx context.Context, client *http.Client, entry string, m httpMessage) attempt {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(entry, "/")+m.path, bytes.NewReader(m.body))
	if err != nil {
		return attempt{outcome: OutcomeLost, reason: reasonConnection}
	}
	request.Header, request.Host = m.header.Clone(), m.host
	response, err := client.Do(request)
	if err != nil {
		return attempt{outcome: OutcomeLost, reason: lossReason(ctx)}
	}
	defer response.Body.Close()
	a := attempt{
		requestID: response.Header.Get(caller.HeaderRequestID),
		replayed:  response.Header.Get(caller.HeaderReplayed) == "true",
	}
	switch {
	case strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json"):
		a.readProblem(ctx, response.Body)
	case m.kind == KindCall:
		a.readCall(ctx, response)
	case m.kind == KindRoute:
		a.readRoute(ctx, response)
	default:
		a.readStream(ctx, response.Body)
	}
	return a
}

// lossReason distinguishes a caller's timeout from a lost connection.
func lossReason(ctx context.Context) oriolebend.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return reasonCallerTimeout
	}
	return reasonConnection
}

// setLost sets the outcome to lost.
func (a *attempt) setLost(reason oriolebend.Reason) {
	a.outcome, a.reason, a.ran = OutcomeLost, reason, oriolebend.RanUnknown
}

func (a *attempt) readProblem(ctx context.Context, body io.Reader) {
	data, err := io.ReadAll(body)
	if err != nil {
		a.setLost(lossReason(ctx))
		return
	}
	a.applyProblem(data)
}

// applyProblem sets the outcome from a problem document.
func (a *attempt) applyProblem(data []byte) {
	var document caller.Document
	if err := json.Unmarshal(data, &document); err != nil || document.Reason == "" {
		a.setLost(reasonNotProblem)
		return
	}
	a.outcome = OutcomeFailed
	if document.Ran == oriolebend.RanNo {
		a.outcome = OutcomeRefused
	}
	a.reason, a.ran = document.Reason, document.Ran
	a.retryAfter = time.Duration(document.RetryAfterMillis) * time.Millisecond
}

// readCall reads the answer of a service. An error status counts as failed,
// because a load expects none.
func (a *attempt) readCall(ctx context.Context, response *http.Response) {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		a.setLost(lossReason(ctx))
		return
	}
	a.first, a.last, a.text = time.Now(), time.Now(), string(data)
	a.outcome = OutcomeAnswered
	if response.StatusCode >= http.StatusBadRequest {
		a.outcome, a.reason, a.ran = OutcomeFailed, reasonNotProblem, oriolebend.RanUnknown
	}
}

// maxEvent is the largest size of one event of a stream, in bytes.
const maxEvent = 1 << 20

// readStream reads events up to the final "[DONE]". Without it the answer is
// incomplete, even if the text seems to end normally.
func (a *attempt) readStream(ctx context.Context, body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 4096), maxEvent)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			a.outcome = OutcomeAnswered
			return
		}
		if done := a.applyEvent([]byte(data)); done {
			return
		}
	}
	reason := lossReason(ctx)
	if lines.Err() == nil {
		reason = reasonStreamBrokeOff
	}
	a.setLost(reason)
}

// applyEvent applies one event. It returns true if the event ends the stream: a
// problem, or an event that can't be decoded.
func (a *attempt) applyEvent(data []byte) bool {
	var event struct {
		Choices []struct {
			Text  string `json:"text"`
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Error *json.RawMessage `json:"error"`
	}
	if err := json.Unmarshal(data, &event); err != nil {
		a.setLost(reasonStreamBrokeOff)
		return true
	}
	if event.Error != nil {
		a.applyProblem(data)
		return true
	}
	for _, choice := range event.Choices {
		a.addOutput(choice.Text + choice.Delta.Content)
	}
	return false
}

// addOutput adds a piece of output with its tokens and its time.
func (a *attempt) addOutput(text string) {
	if text == "" {
		return
	}
	now, tokens := time.Now(), max(prefix.CountTokens(text), 1)
	if a.first.IsZero() {
		a.first = now
	} else {
		a.gaps = append(a.gaps, gap{took: now.Sub(a.last) / time.Duration(tokens), tokens: tokens})
	}
	a.last = now
	a.tokens += tokens
	a.text += text
}

// mayRetry reports whether a caller sends the request again with the same key. It
// does if the attempt was lost, except by the caller's own timeout, and after a
// problem that names a retry delay and says that the request did not run or may
// have run.
func (a *attempt) mayRetry() bool {
	switch a.outcome {
	case OutcomeLost:
		return a.reason != reasonCallerTimeout
	case OutcomeRefused:
		return a.retryAfter > 0
	case OutcomeFailed:
		return a.retryAfter > 0 && a.ran == oriolebend.RanUnknown
	}
	return false
}
