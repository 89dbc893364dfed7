package placements

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/forwarder"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
)

// Guards against forwarders of an earlier release whose requests go before more urgent ones of other
// forwarders during an update: they send the rank without the rank of the route within it.
func TestRanksOfAnEarlierForwarder(t *testing.T) {
	onPlaceSite(t, func(ctx context.Context, is *is.I, s *placeSite) {
		s.lead("one:1")
		time.Sleep(time.Second)
		grant := s.granted(ctx, is, 900)
		earlier, err := s.network.Dialer("g").Open(ctx, "one:1")
		is.NoErr(err)
		is.NoErr(earlier.Send(message.PlaceOpen{Node: "g"}))
		is.NoErr(earlier.Send(message.PlaceEvent{ID: 1, Step: message.PlaceAsked, Request: &message.PlacementRequest{
			ID: 1, Service: "s", Prompt: 900, Rank: 2, InTime: time.Second, Within: time.Second,
		}}))
		answered := make(chan dispatch.Effect, 1)
		go func() {
			effect, _ := s.client.Place(ctx, forwarder.PlacementRequest{
				Need: dispatch.Need{Service: "s", Prompt: 900}, Rank: 1, RouteRank: 1,
				InTime: time.Second, Within: time.Second,
			})
			answered <- effect
		}()
		time.Sleep(100 * time.Millisecond) // both requests wait
		s.client.Ended(dispatch.Ended{Grant: grant, Outcome: dispatch.OutcomeAnswered})
		_, granted := (<-answered).(dispatch.Granted)
		is.True(granted)
	})
}
