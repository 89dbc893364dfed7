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

// TestNoticesAreRead runs testdata/notices: each block is an answer, its status and then a
// header a line.
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
		notice, err := Own{}.Notice(status, header)
		return noticeText(notice, err)
	})
}

// noticeText is what a notice says, a word for each thing.
func noticeText(n dispatch.Notice, err error) string {
	var words []string
	if n.Leaving {
		words = append(words, "leaving")
	}
	if n.Backoff > 0 {
		words = append(words, "rest="+n.Backoff.String())
	}
	if n.Limited {
		words = append(words, "limit="+strconv.FormatFloat(n.PerSecond, 'f', -1, 64))
	}
	var unread *NoticeError
	if errors.As(err, &unread) {
		words = append(words, "unreadable="+unread.Name)
	}
	if len(words) == 0 {
		return "nothing\n"
	}
	return strings.Join(words, " ") + "\n"
}

// Whatever a server sends, a limit that is read is a number that can be counted with, and a
// rest has an end.
func FuzzNotice(f *testing.F) {
	for _, text := range []string{"1.5", "0", "-1", "1e400", "NaN", "99999999999999999999999999", "1,2", ""} {
		f.Add(text, text, text)
	}
	f.Fuzz(func(t *testing.T, leaving, limit, rest string) {
		is := is.New(t)
		n, _ := Own{}.Notice(http.StatusServiceUnavailable, http.Header{ownLeaving: {leaving}, ownLimit: {limit}, retryAfter: {rest}})
		is.True(n.PerSecond >= 0 && !math.IsInf(n.PerSecond, 0) && !math.IsNaN(n.PerSecond))
		is.True(n.Limited || n.PerSecond == 0)
		is.True(n.Backoff >= 0 && n.Backoff <= restMost)
	})
}

// What a server says of itself is told by the log: what, by whom, and when it no longer says
// so.
func TestNoticesAreLogged(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	said := http.Header{}
	s.server("a", "", func(w http.ResponseWriter, _ *http.Request) {
		for name, values := range said {
			w.Header()[name] = values
		}
		if said.Get(retryAfter) != "" {
			w.Header().Set(ownRan, "no")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	tells := func(want string) {
		t.Helper()
		// A request may be refused by the limit that was named before.
		for began := time.Now(); time.Since(began) < time.Second && !strings.Contains(s.log.String(), want); {
			s.ask("/once/", nil)
		}
		is.True(strings.Contains(s.log.String(), want))
	}
	said.Set(ownLimit, "100")
	tells(`"msg":"server names its limit","server":"i0"`)
	is.True(strings.Contains(s.log.String(), `"perSecond":100`))
	said.Set(ownLimit, "many")
	tells(`"msg":"what a server says of itself can't be read","server":"i0"`)
	is.True(!strings.Contains(s.log.String(), "no limit any more")) // nonsense ends no limit
	said.Del(ownLimit)
	tells(`"msg":"server names no limit any more"`)
	said.Set(retryAfter, "2.5")
	tells(`"msg":"server asks for rest","server":"i0"`)
	is.True(strings.Contains(s.log.String(), `"restMs":2500`))
}
