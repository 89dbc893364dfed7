package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/caller"
	"github.com/oriolebend/oriolebend/internal/pause"
	"github.com/oriolebend/oriolebend/internal/standin/answer"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Result is the result of one planned request.
type Result struct {
	Request Request
	Outcome Outcome
	// Reason is why the request was not answered.
	Reason oriolebend.Reason
	// Retries has the reason of every retry.
	Retries []oriolebend.Reason
	// First is the time from when the request was due to its first output, Last the
	// time to its last output.
	First, Last time.Duration
	Tokens      int
	gaps        []gap
	// Replayed is true if the answer came from the stored record of the request.
	Replayed bool
	// Damage describes how the answer differs from the expected one; empty if it
	// does not.
	Damage string
	// FalseNotRun is true if the caller was informed that a call did not run, and
	// it did run.
	FalseNotRun bool
	// Doubled describes the evidence of a second execution or a second answer; empty
	// if there is none.
	Doubled string
}

// sender sends the requests of one load.
type sender struct {
	description Description
	client      *http.Client
	// run is the prefix that distinguishes the keys of this run from those of other
	// runs.
	run   string
	start time.Time
}

// minRetryDelay is the least delay before a retry; it applies if the entry named no
// longer one, as after a lost connection.
const minRetryDelay = 50 * time.Millisecond

// deliver sends a request as planned and returns its result. The caller's timeout
// counts from when the request was due.
func (s *sender) deliver(ctx context.Context, r Request) Result {
	due := s.start.Add(r.At)
	ctx, cancel := context.WithDeadline(ctx, due.Add(time.Duration(s.description.Within)))
	defer cancel()
	if r.CancelAfter > 0 {
		return s.deliverCancelled(ctx, r)
	}
	if !r.Duplicate {
		return s.deliverOnce(ctx, r)
	}
	return s.deliverTwice(ctx, r)
}

// deliverOnce sends a request that is neither cancelled nor sent twice.
func (s *sender) deliverOnce(ctx context.Context, r Request) Result {
	result, _ := s.sendWithRetries(ctx, r, 0)
	return result
}

// deliverCancelled sends a request and cancels it at the planned time, if it has not
// ended before.
func (s *sender) deliverCancelled(ctx context.Context, r Request) Result {
	ctx, cancel := context.WithDeadline(ctx, s.start.Add(r.At+r.CancelAfter))
	defer cancel()
	result, _ := s.sendWithRetries(ctx, r, 0)
	if result.Outcome == OutcomeLost && ctx.Err() != nil {
		result.Outcome, result.Reason = OutcomeCancelled, ""
	}
	return result
}

// deliverTwice sends a request to two entries with the same idempotency key. Both
// must return the same answer from the same request record.
func (s *sender) deliverTwice(ctx context.Context, r Request) Result {
	var second Result
	var secondAttempt attempt
	var wait sync.WaitGroup
	wait.Go(func() {
		if pause.For(ctx, time.Duration(s.description.Classes[r.Class].DuplicateAfter)) {
			second, secondAttempt = s.sendWithRetries(ctx, r, 1)
		}
	})
	result, first := s.sendWithRetries(ctx, r, 0)
	wait.Wait()
	result.Retries = append(result.Retries, second.Retries...)
	if result.Doubled == "" {
		result.Doubled = second.Doubled
	}
	if result.Damage == "" {
		result.Damage = second.Damage
	}
	if result.Outcome != OutcomeAnswered || second.Outcome != OutcomeAnswered {
		return result
	}
	switch {
	case first.requestID != secondAttempt.requestID:
		result.Doubled = fmt.Sprintf("answered as %s and %s", first.requestID, secondAttempt.requestID)
	case first.text != secondAttempt.text:
		result.Doubled = "two different answers"
	}
	return result
}

// sendWithRetries sends a request and retries it with the same key as a caller would.
// Attempts go to the entries in turn, beginning with the entry of the request's number
// plus offset.
func (s *sender) sendWithRetries(ctx context.Context, r Request, offset int) (Result, attempt) {
	result := Result{Request: r}
	sent := s.buildMessage(r)
	entries := s.description.Entries
	for number := 1; ; number++ {
		entry := entries[(r.Number+offset+number-1)%len(entries)]
		a := send(ctx, s.client, entry, sent)
		s.addTimes(&result, a)
		if number == s.description.Tries || !a.mayRetry() || ctx.Err() != nil {
			s.finish(&result, a)
			return result, a
		}
		result.Retries = append(result.Retries, a.reason)
		if !pause.For(ctx, max(a.retryAfter, minRetryDelay)) {
			s.finish(&result, a)
			return result, a
		}
	}
}

// addTimes adds the times of one attempt. The first output of any attempt counts as the
// first output of the request.
func (s *sender) addTimes(result *Result, a attempt) {
	if a.first.IsZero() {
		return
	}
	due := s.start.Add(result.Request.At)
	if result.First == 0 {
		result.First = a.first.Sub(due)
	}
	result.Last = a.last.Sub(due)
	result.gaps = append(result.gaps, a.gaps...)
}

// finish sets the result from the last attempt and verifies a complete answer.
func (s *sender) finish(result *Result, a attempt) {
	result.Outcome, result.Reason = a.outcome, a.reason
	result.Tokens, result.Replayed = a.tokens, a.replayed
	if a.outcome != OutcomeAnswered {
		return
	}
	class := s.description.Classes[result.Request.Class]
	if !class.Unchecked {
		s.verify(result, class, a)
	}
}

// verify compares an answer with the answer that stand-in engines and services give.
func (s *sender) verify(result *Result, class Class, a attempt) {
	var err error
	r := result.Request
	switch class.Kind {
	case KindRoute:
		result.Damage = a.damage
	case KindCall:
		result.Damage, result.Doubled = verifyCall(a.text)
	case KindChat:
		err = answer.CheckText(a.text, r.OutputTokens)
	case KindCompletion:
		name, _ := oriolebend.ParseModelName(class.Model)
		err = answer.Check(name.Model, name.Adapter, s.description.prompt(r), r.OutputTokens, a.text)
	}
	if err != nil {
		result.Damage = err.Error()
	}
}

// verifyCall checks the answer of a stand-in service, which counts the executions of
// each call.
func verifyCall(text string) (damage, doubled string) {
	var answered struct {
		Execution int `json:"execution"`
	}
	if err := json.Unmarshal([]byte(text), &answered); err != nil || answered.Execution == 0 {
		return "not the answer of a stand-in service", ""
	}
	if answered.Execution > 1 {
		return "", fmt.Sprintf("executed %d times", answered.Execution)
	}
	return "", ""
}

// idempotencyKey returns the idempotency key of a request.
func idempotencyKey(run string, r Request) string {
	return fmt.Sprintf("%s-%d", run, r.Number)
}

// buildMessage builds the HTTP message of a request.
func (s *sender) buildMessage(r Request) httpMessage {
	class, organisation := s.description.Classes[r.Class], s.description.Organisations[r.Organisation]
	if class.Kind == KindRoute {
		return s.routeMessage(r, class)
	}
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(caller.HeaderKey, idempotencyKey(s.run, r))
	header.Set(caller.HeaderOrganisation, organisation.Name)
	set := func(name, value string) {
		if value != "" {
			header.Set(name, value)
		}
	}
	if organisation.Token != "" {
		header.Set("Authorization", "Bearer "+organisation.Token)
	}
	set(caller.HeaderOperation, class.Operation)
	set(caller.HeaderUrgency, string(class.Urgency))
	if class.Deadline > 0 {
		header.Set(caller.HeaderDeadline, time.Duration(class.Deadline).String())
	}
	return httpMessage{kind: class.Kind, path: class.path(), header: header, body: s.body(r, class)}
}

func (c Class) path() string {
	switch c.Kind {
	case KindCall:
		return c.Path
	case KindChat:
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

func (s *sender) body(r Request, class Class) []byte {
	type chatMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	content := struct {
		Model     string        `json:"model,omitempty"`
		Prompt    string        `json:"prompt,omitempty"`
		Messages  []chatMessage `json:"messages,omitempty"`
		MaxTokens int           `json:"max_tokens,omitempty"`
		Stream    bool          `json:"stream,omitempty"`
		Text      string        `json:"text,omitempty"`
	}{Model: class.Model, MaxTokens: r.OutputTokens, Stream: class.Kind != KindCall}
	prompt := s.description.prompt(r)
	switch class.Kind {
	case KindCall:
		content.Text = strings.TrimSpace(prompt)
	case KindChat:
		content.Messages = []chatMessage{{Role: "user", Content: prompt}}
	default:
		content.Prompt = prompt
	}
	data, _ := json.Marshal(content) // plain text and numbers always encode
	return data
}
