package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// within reports whether a duration is within a tenth of the expected one.
func within(got, want time.Duration) bool {
	return got > want-want/10 && got < want+want/10
}

func TestPredictorLearns(t *testing.T) {
	is := is.New(t)
	p := newPredictor(Config{}.withDefaults())
	prefill := &reservation{uncachedTokens: 10_000, reserve: message.Reserve{Phase: message.PhasePrefill}}
	decode := &reservation{reserve: message.Reserve{Phase: message.PhaseDecode, PromptTokens: 10_000, MaxTokens: 500}}
	is.Equal(p.workTime(prefill), 500*time.Millisecond) // 20,000 tokens a second

	now := epoch
	for i := range 200 {
		p.prefillStarted(now)
		p.prefillStarted(now)
		p.prefillEnded(now.Add(time.Second), 5000)
		now = now.Add(2 * time.Second)
		p.prefillEnded(now, 5000)

		decode.startedAt = now
		decode.outputTokens = 20 + i%5
		p.observeTransfer(decode, now.Add(200*time.Millisecond+seconds(p.step.value())))
		p.observeStep(10 * time.Millisecond)
		p.observeOutput(decode)
		p.observeCall(30 * time.Millisecond)
	}
	is.True(within(p.workTime(prefill), 2*time.Second)) // two share 5,000 tokens a second
	is.True(within(p.firstResultTime(decode), 210*time.Millisecond))
	is.True(within(p.workTime(decode), 430*time.Millisecond)) // transfer and some 23 steps
	is.True(within(p.callTime(), 30*time.Millisecond))
}

// Guards against a slow server that is given ever more work, which makes its
// answers slower still. It happens if the limit of the work in progress is
// fixed. The server meets its target, then misses it, then meets it again.
func TestLimitAdaptsToServer(t *testing.T) {
	is := is.New(t)
	calls, decodes := newLimit(1, 20), newLimit(minDecodes, 20)
	observe := func(windows int, took, step time.Duration) {
		for range windows * window {
			calls.observeCall(took, calls.slots())
			decodes.observeStep(step, 41*time.Millisecond, decodes.slots())
		}
	}
	observe(3, 10*time.Millisecond, 25*time.Millisecond)
	is.Equal(calls.slots(), 20)
	is.Equal(decodes.slots(), 20)
	observe(30, 50*time.Millisecond, 60*time.Millisecond)
	is.True(calls.slots() < 10)
	is.Equal(decodes.slots(), minDecodes)
	observe(100, 10*time.Millisecond, 25*time.Millisecond)
	is.Equal(calls.slots(), 20)
	is.Equal(decodes.slots(), 20)
	for range 100 {
		calls.observeFailure()
	}
	is.Equal(calls.slots(), 1)
}

func TestOutputKindsAreSeparate(t *testing.T) {
	is := is.New(t)
	p := newPredictor(Config{}.withDefaults())
	ping := &reservation{outputTokens: 60, reserve: message.Reserve{MaxTokens: 500, Urgency: oriolebend.Urgent}}
	brief := &reservation{outputTokens: 400, reserve: message.Reserve{MaxTokens: 500, Urgency: oriolebend.Patient}}
	for range 100 {
		p.observeOutput(ping)
		p.observeOutput(brief)
		ping.outputTokens = 8
	}
	is.True(p.outputTokens(ping) < 20)
	is.True(p.outputTokens(brief) > 300)
}
