package caller

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// TestScripts runs the scripts of testdata/scripts. Their commands are:
//
//	router [notReady] [state=S]         sets the chunks of every answer from here on, one a line
//	http                                sends one request and prints the answer
//	refusals                            sends one request a line, as METHOD PATH | HEADER | -- BODY,
//	                                    and prints the status, reason, ran and detail of each answer
//	submitted                           prints the last request that was submitted to the Router
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		router := &fakeRouter{}
		handler := New(testConfig(router))
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "router":
				setRouter(t, router, d)
				return ""
			case "http":
				return exchange(t, handler, d.Input)
			case "refusals":
				return refusals(t, handler, d.Input)
			case "submitted":
				return lastSubmitted(router)
			}
			d.Fatalf(t, "unknown command %s", d.Cmd)
			return ""
		})
	})
}

func setRouter(t *testing.T, router *fakeRouter, d *datadriven.TestData) {
	router.chunks = nil
	router.notReady = d.HasArg("notReady")
	router.record = message.ClaimAnswer{}
	if d.HasArg("state") {
		var state string
		d.ScanArgs(t, "state", &state)
		router.record.State = message.RecordState(state)
		router.record.Answer = &message.Answer{Tokens: 2, Finish: message.FinishStop}
	}
	for _, line := range strings.Split(d.Input, "\n") {
		if line != "" {
			router.chunks = append(router.chunks, chunkOf(t, strings.SplitN(line, " ", 4)))
		}
	}
}

// chunkOf parses "text OFFSET TOKENS QUOTED", "end REASON TOKENS", "call STATUS
// HEADER=VALUE BODY", "problem REASON RAN RETRYAFTER", "replay TOKENS FINISH
// TEXT" or "failed REASON [RAN]".
func chunkOf(t *testing.T, words []string) Chunk {
	number := func(i int) int {
		n, err := strconv.Atoi(words[i])
		is.New(t).NoErr(err)
		return n
	}
	switch words[0] {
	case "text":
		text, err := strconv.Unquote(words[3])
		is.New(t).NoErr(err)
		return Chunk{Offset: number(1), Tokens: number(2), Text: text}
	case "end":
		return Chunk{End: &End{Finish: message.FinishReason(words[1]), Tokens: number(2)}}
	case "call":
		name, value, _ := strings.Cut(words[2], "=")
		return Chunk{Call: &message.CallAnswer{
			Status: number(1), Header: map[string]string{name: value, "Set-Cookie": "private"}, Body: []byte(words[3]),
		}}
	case "problem":
		after, err := time.ParseDuration(words[3])
		is.New(t).NoErr(err)
		return Chunk{Problem: &oriolebend.Problem{
			Reason: oriolebend.Reason(words[1]), Ran: oriolebend.Ran(words[2]), RetryAfter: after,
		}}
	case "replay":
		return Chunk{RequestID: "first", Replay: &message.Answer{
			Tokens: number(1), Finish: message.FinishReason(words[2]), Body: []byte(words[3]),
		}}
	case "failed":
		stored := &message.Answer{Reason: oriolebend.Reason(words[1])}
		if len(words) > 2 {
			stored.Ran = oriolebend.Ran(words[2])
		}
		return Chunk{RequestID: "first", Replay: stored}
	}
	t.Fatalf("unknown chunk %q", words)
	return Chunk{}
}

var (
	anyID      = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f-]{21}`)
	anyCreated = regexp.MustCompile(`"created":[1-9]\d+`)
)

// exchange sends a request written as "METHOD PATH", headers, an empty line and
// a body, and returns the status, the headers and the body of the answer.
func exchange(t *testing.T, handler http.Handler, input string) string {
	head, body, _ := strings.Cut(input+"\n\n", "\n\n")
	lines := bufio.NewScanner(strings.NewReader(head))
	lines.Scan()
	method, path, _ := strings.Cut(lines.Text(), " ")
	request := httptest.NewRequest(method, path, strings.NewReader(strings.TrimSpace(body)))
	request.Header.Set("Authorization", "Bearer lintang-token")
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		request.Header.Set(name, value)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	var out strings.Builder
	fmt.Fprintln(&out, recorder.Code)
	for _, name := range sortedNames(recorder.Header()) {
		fmt.Fprintf(&out, "%s: %s\n", name, recorder.Header().Get(name))
	}
	out.WriteString(strings.ReplaceAll(recorder.Body.String(), "\n\n", "\n"))
	text := anyID.ReplaceAllString(out.String(), "<id>")
	return anyCreated.ReplaceAllString(strings.TrimSpace(text), `"created":<time>`)
}

func refusals(t *testing.T, handler http.Handler, input string) string {
	var out strings.Builder
	for _, line := range strings.Split(input, "\n") {
		answer := exchange(t, handler, strings.Replace(strings.ReplaceAll(line, " | ", "\n"), "\n-- ", "\n\n", 1))
		status, _, _ := strings.Cut(answer, "\n")
		var document Document
		_, body, _ := strings.Cut(answer, "\n{")
		if err := json.Unmarshal([]byte("{"+body), &document); err != nil {
			fmt.Fprintf(&out, "%s not a problem: %v\n", status, err)
			continue
		}
		fmt.Fprintf(&out, "%s %s ran=%s %s\n", status, document.Reason, document.Ran, document.Detail)
	}
	return out.String()
}

func sortedNames(header http.Header) []string {
	names := make([]string, 0, len(header))
	for name := range header {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func lastSubmitted(router *fakeRouter) string {
	submitted := router.submitted()
	if len(submitted) == 0 {
		return "nothing"
	}
	r := submitted[len(submitted)-1]
	var out strings.Builder
	fmt.Fprintf(&out, "%s %s key=%s once=%v\n", r.Scope.Organisation, r.Scope.Operation, anyID.ReplaceAllString(r.Scope.Key, "<id>"), r.Once)
	fmt.Fprintf(&out, "%s model=%s@%s:%s tokens=%d max=%d deadline=%v\n", r.Urgency, r.Model, r.Version, r.Adapter, r.PromptTokens, r.MaxTokens, !r.Deadline.IsZero())
	fmt.Fprintf(&out, "%q", r.Prompt)
	if r.Call != nil {
		fmt.Fprintf(&out, "\n%s %s %s %v %q status=%s", r.Service, r.Call.Method, r.Call.Path, r.Call.Header, r.Call.Body, r.StatusPath)
	}
	return out.String()
}
