package enginetest

import (
	"context"
	"errors"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/prefix"
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

// orderCases are orders and their fencing.
var orderCases = []testCase{
	{name: "load and use", run: loadAndUse},
	{name: "load again", run: func(b *bench) {
		order := engine.Order{Fencing: 1, Action: engine.OrderLoad, Model: "new-lm", Version: "2"}
		b.NoErr(b.Prefill.Order(b.ctx, order))
		b.NoErr(b.Prefill.Order(b.ctx, order)) // the answer was lost, the order comes again
		info, err := b.Prefill.Info(b.ctx)
		b.NoErr(err)
		b.Equal(len(info.Models), 2) // not loaded twice
	}},
	{name: "adapter", run: func(b *bench) {
		order := engine.Order{Fencing: 1, Action: engine.OrderAdapter, Model: Model, Version: Version, Adapter: "jabar"}
		b.NoErr(b.Prefill.Order(b.ctx, order))
		request := prefillRequest("r", "text")
		request.Adapter = "jabar"
		_, err := b.Prefill.Prefill(b.ctx, request)
		b.NoErr(err)
	}},
	{name: "adapter of no model", run: func(b *bench) {
		order := engine.Order{Fencing: 1, Action: engine.OrderAdapter, Model: "new-lm", Version: "2", Adapter: "jabar"}
		b.reason(b.Prefill.Order(b.ctx, order), oriolebend.ReasonWrongModel)
	}},
	{name: "unload ends its work", run: unloadEndsWork},
	{name: "role", run: func(b *bench) {
		b.NoErr(b.Decode.Order(b.ctx, engine.Order{Fencing: 1, Action: engine.OrderRole, Role: oriolebend.Prefill}))
		_, err := b.Decode.Prefill(b.ctx, prefillRequest("r", "text"))
		b.NoErr(err)
	}},
	{name: "unknown action", run: func(b *bench) {
		b.reason(b.Prefill.Order(b.ctx, engine.Order{Fencing: 1, Action: "dance"}), oriolebend.ReasonMalformed)
	}},
	{name: "outdated refused", run: outdatedRefused},
	{name: "outdated ignored", setup: Setup{IgnoresFencing: true}, run: outdatedIgnored},
	{name: "restart forgets fencing", run: func(b *bench) {
		b.NoErr(b.Prefill.Order(b.ctx, engine.Order{Fencing: 7, Action: engine.OrderRole, Role: oriolebend.Prefill}))
		b.PrefillFaults.Restart()
		info, err := b.Prefill.Info(b.ctx)
		b.NoErr(err)
		b.Equal(info.Fencing, uint64(0)) // the gate must keep the number, not the engine
	}},
}

func loadAndUse(b *bench) {
	b.NoErr(b.Prefill.Order(b.ctx, engine.Order{Fencing: 1, Action: engine.OrderLoad, Model: "new-lm", Version: "2"}))
	request := prefillRequest("r", "text")
	request.Model = "new-lm"
	request.Version = "2"
	_, err := b.Prefill.Prefill(b.ctx, request)
	b.NoErr(err)
}

func unloadEndsWork(b *bench) {
	b.PrefillFaults.SlowBy(1e4)
	ended := b.backgroundPrefill(b.ctx, "r")
	b.eventually("its work", func() bool { return b.holds(b.Prefill) == 1 })
	b.NoErr(b.Prefill.Order(b.ctx, engine.Order{Fencing: 1, Action: engine.OrderUnload, Model: Model, Version: Version}))
	b.reason(<-ended, oriolebend.ReasonEngineFailed)
	b.freed(b.Prefill)
	_, err := b.Prefill.Prefill(b.ctx, prefillRequest("again", "text"))
	b.reason(err, oriolebend.ReasonWrongModel)
}

// outdatedRefused: symptom: an accepted change reverts. Sequence: orders 5 and
// 4 cross on their way. Cause: order 4 arrives last; its number is lower than
// the highest seen.
func outdatedRefused(b *bench) {
	role := engine.Order{Fencing: 5, Action: engine.OrderRole, Role: oriolebend.Prefill}
	b.NoErr(b.Prefill.Order(b.ctx, role))
	role.Fencing = 4
	role.Role = oriolebend.Decode
	b.reason(b.Prefill.Order(b.ctx, role), oriolebend.ReasonOutdatedOrder)
	info, err := b.Prefill.Info(b.ctx)
	b.NoErr(err)
	b.Equal(info.Role, oriolebend.Prefill)
	b.Equal(info.Fencing, uint64(5))
}

func outdatedIgnored(b *bench) {
	role := engine.Order{Fencing: 5, Action: engine.OrderRole, Role: oriolebend.Prefill}
	b.NoErr(b.Prefill.Order(b.ctx, role))
	role.Fencing = 4
	role.Role = oriolebend.Decode
	b.NoErr(b.Prefill.Order(b.ctx, role)) // such an engine obeys: the gate must not send it
	info, err := b.Prefill.Info(b.ctx)
	b.NoErr(err)
	b.Equal(info.Role, oriolebend.Decode)
	b.Equal(info.Fencing, uint64(0)) // it keeps no number
}

// cacheCases are the prefix cache and its events.
var cacheCases = []testCase{
	{name: "prefix is reused", run: func(b *bench) {
		text := prompt("shared", 640)
		b.Equal(b.mustPrefill("a", text).CachedTokens, 0)
		b.Equal(b.mustPrefill("b", text+" but another end").CachedTokens, 640)
	}},
	{name: "events tell the blocks", run: func(b *bench) {
		text := prompt("told", 640)
		b.mustPrefill("r", text)
		hashes := prefix.Hashes(Model, text, prefix.BlockTokens, prefix.MaxHashes)
		b.eventually("an event of every hash", func() bool { return b.reports(hashes) })
	}},
	{name: "index repairs a gap", run: indexRepairsGap},
	{name: "restart shows as a gap", run: restartShowsAsGap},
}

// reports says whether the events so far tell that all the blocks are stored.
func (b *bench) reports(hashes []uint64) bool {
	events, err := b.Prefill.CacheEvents(b.ctx, 0)
	b.NoErr(err)
	stored := make(map[uint64]bool)
	for _, e := range events {
		stored[e.Block] = e.Change == engine.BlockStored
	}
	for _, hash := range hashes {
		if !stored[hash] {
			return false
		}
	}
	return true
}

// indexRepairsGap: symptom: requests are sent after a cached prefix that is
// not there, or past one that is. Sequence: an event is lost. Cause: events
// have gaps; the sequence numbers show it and the whole index mends it.
func indexRepairsGap(b *bench) {
	before, err := b.Prefill.CacheIndex(b.ctx)
	b.NoErr(err)
	b.PrefillFaults.DropEvents(1)
	text := prompt("gap", 640)
	b.mustPrefill("r", text)
	var events []engine.CacheEvent
	b.eventually("the other events", func() bool {
		events, err = b.Prefill.CacheEvents(b.ctx, before.Sequence)
		b.NoErr(err)
		return len(events) == 9
	})
	b.Equal(events[0].Sequence, before.Sequence+2) // a number is missing
	after, err := b.Prefill.CacheIndex(b.ctx)
	b.NoErr(err)
	b.Equal(after.Sequence, before.Sequence+10)
	b.Equal(len(after.Blocks), 10)
}

// restartShowsAsGap: symptom: an index keeps the blocks of a dead process.
// Sequence: the engine restarts between two reads. Cause: numbers that began
// again from 1 would look like ones already seen.
func restartShowsAsGap(b *bench) {
	b.mustPrefill("r", prompt("first", 640))
	before, err := b.Prefill.CacheIndex(b.ctx)
	b.NoErr(err)
	b.PrefillFaults.Restart()
	after, err := b.Prefill.CacheIndex(b.ctx)
	b.NoErr(err)
	b.Equal(len(after.Blocks), 0)
	b.True(after.Sequence > before.Sequence)
	b.mustPrefill("again", prompt("second", 640))
	b.eventually("its events", func() bool {
		events, err := b.Prefill.CacheEvents(b.ctx, before.Sequence)
		b.NoErr(err)
		return len(events) == 10 && events[0].Sequence > before.Sequence+1
	})
}
