package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// lastEvent is the last event of each stream in the scripts.
const lastEvent = 6

// TestStreamSoftwareVersions guards against a stream with events from servers of two software
// versions, and against a stream that can go on and is refused.
//
// It runs the files of testdata/softwareversions. Servers in the failure domain "a" are preferred.
//
// A block "site" begins anew, a block "then" continues. Each line of a block is one of:
//
//	server VERSION DOMAIN [after=N]   adds a server, "-" if its version is unknown, which with
//	                                  after=N breaks each stream after event N
//	exits SERVER              its process exits when a stream breaks there; SERVER counts from 0
//	back SERVER VERSION       its next process listens, and is not announced yet
//	crash SERVER | restart SERVER VERSION     announces that it has ended, or its next start
//	stream PATH ID [resumes=ID] [after=EVENT]   prints the status, the reason or the version of each event
func TestStreamSoftwareVersions(t *testing.T) {
	datadriven.Walk(t, "testdata/softwareversions", func(t *testing.T, path string) {
		var s *site
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			if d.Cmd == "site" {
				s = newSite(t, 0)
			}
			for line := range strings.Lines(d.Input) {
				words := strings.Fields(line)
				switch words[0] {
				case "server":
					breakAfter := lastEvent
					if len(words) > 3 {
						breakAfter = index(t, strings.TrimPrefix(words[3], "after="))
					}
					s.server(words[2], oriolebend.Decode, versionedStream(words[1], breakAfter))
					s.setSoftware(len(s.servers)-1, words[1], 1)
				case "exits":
					s.exitsOnBreak(index(t, words[1]))
				case "back":
					s.listenAgain(index(t, words[1]), versionedStream(words[2], lastEvent))
				case "crash":
					s.crash(index(t, words[1]))
				case "restart":
					s.setSoftware(index(t, words[1]), words[2], 2)
				case "stream":
					fmt.Fprintln(&out, s.resumableStream(words[1:]))
				}
			}
			return out.String()
		})
	})
}

func index(t *testing.T, word string) int {
	t.Helper()
	i, err := strconv.Atoi(word)
	if err != nil {
		t.Fatal(err)
	}
	return i
}

// versionedStream writes events whose data is the version, from the one after the caller's last. It
// breaks a stream from the beginning after an event other than the last one.
func versionedStream(version string, breakAfter int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get(headerAfter)) // 0 if there is none
		breaks := last == 0 && breakAfter < lastEvent
		end := lastEvent
		if breaks {
			end = breakAfter
		}
		for i := last + 1; i <= end; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, version)
			w.(http.Flusher).Flush()
		}
		if breaks {
			abort(nil, nil)
		}
	}
}

// setSoftware sets the software version and the incarnation of a server.
func (s *site) setSoftware(index int, version string, incarnation uint64) {
	s.servers[index].SoftwareVersion = strings.Trim(version, "-")
	s.servers[index].Incarnation = incarnation
	s.servers[index].Phase = message.PhaseReady
	s.forwarder.ChangeServers(registry.Changes{Servers: s.servers}, 1)
}

// exitsOnBreak closes the port of a server before its handler breaks a stream.
func (s *site) exitsOnBreak(index int) {
	backend := s.backends[index]
	handler := backend.Config.Handler
	backend.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if broken := recover(); broken != nil {
				_ = backend.Listener.Close()
				panic(broken)
			}
		}()
		handler.ServeHTTP(w, r)
	})
}

// listenAgain starts another process at the address of a server, once this forwarder has found that the
// one before has exited.
func (s *site) listenAgain(index int, handler http.HandlerFunc) {
	is := is.New(s.t)
	for start := time.Now(); !s.forwarder.exited(s.servers[index]); time.Sleep(time.Millisecond) {
		is.True(time.Since(start) < 5*time.Second) // the exit is not noticed
	}
	listener, err := net.Listen("tcp", s.servers[index].Address)
	is.NoErr(err)
	backend := httptest.NewUnstartedServer(echoID(handler))
	_ = backend.Listener.Close()
	backend.Listener = listener
	backend.Start()
	s.t.Cleanup(backend.Close)
}

// crash removes a server that has ended.
func (s *site) crash(index int) {
	s.servers[index].Phase = message.PhaseGone
	s.forwarder.ChangeServers(registry.Changes{Left: []string{s.servers[index].Instance}}, 1)
}

var (
	eventData     = regexp.MustCompile(`data: (\S+)`)
	problemReason = regexp.MustCompile(`"reason":"(\w+)","ran":"(\w+)"`)
)

// resumableStream sends one request for a stream and describes the answer.
func (s *site) resumableStream(words []string) string {
	header := map[string]string{headerRequest: words[1]}
	for _, word := range words[2:] {
		name, value, _ := strings.Cut(word, "=")
		header[map[string]string{"resumes": headerResumes, "after": headerAfter}[name]] = value
	}
	status, answer, body := s.send(words[0], header)
	line := []string{strconv.Itoa(status)}
	if problem := problemReason.FindStringSubmatch(body); problem != nil {
		line = append(line, problem[1], "ran:"+problem[2], "retry-after:"+answer.Get("Retry-After"))
	}
	for _, data := range eventData.FindAllStringSubmatch(body, -1) {
		line = append(line, data[1])
	}
	if strings.HasSuffix(body, "[cut]") {
		line = append(line, "[cut]")
	}
	return strings.Join(line, " ")
}

// versionedEngine is a model engine that streams as versionedStream does.
func versionedEngine(version string, breakAfter int, before time.Duration) http.HandlerFunc {
	stream := versionedStream(version, breakAfter)
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/reservations" {
			_, _ = io.WriteString(w, `{"reservation":"h1"}`)
			return
		}
		time.Sleep(before)
		stream(w, r)
	}
}

// newVersionedEngines returns a site whose allocator does not know software versions. Its first engine
// breaks its streams some time after the arrival of their requests; the last one is of its version.
func newVersionedEngines(t *testing.T, before time.Duration) (*site, *outdatedPlaces) {
	s := newSite(t, 10000)
	for i, version := range []string{"v1", "v2", "v2", "v1"} {
		breakAfter, delay := lastEvent, time.Duration(0)
		if i == 0 {
			breakAfter, delay = 3, before
		}
		s.server("a", oriolebend.Decode, versionedEngine(version, breakAfter, delay))
		s.setSoftware(i, version, 1)
	}
	places := &outdatedPlaces{engines: slices.Clone(s.servers)}
	s.forwarder.config.Places = places
	return s, places
}

// Guards against a stream of two software versions while the control VM that grants placements is of
// an earlier release, which ignores the origin of the stream.
func TestPlacementAtAnotherSoftwareVersionIsRejected(t *testing.T) {
	is := is.New(t)
	s, places := newVersionedEngines(t, 0)
	status, body := s.generation("/stream/")
	is.Equal(status, http.StatusOK)
	is.Equal(strings.Count(body, "v1"), lastEvent)
	places.mutex.Lock()
	defer places.mutex.Unlock()
	is.Equal(places.ended[1:3], []dispatch.Outcome{dispatch.OutcomeCancelled, dispatch.OutcomeCancelled})
}

// Guards against a long stream that breaks off and is not continued, because its wait for a placement
// is counted from the arrival of its request.
func TestBrokenStreamWaitsFromItsBreak(t *testing.T) {
	is := is.New(t)
	s, places := newVersionedEngines(t, 700*time.Millisecond) // beyond maxWaitFactor times the target
	status, body := s.generation("/stream/")
	is.Equal(status, http.StatusOK)
	is.Equal(strings.Count(body, "v1"), lastEvent)
	places.mutex.Lock()
	defer places.mutex.Unlock()
	is.True(places.within[len(places.within)-1] > 500*time.Millisecond)
}
