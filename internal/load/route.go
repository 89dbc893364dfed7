package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Headers of requests to forwarders; docs/routes.md describes their values.
const (
	headerRequest  = "Oriolebend-Request"
	headerCall     = "Oriolebend-Call"
	headerDeadline = "Oriolebend-Deadline"
	headerPrompt   = "Oriolebend-Prompt-Tokens"
	headerOutput   = "Oriolebend-Output-Tokens"
)

// routeMessage builds the HTTP message of a request along a declared route of a forwarder.
func (s *sender) routeMessage(r Request, class Class) httpMessage {
	header := http.Header{}
	key := idempotencyKey(s.run, r)
	header.Set(headerRequest, key)
	header.Set(headerCall, key)
	header.Set(headerPrompt, strconv.Itoa(r.PromptTokens))
	header.Set(headerOutput, strconv.Itoa(r.OutputTokens))
	if class.Deadline > 0 {
		header.Set(headerDeadline, strconv.FormatInt(time.Duration(class.Deadline).Milliseconds(), 10))
	}
	if token := s.description.Organisations[r.Organisation].Token; token != "" {
		header.Set("Authorization", "Bearer "+token)
	}
	return httpMessage{
		kind: KindRoute, host: class.Host, path: class.Path, header: header,
		body: []byte(strings.TrimSpace(s.description.prompt(r))),
	}
}

// readRoute reads the answer of a forwarder: a refusal of its own, or the stream of a backend
// server, of which each event counts as one token.
func (a *attempt) readRoute(ctx context.Context, response *http.Response) {
	if response.StatusCode >= http.StatusBadRequest {
		a.readRouteProblem(ctx, response)
		return
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 4096), maxEvent)
	for lines.Scan() {
		if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
			a.addEvent(id)
		}
	}
	if lines.Err() != nil {
		a.setLost(lossReason(ctx))
		return
	}
	a.outcome = OutcomeAnswered
	if a.tokens == 0 {
		a.damage = "a success without an event"
	}
}

// addEvent adds an event of a stream. Events that are numbered must count from one: a stream that
// was resumed must neither repeat nor leave out an event.
func (a *attempt) addEvent(id string) {
	number, err := strconv.Atoi(id)
	if err == nil && number != a.tokens+1 && a.damage == "" {
		a.damage = fmt.Sprintf("event %d follows event %d", number, a.tokens)
	}
	now := time.Now()
	if a.first.IsZero() {
		a.first = now
	} else {
		a.gaps = append(a.gaps, gap{took: now.Sub(a.last), tokens: 1})
	}
	a.last = now
	a.tokens++
}

// readRouteProblem reads a forwarder's own answer. An error of a backend server has none of its
// fields and counts as failed.
func (a *attempt) readRouteProblem(ctx context.Context, response *http.Response) {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		a.setLost(lossReason(ctx))
		return
	}
	var problem struct {
		Reason oriolebend.Reason `json:"reason"`
		Ran    oriolebend.Ran    `json:"ran"`
	}
	a.outcome, a.reason, a.ran = OutcomeFailed, reasonNotProblem, oriolebend.RanUnknown
	if err := json.Unmarshal(data, &problem); err != nil || problem.Reason == "" {
		return
	}
	a.reason, a.ran = problem.Reason, problem.Ran
	if problem.Ran == oriolebend.RanNo {
		a.outcome = OutcomeRefused
	}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
}
