package order

import (
	"slices"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// ordersFor lists the orders that bring an engine to the target, in the order in
// which they must be issued: memory is freed before it is needed, and adapters
// come after their model. Adapters that are no longer declared stay loaded,
// because they use little memory and engines have no order to unload them.
func ordersFor(t declared.Target, info engine.Info) []engine.Order {
	if t.Pool == "" || t.Role == oriolebend.Service {
		return nil
	}
	var orders []engine.Order
	held := false
	var adapters []string
	for _, m := range info.Models {
		if m.Model == t.Held.Model && m.Version == t.Held.Version {
			held = true
			adapters = m.Adapters
			continue
		}
		orders = append(orders, engine.Order{Action: engine.OrderUnload, Model: m.Model, Version: m.Version})
	}
	if info.Role != t.Role {
		orders = append(orders, engine.Order{Action: engine.OrderRole, Role: t.Role})
	}
	if !held {
		orders = append(orders, engine.Order{Action: engine.OrderLoad, Model: t.Held.Model, Version: t.Held.Version})
	}
	for _, adapter := range t.Held.Adapters {
		if !slices.Contains(adapters, adapter) {
			orders = append(orders, engine.Order{
				Action: engine.OrderAdapter, Model: t.Held.Model, Version: t.Held.Version, Adapter: adapter,
			})
		}
	}
	return orders
}

// needsOutOfWork reports whether the server must be out of work for any of the
// orders. Adapters are loaded while work is running.
func needsOutOfWork(orders []engine.Order) bool {
	return slices.ContainsFunc(orders, func(o engine.Order) bool { return o.Action != engine.OrderAdapter })
}

// needsLoad reports whether any of the orders fetches from the weight store.
func needsLoad(orders []engine.Order) bool {
	return slices.ContainsFunc(orders, func(o engine.Order) bool {
		return o.Action == engine.OrderLoad || o.Action == engine.OrderAdapter
	})
}

// hasEffect reports whether the engine shows the effect of an order.
func hasEffect(o engine.Order, info engine.Info) bool {
	at := slices.IndexFunc(info.Models, func(m oriolebend.LoadedModel) bool {
		return m.Model == o.Model && m.Version == o.Version
	})
	switch o.Action {
	case engine.OrderLoad:
		return at >= 0
	case engine.OrderUnload:
		return at < 0
	case engine.OrderAdapter:
		return at >= 0 && slices.Contains(info.Models[at].Adapters, o.Adapter)
	case engine.OrderRole:
		return info.Role == o.Role
	}
	return false
}
