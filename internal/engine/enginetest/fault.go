package enginetest

import (
	"context"
	"errors"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// faultCases break an engine or a link under a request.
var faultCases = []testCase{
	{name: "prefill engine dies in a prefill", run: func(b *bench) {
		b.PrefillFaults.SlowBy(1e4)
		ended := b.backgroundPrefill(b.ctx, "r")
		b.eventually("its work", func() bool { return b.holds(b.Prefill) == 1 })
		b.PrefillFaults.Kill()
		b.reason(<-ended, oriolebend.ReasonServerLost)
	}},
	{name: "prefill engine dies with the result", run: func(b *bench) {
		result := b.mustPrefill("r", "text")
		b.PrefillFaults.Kill()
		_, err := b.decode(b.ctx, decodeRequest("r", "text", result))
		b.reason(err, oriolebend.ReasonResultExpired)
		b.freed(b.Decode)
	}},
	{name: "prefill engine restarts with the result", run: func(b *bench) {
		result := b.mustPrefill("r", "text")
		b.PrefillFaults.Restart()
		_, err := b.decode(b.ctx, decodeRequest("r", "text", result))
		b.reason(err, oriolebend.ReasonResultExpired)
	}},
	{name: "prefill engine dies in the transfer", run: diesInTransfer},
	{name: "transfer stalls at the source", run: func(b *bench) { stallsAt(b, b.PrefillFaults) }},
	{name: "transfer stalls at the target", run: func(b *bench) { stallsAt(b, b.DecodeFaults) }},
	{name: "second decode takes a stalled result", run: secondTakes},
	{name: "decode engine dies in a decode", run: func(b *bench) {
		ended := killMidDecode(b, b.DecodeFaults.Kill)
		b.reason(<-ended, oriolebend.ReasonServerLost)
		_, err := b.Decode.Info(b.ctx)
		b.reason(err, oriolebend.ReasonServerLost)
	}},
	{name: "decode engine restarts in a decode", run: restartsInDecode},
	{name: "decode engine freezes in a decode", run: func(b *bench) {
		ended := killMidDecode(b, func() { b.DecodeFaults.Freeze(true) })
		b.reason(<-ended, oriolebend.ReasonServerLost)
		b.DecodeFaults.Freeze(false)
		b.freed(b.Decode)
	}},
	{name: "prefill engine freezes in a prefill", run: func(b *bench) {
		b.PrefillFaults.SlowBy(1e4)
		ended := b.backgroundPrefill(b.ctx, "r")
		b.eventually("its work", func() bool { return b.holds(b.Prefill) == 1 })
		b.PrefillFaults.Freeze(true)
		b.reason(<-ended, oriolebend.ReasonServerLost)
		b.PrefillFaults.Freeze(false)
		b.freed(b.Prefill)
	}},
	{name: "deadline passes", run: func(b *bench) {
		b.PrefillFaults.SlowBy(1e4)
		ctx, cancel := context.WithTimeout(b.ctx, 50*time.Millisecond)
		defer cancel()
		b.reason(<-b.backgroundPrefill(ctx, "r"), oriolebend.ReasonDeadline)
		b.freed(b.Prefill)
	}},
}

// diesInTransfer: symptom: a decode would begin on half a KV cache. Sequence:
// the source dies after the head of the transfer and before its end. Cause: a
// broken connection must not be taken for the body's end.
func diesInTransfer(b *bench) {
	result := b.mustPrefill("r", "text")
	b.PrefillFaults.StallLinks(true)
	ended := b.backgroundDecode(b.ctx, decodeRequest("r", "text", result))
	b.eventually("the transfer", func() bool { return b.holds(b.Decode) == 1 })
	b.PrefillFaults.Kill()
	err := <-ended
	var typed *engine.Error
	b.True(errors.As(err, &typed))
	// The source may die before or after it answered the request.
	b.True(typed.Reason == oriolebend.ReasonTransferStalled || typed.Reason == oriolebend.ReasonResultExpired)
	b.freed(b.Decode)
}

// stallsAt: symptom: a request waits for ever between prefill and decode.
// Sequence: the transfer begins, its link stops. Cause: nothing breaks the
// connection; only the transfer's own bound ends it.
func stallsAt(b *bench, faults Faults) {
	request := decodeRequest("r", "text", b.mustPrefill("r", "text"))
	request.TransferWithin = 100 * time.Millisecond
	faults.StallLinks(true)
	_, err := b.decode(b.ctx, request)
	b.reason(err, oriolebend.ReasonTransferStalled)
	b.freed(b.Decode)
	faults.StallLinks(false)
	b.NoErr(b.Prefill.Cancel(b.ctx, attempt("r", 1)))
	b.freed(b.Prefill)
}

// secondTakes: symptom: a stalled transfer wastes a prefill. Sequence: the
// first transfer stalls and ends by its bound, a second one asks for the same
// result within its life. Cause: a result must outlive a transfer that failed.
func secondTakes(b *bench) {
	request := decodeRequest("r", "text", b.mustPrefill("r", "text"))
	request.TransferWithin = 50 * time.Millisecond
	b.DecodeFaults.StallLinks(true)
	_, err := b.decode(b.ctx, request)
	b.reason(err, oriolebend.ReasonTransferStalled)
	b.DecodeFaults.StallLinks(false)
	request.Attempt.Number = 2
	request.TransferWithin = 5 * time.Second
	output, err := b.decode(b.ctx, request)
	b.NoErr(err)
	b.NoErr(b.Check("text", 100, output))
}

// killMidDecode breaks a decode after its first part.
func killMidDecode(b *bench, fault func()) <-chan error {
	request := decodeRequest("r", "text", b.mustPrefill("r", "text"))
	first := make(chan struct{})
	ended := background(func() error {
		return b.Decode.Decode(b.ctx, request, func(p message.Part) error {
			if p.Offset == 0 {
				b.DecodeFaults.SlowBy(1e4)
				close(first)
			}
			return nil
		})
	})
	<-first
	fault()
	return ended
}

func restartsInDecode(b *bench) {
	before, err := b.Decode.Info(b.ctx)
	b.NoErr(err)
	ended := killMidDecode(b, b.DecodeFaults.Restart)
	b.reason(<-ended, oriolebend.ReasonServerLost)
	after, err := b.Decode.Info(b.ctx)
	b.NoErr(err)
	b.True(after.Incarnation != before.Incarnation)
	b.Equal(b.holds(b.Decode), 0) // a new process holds nothing
}
