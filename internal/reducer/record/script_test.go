package record

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// scriptStart is the time at the start of a script.
var scriptStart = time.Date(2131, 3, 1, 0, 0, 0, 0, time.UTC)

// script runs one script on two states. The second one is replaced after each
// command by a state that was restored from its snapshot. The two must not
// differ.
type script struct {
	t        *testing.T
	now      time.Time
	index    uint64
	state    *State
	restored *State
}

// TestScripts runs the scripts in testdata: a second request in each state of
// the first one, the transitions, and the limits.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{t: t, now: scriptStart, state: New(), restored: New()}
		datadriven.RunTest(t, path, s.run)
	})
}

// run applies each line of a block as a separate command. In a "group" block all
// lines form one command.
func (s *script) run(_ *testing.T, d *datadriven.TestData) string {
	var out strings.Builder
	lines := strings.Split(strings.TrimSpace(d.Input), "\n")
	if d.Cmd == "group" {
		var c Command
		for _, line := range lines {
			s.parse(line, &c)
		}
		s.apply(c, &out)
		return out.String()
	}
	for _, line := range lines {
		s.runLine(line, &out)
	}
	return out.String()
}

func (s *script) runLine(line string, out *strings.Builder) {
	args := parseLine(line)
	switch args.verb {
	case "advance":
		s.advance(args.duration("for"), out)
	case "jump": // no command is applied meanwhile
		s.now = s.now.Add(args.duration("for"))
	case "query":
		writeAnswer(out, s.state.Query(message.Query{RequestID: args.get("id"), Organisation: args.get("org")}))
	case "sizes":
		z := s.state.Sizes()
		fmt.Fprintf(out, "records=%d unknown=%d answerBytes=%d\n", z.Records, z.Unknown, z.AnswerBytes)
	case "unknown":
		for _, u := range s.state.Unknown(10, false) {
			fmt.Fprintf(out, "%s attempt=%d server=%s\n", u.RequestID, u.Attempt, u.Server)
		}
	default:
		var c Command
		s.parse(line, &c)
		s.apply(c, out)
	}
}

// advance advances the time with an Expire each second, as a leader does, or
// every four seconds if the time is longer than an hour.
func (s *script) advance(d time.Duration, out *strings.Builder) {
	step := time.Second
	if d > time.Hour {
		step = 4 * time.Second
	}
	var total Expired
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		total = addExpired(total, s.applyToBoth(Command{Expire: &Expire{Limit: 1000}}).Expired)
	}
	if total != (Expired{}) {
		fmt.Fprintf(out, "%s\n", strings.ReplaceAll(fmt.Sprintf("%+v", total), " More:false", ""))
	}
}

func addExpired(a, b Expired) Expired {
	return Expired{
		Owners: a.Owners + b.Owners, NotRun: a.NotRun + b.NotRun, Unknown: a.Unknown + b.Unknown,
		Failed: a.Failed + b.Failed, Answers: a.Answers + b.Answers, Records: a.Records + b.Records,
	}
}

// applyToBoth applies a command to both states and compares the results.
func (s *script) applyToBoth(c Command) Result {
	s.t.Helper()
	c.At = s.now
	s.index++
	result := s.state.Apply(s.index, c)
	other := s.restored.Apply(s.index, c)
	if !equalResults(s.t, result, other) {
		s.t.Fatalf("result of the restored state is %+v, want %+v", other, result)
	}
	return result
}

// equalResults reports whether two results are equal or have the same encoding.
// The encoding omits empty values, so results that differ may have the same one.
func equalResults(t interface{ Fatal(...any) }, a, b Result) bool {
	return reflect.DeepEqual(a, b) || encodeResult(t, a) == encodeResult(t, b)
}

// encodeResult returns a result in the form that the proposer receives.
func encodeResult(t interface{ Fatal(...any) }, r Result) string {
	data, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func (s *script) apply(c Command, out *strings.Builder) {
	s.t.Helper()
	result := s.applyToBoth(c)
	for _, t := range result.Settled {
		writeSettled(out, t)
	}
	for _, t := range result.Resolved {
		writeSettled(out, t)
	}
	for _, a := range result.Claimed {
		writeAnswer(out, a)
	}
	if c.Expire != nil {
		fmt.Fprintf(out, "%+v\n", result.Expired)
	}
	s.restart()
}

// restart compares the snapshots of both states and replaces the second state by
// one that is restored from its snapshot.
func (s *script) restart() {
	s.t.Helper()
	shot, err := s.state.Snapshot()
	if err != nil {
		s.t.Fatal(err)
	}
	other, err := s.restored.Snapshot()
	if err != nil {
		s.t.Fatal(err)
	}
	if string(shot) != string(other) {
		s.t.Fatal("snapshot of the restored state differs")
	}
	s.restored = New()
	if err := s.restored.Restore(other); err != nil {
		s.t.Fatal(err)
	}
}

func (s *script) parse(line string, c *Command) {
	a := parseLine(line)
	switch a.verb {
	case "claim":
		c.Claim = append(c.Claim, message.Claim{
			Scope:     a.scope(),
			RequestID: a.get("id"), Fingerprint: strings.ReplaceAll(a.get("fp"), ",", " "), Owner: a.get("by"),
			Once: a.has("once"), LeaseFor: 10 * time.Second, OwnerAddress: a.get("by") + ":1",
		})
	case "settle":
		c.Settle = append(c.Settle, message.Settle{
			Scope:     a.scope(),
			RequestID: a.get("id"), Owner: a.get("by"), Attempt: a.number("n"),
			State: message.RecordState(a.get("to")), Server: a.get("server"), Answer: a.answer(),
		})
	case "resolve":
		c.Resolve = append(c.Resolve, Resolve{
			RequestID: a.get("id"), Attempt: a.number("n"),
			State: message.RecordState(a.get("to")), Answer: a.answer(),
		})
	case "renew":
		c.Renew = append(c.Renew, message.Renew{Owner: a.get("by"), LeaseFor: 10 * time.Second, Ended: a.has("ended")})
	case "expire":
		c.Expire = &Expire{Limit: int(a.number("limit"))}
	case "limits":
		c.Limits = &Limits{
			MaxRecords: int(a.number("records")), MaxAnswerBytes: int(a.number("answer")),
			MaxAnswersBytes: int64(a.number("answers")), KeepRepeatable: a.duration("keepRepeatable"),
		}
	default:
		s.t.Fatalf("unknown line %q", line)
	}
}

// scriptLine is one line of a script: a verb and name=value arguments.
type scriptLine struct {
	verb   string
	values map[string]string
}

func parseLine(line string) scriptLine {
	words := strings.Fields(line)
	a := scriptLine{verb: words[0], values: map[string]string{
		"org": "asociacion", "op": "tip", "key": "k1", "fp": "v1:aa", "id": "r1", "by": "e1", "n": "1",
	}}
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		a.values[name] = value
	}
	return a
}

func (a scriptLine) get(name string) string { return a.values[name] }

func (a scriptLine) has(name string) bool {
	_, ok := a.values[name]
	return ok
}

func (a scriptLine) number(name string) uint32 {
	var n uint32
	_, _ = fmt.Sscan(a.values[name], &n)
	return n
}

func (a scriptLine) duration(name string) time.Duration {
	d, _ := time.ParseDuration(a.values[name])
	return d
}

func (a scriptLine) scope() message.Scope {
	return message.Scope{Organisation: a.get("org"), Operation: a.get("op"), Key: a.get("key")}
}

func (a scriptLine) answer() *message.Answer {
	if !a.has("body") && !a.has("reason") {
		return nil
	}
	return &message.Answer{
		Status: 200, Body: []byte(a.get("body")),
		Reason: oriolebend.Reason(a.get("reason")),
	}
}

func writeAnswer(out *strings.Builder, a message.ClaimAnswer) {
	fmt.Fprintf(out, "%s %s", a.Outcome, a.RequestID)
	writeWord(out, "", string(a.State))
	if a.Attempt != 0 {
		fmt.Fprintf(out, " n=%d", a.Attempt)
	}
	writeWord(out, "at=", a.OwnerAddress)
	writeWord(out, "reason=", string(a.Reason))
	if a.Answer != nil {
		fmt.Fprintf(out, " body=%s", a.Answer.Body)
	}
	out.WriteByte('\n')
}

func writeSettled(out *strings.Builder, t message.Settled) {
	word := "refused"
	if t.Accepted {
		word = "accepted"
	}
	fmt.Fprintf(out, "%s", word)
	writeWord(out, "", string(t.State))
	fmt.Fprintf(out, " n=%d\n", t.Attempt)
}

func writeWord(out *strings.Builder, name, value string) {
	if value != "" {
		fmt.Fprintf(out, " %s%s", name, value)
	}
}
