package streamrecord

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/peer/peertest"
)

// TestScripts guards against a resumed stream whose origin is not found although a control VM or the
// forwarder itself could know it, and against one that is found wrongly.
//
// It runs the files of testdata/scripts, in simulated time. Each line is one of:
//
//	control NAME | forwarder NAME     starts a process
//	stop NAME                         ends a process; a control VM loses its records
//	hang NAME                         has a control VM answer nothing
//	cut FROM TO | heal                changes the network
//	begin FORWARDER STREAM VERSION FOR [CONTENT]     the first event of a stream that may be resumed for a time
//	finish FORWARDER STREAM | pass FOR
//	lookup FORWARDER STREAM | content FORWARDER CONTENT     prints the version, or why it is unknown, and how long that took
//	records                           prints the number of records of each control VM
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := &script{t: t, network: peertest.NewNetwork(1), controls: map[string]*Server{}, clients: map[string]*Client{}, stops: map[string]func(){}}
			defer func() {
				for _, stop := range s.stops {
					stop()
				}
				synctest.Wait()
			}()
			datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
				var out strings.Builder
				for line := range strings.Lines(d.Input) {
					s.line(strings.Fields(line), &out)
				}
				return out.String()
			})
		})
	})
}

// script is a few control VMs and forwarders in one process.
type script struct {
	t        *testing.T
	network  *peertest.Network
	controls map[string]*Server
	clients  map[string]*Client
	// stops ends each process.
	stops map[string]func()

	mutex sync.Mutex
	// connected names the control VMs that run, whether they answer or not.
	connected []string
}

func (s *script) line(words []string, out *strings.Builder) {
	name := words[min(1, len(words)-1)]
	switch words[0] {
	case "control":
		server := &Server{}
		go server.Run(s.startControl(name, server.Serve))
		s.controls[name] = server
	case "hang":
		s.startControl(name, func(_ context.Context, stream peer.Stream) { <-stream.Done() })
		delete(s.controls, name)
	case "forwarder":
		s.startForwarder(name)
	case "stop":
		s.stops[name]()
		delete(s.controls, name)
		delete(s.stops, name)
		s.setConnected(name, false)
	case "cut":
		s.network.Cut(words[1], words[2])
	case "heal":
		s.network.Heal()
	case "begin":
		r := message.StreamRecord{
			Stream: ID("", words[2]), Origin: message.StreamOrigin{Service: "s", SoftwareVersion: words[3]}, ResumableFor: s.duration(words[4]),
		}
		if len(words) > 5 {
			r.Content = ID("", words[5])
		}
		s.clients[name].Begun(r)
	case "finish":
		s.clients[name].Finished(ID("", words[2]))
	case "pass":
		time.Sleep(s.duration(words[1]))
	case "lookup":
		s.lookup(s.clients[name].Lookup, words[2], out)
	case "content":
		s.lookup(s.clients[name].LookupContent, words[2], out)
	case "records":
		for _, control := range slices.Sorted(maps.Keys(s.controls)) {
			fmt.Fprintln(out, control, s.controls[control].Len())
		}
	default:
		s.t.Fatalf("unknown command %s", words[0])
	}
	synctest.Wait()
}

func (s *script) duration(word string) time.Duration {
	d, err := time.ParseDuration(word)
	is.New(s.t).NoErr(err)
	return d
}

// startControl starts a control VM, also in place of an earlier one, and reports it to the forwarders.
func (s *script) startControl(name string, serve peer.Handler) context.Context {
	if stop := s.stops[name]; stop != nil {
		stop()
	}
	ctx, cancel := context.WithCancel(s.t.Context())
	s.network.Listen(ctx, name, name, serve)
	s.stops[name] = cancel
	s.setConnected(name, true)
	for _, c := range s.clients {
		c.Restarted(name)
	}
	return ctx
}

func (s *script) setConnected(control string, connected bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.connected = slices.DeleteFunc(s.connected, func(c string) bool { return c == control })
	if connected {
		s.connected = append(s.connected, control)
	}
}

func (s *script) listConnected() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.connected)
}

func (s *script) startForwarder(name string) {
	c := NewClient(Config{Dialer: s.network.Dialer(name), Controls: s.listConnected})
	ctx, cancel := context.WithCancel(s.t.Context())
	s.clients[name], s.stops[name] = c, cancel
	go c.Run(ctx)
}

func (s *script) lookup(lookup func(context.Context, uint64) (message.StreamOrigin, error), key string, out *strings.Builder) {
	began := time.Now()
	origin, err := lookup(s.t.Context(), ID("", key))
	took := time.Since(began).Round(10 * time.Millisecond)
	var unknown *UnknownError
	switch {
	case errors.As(err, &unknown) && unknown.Conflict:
		fmt.Fprintln(out, "conflict after", took) // how many have answered by then is not fixed
		return
	case err != nil:
		fmt.Fprintln(out, err, "after", took)
		return
	}
	fmt.Fprintln(out, origin.Service, origin.SoftwareVersion, "after", took)
}

// Guards against a table that grows without bound, that keeps records for too long, and that guesses
// which of two streams with one ID is resumed.
func TestTable(t *testing.T) {
	is := is.New(t)
	at := time.Date(2131, 3, 1, 0, 0, 0, 0, time.UTC)
	v1, v2 := message.StreamOrigin{Service: "s", SoftwareVersion: "v1"}, message.StreamOrigin{Service: "s", SoftwareVersion: "v2"}
	table := Table{Limit: 2}
	add := func(stream uint64, o message.StreamOrigin, resumableFor time.Duration) {
		table.Add(at, message.StreamRecord{Stream: stream, Origin: o, ResumableFor: resumableFor})
	}
	find := func(stream uint64) string {
		origin, conflict := table.Find(at, stream)
		if origin == nil {
			return fmt.Sprint("unknown, conflict ", conflict)
		}
		return origin.SoftwareVersion
	}
	add(1, v1, time.Minute)
	add(2, v2, time.Second)
	add(3, v2, 0) // the caller has given up
	is.Equal([]string{find(1), find(2), find(3)}, []string{"v1", "v2", "unknown, conflict false"})
	add(4, v1, time.Hour) // the oldest one yields
	is.Equal([]string{find(1), find(2), find(4)}, []string{"unknown, conflict false", "v2", "v1"})
	add(2, v1, time.Second)
	add(2, v1, time.Second)
	is.Equal(find(2), "unknown, conflict true")
	at = at.Add(time.Second)
	is.Equal(find(2), "unknown, conflict false")
	add(2, v1, time.Second) // another stream, as the earlier one can't be resumed any more
	is.Equal(find(2), "v1")
	table.Limit = 0
	table.Add(at, message.StreamRecord{Stream: 5, Content: 50, Origin: v1, ResumableFor: time.Second})
	table.Add(at, message.StreamRecord{Stream: 6, Content: 50, Origin: v2, ResumableFor: time.Second})
	is.Equal([]string{find(5), find(6), find(50)}, []string{"v1", "v2", "unknown, conflict true"})
	at = at.Add(maxResumable)
	table.Expire(at)
	is.Equal(table.Len(), 0)
}
