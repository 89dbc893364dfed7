package enginetest

import (
	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// orderCases test orders and their fencing.
var orderCases = []testCase{
	{name: "load and use", run: loadAndUse},
	{name: "load again", run: func(b *testbed) {
		order := engine.Order{Fencing: 1, Action: engine.OrderLoad, Model: "new-lm", Version: "2"}
		b.NoErr(b.Prefill.Order(b.ctx, order))
		b.NoErr(b.Prefill.Order(b.ctx, order)) // sent again, as after a lost response
		info, err := b.Prefill.Info(b.ctx)
		b.NoErr(err)
		b.Equal(len(info.Models), 2) // not loaded twice
	}},
	{name: "adapter", run: func(b *testbed) {
		order := engine.Order{Fencing: 1, Action: engine.OrderAdapter, Model: Model, Version: Version, Adapter: "jabar"}
		b.NoErr(b.Prefill.Order(b.ctx, order))
		request := prefillRequest("r", "text")
		request.Adapter = "jabar"
		_, err := b.Prefill.Prefill(b.ctx, request)
		b.NoErr(err)
	}},
	{name: "adapter of a model that is not loaded", run: func(b *testbed) {
		order := engine.Order{Fencing: 1, Action: engine.OrderAdapter, Model: "new-lm", Version: "2", Adapter: "jabar"}
		b.wantReason(b.Prefill.Order(b.ctx, order), oriolebend.ReasonWrongModel)
	}},
	{name: "unload cancels the work of the model", run: unloadCancelsWork},
	{name: "role", run: func(b *testbed) {
		b.NoErr(b.Decode.Order(b.ctx, engine.Order{Fencing: 1, Action: engine.OrderRole, Role: oriolebend.Prefill}))
		_, err := b.Decode.Prefill(b.ctx, prefillRequest("r", "text"))
		b.NoErr(err)
	}},
	{name: "unknown action", run: func(b *testbed) {
		b.wantReason(b.Prefill.Order(b.ctx, engine.Order{Fencing: 1, Action: "dance"}), oriolebend.ReasonMalformed)
	}},
	{name: "outdated refused", run: outdatedRefused},
	{name: "outdated ignored", setup: Setup{IgnoresFencing: true}, run: outdatedIgnored},
	{name: "restart forgets fencing", run: func(b *testbed) {
		b.NoErr(b.Prefill.Order(b.ctx, engine.Order{Fencing: 7, Action: engine.OrderRole, Role: oriolebend.Prefill}))
		b.PrefillFaults.Restart()
		info, err := b.Prefill.Info(b.ctx)
		b.NoErr(err)
		b.Equal(info.Fencing, uint64(0)) // so the gate must store the number
	}},
}

func loadAndUse(b *testbed) {
	b.NoErr(b.Prefill.Order(b.ctx, engine.Order{Fencing: 1, Action: engine.OrderLoad, Model: "new-lm", Version: "2"}))
	request := prefillRequest("r", "text")
	request.Model = "new-lm"
	request.Version = "2"
	_, err := b.Prefill.Prefill(b.ctx, request)
	b.NoErr(err)
}

func unloadCancelsWork(b *testbed) {
	b.PrefillFaults.SlowBy(1e4)
	done := b.startPrefill(b.ctx, "r")
	b.waitFor("one work entry", func() bool { return b.workCount(b.Prefill) == 1 })
	b.NoErr(b.Prefill.Order(b.ctx, engine.Order{Fencing: 1, Action: engine.OrderUnload, Model: Model, Version: Version}))
	b.wantReason(<-done, oriolebend.ReasonEngineFailed)
	b.waitFreed(b.Prefill)
	_, err := b.Prefill.Prefill(b.ctx, prefillRequest("again", "text"))
	b.wantReason(err, oriolebend.ReasonWrongModel)
}

// outdatedRefused guards against the reversal of an accepted change by orders 5 and 4
// that arrive in reverse order. Order 4 arrives last, and its number is lower than the
// highest seen.
func outdatedRefused(b *testbed) {
	role := engine.Order{Fencing: 5, Action: engine.OrderRole, Role: oriolebend.Prefill}
	b.NoErr(b.Prefill.Order(b.ctx, role))
	role.Fencing = 4
	role.Role = oriolebend.Decode
	b.wantReason(b.Prefill.Order(b.ctx, role), oriolebend.ReasonOutdatedOrder)
	info, err := b.Prefill.Info(b.ctx)
	b.NoErr(err)
	b.Equal(info.Role, oriolebend.Prefill)
	b.Equal(info.Fencing, uint64(5))
}

func outdatedIgnored(b *testbed) {
	role := engine.Order{Fencing: 5, Action: engine.OrderRole, Role: oriolebend.Prefill}
	b.NoErr(b.Prefill.Order(b.ctx, role))
	role.Fencing = 4
	role.Role = oriolebend.Decode
	b.NoErr(b.Prefill.Order(b.ctx, role)) // accepted, so the gate must not send outdated orders
	info, err := b.Prefill.Info(b.ctx)
	b.NoErr(err)
	b.Equal(info.Role, oriolebend.Decode)
	b.Equal(info.Fencing, uint64(0)) // the engine stores no number
}
