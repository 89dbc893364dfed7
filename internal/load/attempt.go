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

// Outcome says how a request ended for its caller.
type Outcome string

const (
	// OutcomeAnswered has the whole answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeRefused was told that it did not run.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed was told that it ran or may have run, without an answer.
	OutcomeFailed Outcome = "failed"
	// OutcomeCancelled was cancelled as planned.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeLost was told nothing.
	OutcomeLost Outcome = "lost"
	// OutcomeUnsent was due while too many were in progress.
	OutcomeUnsent Outcome = "unsent"
)

// Reasons of the load tool itself, beside those of the router.
const (
	reasonConnection oriolebend.Reason = "connectionLost"
	reasonNoEnd      oriolebend.Reason = "streamBrokeOff"
	reasonGaveUp     oriolebend.Reason = "callerGaveUp"
	reasonNotProblem oriolebend.Reason = "notAProblem"
)

// attempt is one sending of a request and what came of it.
type attempt struct {
	outcome    Outcome
	reason     oriolebend.Reason
	ran        oriolebend.Ran
	retryAfter time.Duration
	requestID  string
	replayed   bool
	// first and last are when output came; gaps is the time between tokens.
	first, last time.Time
	gaps        []gap
	tokens      int
	text        string
}

// gap is the time before a run of output, and how many tokens it had.
type gap struct {
	took   time.Duration
	tokens int
}

// sending is what is sent: the same on every try of a request.
type sending struct {
	kind   Kind
	path   string
	header http.Header
	body   []byte
}

// send sends a request to an entry once and reads its answer to the end.
func send(ctx context.Context, client *http.Client, entry string, m sending) attempt {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(entry, "/")+m.path, bytes.NewReader(m.body))
	if err != nil {
		return attempt{outcome: OutcomeLost, reason: reasonConnection}
	}
	request.Header = m.header.Clone()
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
	default:
		a.readStream(ctx, response.Body)
	}
	return a
}

func lossReason(ctx context.Context) oriolebend.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return reasonGaveUp
	}
	return reasonConnection
}

func (a *attempt) lose(reason oriolebend.Reason) {
	a.outcome, a.reason, a.ran = OutcomeLost, reason, oriolebend.RanUnknown
}

func (a *attempt) readProblem(ctx context.Context, body io.Reader) {
	data, err := io.ReadAll(body)
	if err != nil {
		a.lose(lossReason(ctx))
		return
	}
	a.takeProblem(data)
}

func (a *attempt) takeProblem(data []byte) {
	var document caller.Document
	if err := json.Unmarshal(data, &document); err != nil || document.Reason == "" {
		a.lose(reasonNotProblem)
		return
	}
	a.outcome = OutcomeFailed
	if document.Ran == oriolebend.RanNo {
		a.outcome = OutcomeRefused
	}
	a.reason, a.ran = document.Reason, document.Ran
	a.retryAfter = time.Duration(document.RetryAfterMillis) * time.Millisecond
}

// readCall reads a service's answer. A status that is not a success is an
// answer too, but none that a load expects.
func (a *attempt) readCall(ctx context.Context, response *http.Response) {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		a.lose(lossReason(ctx))
		return
	}
	a.first, a.last, a.text = time.Now(), time.Now(), string(data)
	a.outcome = OutcomeAnswered
	if response.StatusCode >= http.StatusBadRequest {
		a.outcome, a.reason, a.ran = OutcomeFailed, reasonNotProblem, oriolebend.RanUnknown
	}
}

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// readStream reads events to the last one. Without it the answer is not whole,
// however well the text ends.
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
		if done := a.takeEvent([]byte(data)); done {
			return
		}
	}
	reason := lossReason(ctx)
	if lines.Err() == nil {
		reason = reasonNoEnd
	}
	a.lose(reason)
}

// takeEvent takes one event; it reports true after a problem.
func (a *attempt) takeEvent(data []byte) bool {
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
		a.lose(reasonNoEnd)
		return true
	}
	if event.Error != nil {
		a.takeProblem(data)
		return true
	}
	for _, choice := range event.Choices {
		a.takeText(choice.Text + choice.Delta.Content)
	}
	return false
}

func (a *attempt) takeText(text string) {
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

// mayRetry reports whether a caller sends the request again with its key: after
// it was told nothing, or that it may have run, or when to come back.
func (a *attempt) mayRetry() bool {
	switch a.outcome {
	case OutcomeLost:
		return a.reason != reasonGaveUp
	case OutcomeRefused:
		return a.retryAfter > 0
	case OutcomeFailed:
		return a.retryAfter > 0 && a.ran == oriolebend.RanUnknown
	}
	return false
}
