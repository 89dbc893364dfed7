package placements

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/forwarder"
	"github.com/oriolebend/oriolebend/internal/logging"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// addEngines adds decode engines with names from e0 on to a control VM.
func (s *placeSite) addEngines(name string, count int) {
	var list []message.BackendServer
	for i := range count {
		list = append(list, message.BackendServer{Instance: fmt.Sprint("e", i), Service: "s", Phase: message.PhaseReady, Role: oriolebend.Decode})
	}
	s.allocators[name].ChangeServers(registry.Changes{Servers: list, Left: []string{"d"}}, 1)
}

// Guards against a new leader that gives slow engines as much work as fast ones until enough streams
// have ended. Forwarders send it their observations when they open their session. Reports about
// engines that have restarted since have no effect.
func TestNewLeaderLearnsSpeeds(t *testing.T) {
	onPlaceSite(t, func(ctx context.Context, is *is.I, s *placeSite) {
		var log bytes.Buffer
		logger, err := logging.New(settings.Log{}, &log) // as in a process: it withholds some values
		is.NoErr(err)
		s.allocators["two"].Logger = logger
		s.addEngines("two", 5)
		s.client.Speeds = func() []message.EngineSpeed {
			speeds := []message.EngineSpeed{{Instance: "e0", Streams: 9, Event: 20 * time.Millisecond}}
			for i := 1; i < 5; i++ {
				speeds = append(speeds, message.EngineSpeed{Instance: fmt.Sprint("e", i), Streams: 9, Event: 30 * time.Millisecond})
			}
			speeds[2].Event = 60 * time.Millisecond
			speeds[4].Event, speeds[4].Incarnation = 5*time.Millisecond, 7
			return speeds
		}
		s.lead("two:1")
		time.Sleep(2 * time.Second)
		for range 3 {
			is.Equal(s.granted(ctx, is, 200).Server.Instance, "e0")
		}
		time.Sleep(10 * time.Second)
		s.allocators["two"].mutex.Lock()
		defer s.allocators["two"].mutex.Unlock()
		is.True(strings.Contains(log.String(), `msg="engine speed changed" service=s server=e2 factor=2 before=1`))
		is.True(!strings.Contains(log.String(), "server=e4"))
		is.True(strings.Contains(log.String(), `factorGenerationsMemory="e2=2.00/`))
	})
}

// Guards against reports of writing times, and times of callers, that do not reach the allocator.
func TestWritingTimesReachTheAllocator(t *testing.T) {
	onPlaceSite(t, func(ctx context.Context, is *is.I, s *placeSite) {
		s.addEngines("one", 4)
		s.lead("one:1")
		time.Sleep(time.Second)
		request := forwarder.PlacementRequest{Need: dispatch.Need{Service: "s", Prompt: 100, Output: 100}, InTime: time.Second, Within: time.Second}
		for range 80 {
			effect, _ := s.client.Place(ctx, request)
			grant := effect.(dispatch.Granted).Grant
			event := 3 * time.Millisecond
			if grant.Server.Instance == "e1" {
				event = 9 * time.Millisecond
			}
			s.client.PromptRead(dispatch.PrefillEnded{Grant: grant})
			time.Sleep(20 * event)
			s.client.Ended(dispatch.Ended{Grant: grant, Outcome: dispatch.OutcomeAnswered, Writing: 10 * event, Events: 11})
		}
		time.Sleep(time.Second)
		request.Remaining = 20 * time.Millisecond // eleven events take 33 ms
		effect, _ := s.client.Place(ctx, request)
		is.Equal(effect.(dispatch.Refused).Reason, oriolebend.ReasonDeadline)
		a := s.allocators["one"]
		a.mutex.Lock()
		defer a.mutex.Unlock()
		uneven := a.state.Placement.UnevenEngines(4)
		is.Equal(len(uneven), 1)
		is.Equal(uneven[0].Instance, "e1")
	})
}
