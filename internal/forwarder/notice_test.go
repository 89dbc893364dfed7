package forwarder

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
)

// TestNoticesAreRead runs testdata/notices: each block is an answer, with its status as the command
// and one header per line.
func TestNoticesAreRead(t *testing.T) {
	datadriven.RunTest(t, "testdata/notices", func(t *testing.T, d *datadriven.TestData) string {
		status := http.StatusOK
		if d.Cmd == "unavailable" {
			status = http.StatusServiceUnavailable
		}
		header := http.Header{}
		for line := range strings.Lines(d.Input) {
			name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), ": ")
			header.Add(name, value)
		}
		notice, err := NativeDialect{}.Notice(status, header)
		return noticeText(notice, err)
	})
}

// noticeText formats a notice, one word for each part.
func noticeText(n dispatch.Notice, err error) string {
	var words []string
	if n.Leaving {
		words = append(words, "leaving")
	}
	if n.Backoff > 0 {
		words = append(words, "backoff="+n.Backoff.String())
	}
	if n.Limited {
		words = append(words, "limit="+strconv.FormatFloat(n.PerSecond, 'f', -1, 64))
	}
	var invalid *NoticeError
	if errors.As(err, &invalid) {
		words = append(words, "invalid="+invalid.Name)
	}
	if len(words) == 0 {
		return "nothing\n"
	}
	return strings.Join(words, " ") + "\n"
}

// For any header of a server, a parsed limit is a finite number, and a backoff period is bounded.
func FuzzNotice(f *testing.F) {
	for _, text := range []string{"1.5", "0", "-1", "1e400", "NaN", "99999999999999999999999999", "1,2", ""} {
		f.Add(text, text, text)
	}
	f.Fuzz(func(t *testing.T, leaving, limit, backoff string) {
		is := is.New(t)
		n, _ := NativeDialect{}.Notice(http.StatusServiceUnavailable, http.Header{headerLeaving: {leaving}, headerLimit: {limit}, retryAfter: {backoff}})
		is.True(n.PerSecond >= 0 && !math.IsInf(n.PerSecond, 0) && !math.IsNaN(n.PerSecond))
		is.True(n.Limited || n.PerSecond == 0)
		is.True(n.Backoff >= 0 && n.Backoff <= maxBackoff)
	})
}

// The state that servers report is logged: what changed, which server reported it, and when a limit
// ends.
func TestNoticesAreLogged(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	reported := http.Header{}
	s.server("a", "", func(w http.ResponseWriter, _ *http.Request) {
		for name, values := range reported {
			w.Header()[name] = values
		}
		if reported.Get(retryAfter) != "" {
			w.Header().Set(headerRan, "no")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	logs := func(want string) {
		t.Helper()
		// A request may be refused because of the limit that was reported before.
		for began := time.Now(); time.Since(began) < time.Second && !strings.Contains(s.log.String(), want); {
			s.send("/once/", nil)
		}
		is.True(strings.Contains(s.log.String(), want))
	}
	reported.Set(headerLimit, "100")
	logs(`"msg":"server names its limit","server":"i0"`)
	is.True(strings.Contains(s.log.String(), `"perSecond":100`))
	reported.Set(headerLimit, "many")
	logs(`"msg":"what a server says of itself can't be read","server":"i0"`)
	is.True(!strings.Contains(s.log.String(), "no limit any more")) // an invalid header ends no limit
	reported.Del(headerLimit)
	logs(`"msg":"server names no limit any more"`)
	reported.Set(retryAfter, "2.5")
	logs(`"msg":"server asks for rest","server":"i0"`)
	is.True(strings.Contains(s.log.String(), `"restMs":2500`))
}
