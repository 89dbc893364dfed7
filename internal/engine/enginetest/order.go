package enginetest

import (
	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

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
