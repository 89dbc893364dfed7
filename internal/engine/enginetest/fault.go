package enginetest

import (
	"context"
	"errors"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// faultCases inject a fault into an engine or a link while a request uses it.
var faultCases = []testCase{
	{name: "prefill engine crashes during a prefill", run: func(b *testbed) {
		b.PrefillFaults.SlowBy(1e4)
		done := b.startPrefill(b.ctx, "r")
		b.waitFor("one work entry", func() bool { return b.workCount(b.Prefill) == 1 })
		b.PrefillFaults.Kill()
		b.wantReason(<-done, oriolebend.ReasonServerLost)
	}},
	{name: "prefill engine crashes before its result is fetched", run: func(b *testbed) {
		result := b.mustPrefill("r", "text")
		b.PrefillFaults.Kill()
		_, err := b.decode(b.ctx, decodeRequest("r", "text", result))
		b.wantReason(err, oriolebend.ReasonResultExpired)
		b.waitFreed(b.Decode)
	}},
	{name: "prefill engine restarts before its result is fetched", run: func(b *testbed) {
		result := b.mustPrefill("r", "text")
		b.PrefillFaults.Restart()
		_, err := b.decode(b.ctx, decodeRequest("r", "text", result))
		b.wantReason(err, oriolebend.ReasonResultExpired)
	}},
	{name: "prefill engine crashes during the transfer", run: sourceCrashesInTransfer},
	{name: "transfer stalls at the source", run: func(b *testbed) { transferStallsAt(b, b.PrefillFaults) }},
	{name: "transfer stalls at the target", run: func(b *testbed) { transferStallsAt(b, b.DecodeFaults) }},
	{name: "second decode fetches the result of a stalled transfer", run: secondDecodeFetches},
	{name: "decode engine crashes during a decode", run: func(b *testbed) {
		done := faultDuringDecode(b, b.DecodeFaults.Kill)
		b.wantReason(<-done, oriolebend.ReasonServerLost)
		_, err := b.Decode.Info(b.ctx)
		b.wantReason(err, oriolebend.ReasonServerLost)
	}},
	{name: "decode engine restarts during a decode", run: decodeEngineRestarts},
	{name: "decode engine freezes during a decode", run: func(b *testbed) {
		done := faultDuringDecode(b, func() { b.DecodeFaults.Freeze(true) })
		b.wantReason(<-done, oriolebend.ReasonServerLost)
		b.DecodeFaults.Freeze(false)
		b.waitFreed(b.Decode)
	}},
	{name: "prefill engine freezes during a prefill", run: func(b *testbed) {
		b.PrefillFaults.SlowBy(1e4)
		done := b.startPrefill(b.ctx, "r")
		b.waitFor("one work entry", func() bool { return b.workCount(b.Prefill) == 1 })
		b.PrefillFaults.Freeze(true)
		b.wantReason(<-done, oriolebend.ReasonServerLost)
		b.PrefillFaults.Freeze(false)
		b.waitFreed(b.Prefill)
	}},
	{name: "deadline passes", run: func(b *testbed) {
		b.PrefillFaults.SlowBy(1e4)
		ctx, cancel := context.WithTimeout(b.ctx, 50*time.Millisecond)
		defer cancel()
		b.wantReason(<-b.startPrefill(ctx, "r"), oriolebend.ReasonDeadline)
		b.waitFreed(b.Prefill)
	}},
}

// sourceCrashesInTransfer guards against a decode that starts with an incomplete KV
// cache. The source crashes after the header of the transfer and before its end, and the
// broken connection must not be treated as the end of the body.
func sourceCrashesInTransfer(b *testbed) {
	result := b.mustPrefill("r", "text")
	b.PrefillFaults.StallLinks(true)
	done := b.startDecode(b.ctx, decodeRequest("r", "text", result))
	b.waitFor("the transfer", func() bool { return b.workCount(b.Decode) == 1 })
	b.PrefillFaults.Kill()
	err := <-done
	var typed *engine.Error
	b.True(errors.As(err, &typed))
	// The source may crash before or after it responded to the request.
	b.True(typed.Reason == oriolebend.ReasonTransferStalled || typed.Reason == oriolebend.ReasonResultExpired)
	b.waitFreed(b.Decode)
}

// transferStallsAt guards against a request that waits forever between prefill and
// decode because the link stalls after the transfer began. The connection does not break,
// so that only the timeout of the transfer ends it.
func transferStallsAt(b *testbed, faults Faults) {
	request := decodeRequest("r", "text", b.mustPrefill("r", "text"))
	request.TransferWithin = 100 * time.Millisecond
	faults.StallLinks(true)
	_, err := b.decode(b.ctx, request)
	b.wantReason(err, oriolebend.ReasonTransferStalled)
	b.waitFreed(b.Decode)
	faults.StallLinks(false)
	b.NoErr(b.Prefill.Cancel(b.ctx, attempt("r", 1)))
	b.waitFreed(b.Prefill)
}

// secondDecodeFetches guards against a prefill that is wasted by a stalled transfer. The
// first transfer stalls and times out, and a second one requests the same result before
// it expires. A result must therefore outlive a failed transfer.
func secondDecodeFetches(b *testbed) {
	request := decodeRequest("r", "text", b.mustPrefill("r", "text"))
	request.TransferWithin = 50 * time.Millisecond
	b.DecodeFaults.StallLinks(true)
	_, err := b.decode(b.ctx, request)
	b.wantReason(err, oriolebend.ReasonTransferStalled)
	b.DecodeFaults.StallLinks(false)
	request.Attempt.Number = 2
	request.TransferWithin = 5 * time.Second
	output, err := b.decode(b.ctx, request)
	b.NoErr(err)
	b.NoErr(b.Check("text", 100, output))
}

// faultDuringDecode starts a decode and injects a fault after its first part.
func faultDuringDecode(b *testbed, fault func()) <-chan error {
	request := decodeRequest("r", "text", b.mustPrefill("r", "text"))
	first := make(chan struct{})
	done := runAsync(func() error {
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
	return done
}

func decodeEngineRestarts(b *testbed) {
	before, err := b.Decode.Info(b.ctx)
	b.NoErr(err)
	done := faultDuringDecode(b, b.DecodeFaults.Restart)
	b.wantReason(<-done, oriolebend.ReasonServerLost)
	after, err := b.Decode.Info(b.ctx)
	b.NoErr(err)
	b.True(after.Incarnation != before.Incarnation)
	b.Equal(b.workCount(b.Decode), 0) // a new process holds nothing
}
