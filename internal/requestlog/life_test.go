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

// TestTell reads the logs of each file of testdata and compares the life of the
// request that it names with the one wanted.
func TestTell(t *testing.T) {
	eachCase(t, "testdata/*.txtar", func(t *testing.T, c logCase) {
		life, err := Tell(c.request, c.logs...)
		is.New(t).Equal(shown(life, err), c.want)
	})
}

// logCase is a file of testdata: the logs of some processes, the request that is asked for
// where there is one, and what is wanted.
type logCase struct {
	request, want string
	logs          []Log
}

// eachCase runs a test on each file that a pattern names; there must be one.
func eachCase(t *testing.T, pattern string, test func(t *testing.T, c logCase)) {
	t.Helper()
	paths, err := filepath.Glob(pattern)
	if err != nil || len(paths) == 0 {
		t.Fatalf("no cases: %v", err)
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

// shown writes a life as the cases do.
func shown(life Life, err error) string {
	if _, ok := errors.AsType[*NotFoundError](err); ok {
		return err.Error() + "\n"
	}
	if err != nil {
		return "unexpected: " + err.Error()
	}
	var b strings.Builder
	for _, l := range life.Lines {
		fmt.Fprintf(&b, "%s %s\n", l.Role, l.Message)
	}
	fmt.Fprintf(&b, "unread %d\n%s\n", life.Unread, life.Cause)
	return b.String()
}

// TestLongLineIsPassedOver: a line over the bound is counted, and the lines after
// it are read.
func TestLongLineIsPassedOver(t *testing.T) {
	is := is.New(t)
	log := strings.Repeat("x", 3*maxLineBytes) + "\n" +
		`{"time":"2026-07-27T01:40:18Z","msg":"request answered","request":"a","status":200,"ran":"yes","sent":1}`
	life, err := Tell("a", Log{Name: "log", Reader: strings.NewReader(log)})
	is.NoErr(err)
	is.Equal(life.Unread, 1)
	is.Equal(life.Cause, "status 200, sent 1 times, ran: yes: it got the answer of its server")
}

// TestEveryReasonOfAForwarderIsExplained: each reason that a forwarder answers
// with has its words.
func TestEveryReasonOfAForwarderIsExplained(t *testing.T) {
	for _, reason := range []oriolebend.Reason{
		oriolebend.ReasonCallerCancelled, oriolebend.ReasonControlAway, oriolebend.ReasonCrashesServers, oriolebend.ReasonDeadline,
		oriolebend.ReasonEngineFailed, oriolebend.ReasonInternal, oriolebend.ReasonMalformed,
		oriolebend.ReasonNoMemory, oriolebend.ReasonNoServer, oriolebend.ReasonOutcomeLost,
		oriolebend.ReasonQueueFull, oriolebend.ReasonResultExpired, oriolebend.ReasonRetryBudget,
		oriolebend.ReasonServerLost, oriolebend.ReasonStopping, oriolebend.ReasonUnknownService,
	} {
		if causes[string(reason)] == "" {
			t.Errorf("%s has no words", reason)
		}
	}
}
