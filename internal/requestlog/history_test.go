package requestlog

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/tools/txtar"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// TestExplainFromLogs reads the logs in each file of testdata and compares the history of the
// request that the file names with the expected one.
func TestExplainFromLogs(t *testing.T) {
	runCases(t, "testdata/*.txtar", func(t *testing.T, c logCase) {
		history, err := Explain(c.request, c.logs...)
		is.New(t).Equal(formatHistory(history, err), c.want)
	})
}

// logCase is one file of testdata: the logs of some processes, the ID of the request to
// explain if there is one, and the expected output.
type logCase struct {
	request, want string
	logs          []Log
}

// runCases runs a test on each file that matches a pattern. At least one must match.
func runCases(t *testing.T, pattern string, test func(t *testing.T, c logCase)) {
	t.Helper()
	paths, err := filepath.Glob(pattern)
	if err != nil || len(paths) == 0 {
		t.Fatalf("no test cases: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			is.New(t).NoErr(err)
			var c logCase
			for _, file := range archive.Files {
				switch text := string(file.Data); file.Name {
				case "request":
					c.request = strings.TrimSpace(text)
				case "want":
					c.want = text
				default:
					c.logs = append(c.logs, Log{Name: file.Name, Reader: strings.NewReader(text)})
				}
			}
			test(t, c)
		})
	}
}

// formatHistory formats a history like the expected output of the cases.
func formatHistory(history History, err error) string {
	if _, ok := errors.AsType[*NotFoundError](err); ok {
		return err.Error() + "\n"
	}
	if err != nil {
		return "unexpected: " + err.Error()
	}
	var b strings.Builder
	for _, l := range history.Lines {
		fmt.Fprintf(&b, "%s %s\n", l.Role, l.Message)
	}
	fmt.Fprintf(&b, "unread %d\n%s\n", history.Unread, history.Cause)
	return b.String()
}

// TestLongLineIsSkipped checks that a line longer than maxLineBytes is counted as unread and
// that the lines after it are read.
func TestLongLineIsSkipped(t *testing.T) {
	is := is.New(t)
	log := strings.Repeat("x", 3*maxLineBytes) + "\n" +
		`{"time":"2026-07-27T01:40:18Z","msg":"request answered","request":"a","status":200,"ran":"yes","sent":1}`
	history, err := Explain("a", Log{Name: "log", Reader: strings.NewReader(log)})
	is.NoErr(err)
	is.Equal(history.Unread, 1)
	is.Equal(history.Cause, "status 200, sent 1 times, ran: yes: it got the answer of its server")
}

// TestEveryForwarderReasonHasACause checks that each reason with which a forwarder responds
// has an explanation.
func TestEveryForwarderReasonHasACause(t *testing.T) {
	for _, reason := range []oriolebend.Reason{
		oriolebend.ReasonCallerCancelled, oriolebend.ReasonControlAway, oriolebend.ReasonCrashesServers, oriolebend.ReasonDeadline,
		oriolebend.ReasonEngineFailed, oriolebend.ReasonInternal, oriolebend.ReasonMalformed,
		oriolebend.ReasonNoMemory, oriolebend.ReasonNoServer, oriolebend.ReasonOutcomeLost,
		oriolebend.ReasonQueueFull, oriolebend.ReasonResultExpired, oriolebend.ReasonRetryBudget,
		oriolebend.ReasonServerLost, oriolebend.ReasonStopping, oriolebend.ReasonUnknownService,
		oriolebend.ReasonVersionGone, oriolebend.ReasonOriginUnknown,
	} {
		if causeByReason[string(reason)] == "" {
			t.Errorf("reason %s has no explanation", reason)
		}
	}
}
