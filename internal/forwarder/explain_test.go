package forwarder

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/requestlog"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// recorder keeps a log that is still being written.
type recorder struct {
	mutex sync.Mutex
	lines bytes.Buffer
}

func (r *recorder) Write(line []byte) (int, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.lines.Write(line)
}

func (r *recorder) String() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.lines.String()
}

// failures are the ways in which a request fails, each with the cause that must follow from the log
// alone.
var failures = []struct {
	name   string
	kv     int
	server http.HandlerFunc
	path   string
	header map[string]string
	cause  string
}{
	{
		name: "no route", path: "/other/",
		cause: "status 404, sent 0 times, ran: no: no route in force matches it",
	},
	{
		name: "no server", path: "/once/",
		cause: "status 503, sent 0 times, ran: no: no backend server of its service took work",
	},
	{
		name: "refused by its server", path: "/once/",
		server: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerRan, "no")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		cause: "status 503, sent 1 times, ran: no: as many requests waited already as may wait, here or at its server",
	},
	{
		name: "lost with its server", path: "/once/", server: abort,
		cause: "status 502, sent 1 times, ran: unknown: the connection to its server broke after it was sent",
	},
	{
		name: "out of time", path: "/once/", server: stall, header: map[string]string{headerDeadline: "300"},
		cause: "status 504, sent 1 times, ran: unknown: its time was over",
	},
	{
		name: "failed by its server", path: "/once/",
		server: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		cause:  "status 500, sent 1 times, ran: yes: that is the answer of its server, which failed",
	},
	{
		name: "stream cut", path: "/cut/",
		server: func(w http.ResponseWriter, _ *http.Request) {
			events(w, 1, 2)
			abort(nil, nil)
		},
		cause: "status 0, sent 1 times, ran: unknown: the connection to its server broke after it was sent",
	},
	{
		name: "no memory", kv: 10000, path: "/cut/", server: (&engine{full: 1000}).ServeHTTP,
		header: map[string]string{headerPrompt: "100", headerOutput: "50"},
		cause:  "status 503, sent 0 times, ran: no: no decode engine had memory for it in time",
	},
}

// Guards against logs from which the cause of a failed request can't be found. The ID of the
// request must lead to the cause, for each way in which a request can fail.
func TestIDLeadsToTheCause(t *testing.T) {
	for _, failure := range failures {
		t.Run(failure.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, failure.kv)
			if failure.server != nil {
				role := oriolebend.PoolRole("")
				if failure.kv > 0 {
					role = oriolebend.Decode
				}
				s.server("a", role, failure.server)
			}
			s.send(failure.path, failure.header)
			s.callers.Stop(t.Context()) // the line is written a moment after the answer
			s.forwarder.Wait()
			life, err := requestlog.Explain("r1", requestlog.Log{Name: "forwarder", Reader: strings.NewReader(s.log.String())})
			is.NoErr(err)
			if !strings.HasPrefix(life.Cause, failure.cause) {
				t.Fatalf("cause %q, want %q", life.Cause, failure.cause)
			}
		})
	}
}
