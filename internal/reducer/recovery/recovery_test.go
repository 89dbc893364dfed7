package recovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/record"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// TestScripts runs the scripts in testdata, which give the answers of gates and services. Delays
// are drawn from a seed, so the times in the scripts are the same on every run.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := New(Config{InFlight: 2})
		now := time.Date(2131, 3, 1, 0, 0, 0, 0, time.UTC)
		start := now
		var unknown []record.UnknownRequest
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				words := strings.Fields(line)
				var e Event
				switch words[0] {
				case "unknown":
					unknown = parseUnknown(words[1:])
					e = Listed{At: now, Unknown: unknown}
				case "pass":
					for range seconds(t, words[1]) {
						now = now.Add(time.Second)
						write(&out, now.Sub(start), Reduce(s, Listed{At: now, Unknown: unknown}))
					}
					continue
				case "answered":
					e = parseAnswer(now, words[1:])
				case "stopped":
					e = Stopped{}
				default:
					t.Fatalf("unknown line %q", line)
				}
				write(&out, now.Sub(start), Reduce(s, e))
			}
			return out.String()
		})
	})
}

func seconds(t *testing.T, text string) int {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return int(d / time.Second)
}

func parseUnknown(ids []string) []record.UnknownRequest {
	var list []record.UnknownRequest
	for _, word := range ids {
		id, number := idAndNumber(word)
		list = append(list, record.UnknownRequest{
			RequestID: id, Attempt: number, Server: "liquidacion-1",
			Status: &message.StatusCall{Service: "liquidacion", Path: "/tips/{identity}"},
		})
	}
	return list
}

func idAndNumber(word string) (id string, number uint32) {
	id, text, _ := strings.Cut(word, "/")
	_, _ = fmt.Sscan(text, &number)
	return id, number
}

func parseAnswer(at time.Time, words []string) StatusAnswered {
	id, number := idAndNumber(words[0])
	answer := StatusAnswered{At: at, RequestID: id, Attempt: number}
	switch kind, value, _ := strings.Cut(words[1], "="); kind {
	case "status":
		var status int
		_, _ = fmt.Sscan(value, &status)
		answer.Answer = message.CallAnswer{Status: status, Body: []byte("paid")}
	case "refusal":
		answer.Answer = message.Refusal{Reason: oriolebend.ReasonAttemptClosed, Ran: oriolebend.Ran(value)}
	}
	return answer
}

func write(out *strings.Builder, after time.Duration, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case QueryStatus:
			fmt.Fprintf(out, "%s query %s for %s/%d\n", after, e.Server, e.Query.Identity, e.Query.Attempt.Number)
		case Resolve:
			fmt.Fprintf(out, "%s resolve %s/%d %s %s\n", after, e.Resolve.RequestID, e.Resolve.Attempt, e.Resolve.State, e.Resolve.Answer.Body)
		case Count:
			fmt.Fprintf(out, "%s count %s\n", after, e.Reason)
		}
	}
}
