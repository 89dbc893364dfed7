package forwarder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Symptom: of the requests that are given a place after two thirds of their target,
// those with long prompts are late all the same, and take the place of others. Sequence:
// a queue for places in a peak; a prompt of 11,000 tokens takes 220 ms to read where the
// usual one takes 100. Cause: one bound for all prompts.
func TestPlaceIsNeededEarlierForALongPrompt(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 100_000)
	by := func(prompt int, age time.Duration) time.Duration {
		w := &work{
			f: s.forwarder, ask: Ask{Prompt: prompt}, service: &oriolebend.RouteService{Name: "s"},
			route: &oriolebend.Route{AnswerWithin: oriolebend.Duration(900 * time.Millisecond)},
		}
		return w.placedBy(age)
	}
	is.Equal(by(2_000, 0), 758*time.Millisecond)
	is.Equal(by(5_000, 0), 680*time.Millisecond)
	is.Equal(by(11_000, 0), 524*time.Millisecond)
	is.Equal(by(5_000, 700*time.Millisecond), -20*time.Millisecond) // late already
}
