package standin

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

func TestTransfersShareALink(t *testing.T) {
	for _, row := range []struct {
		transfers int
		want      time.Duration
	}{{1, time.Second}, {4, 4 * time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			link := NewLink(1e6)
			began := time.Now()
			var wait sync.WaitGroup
			for range row.transfers {
				wait.Go(func() {
					if err := link.Pass(t.Context(), 1e6); err != nil {
						t.Error(err)
					}
				})
			}
			wait.Wait()
			is.New(t).Equal(time.Since(began).Round(100*time.Millisecond), row.want)
		})
	}
}

func TestStalledLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		link := NewLink(1e6)
		link.Stall(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.Equal(link.Pass(ctx, 1), context.DeadlineExceeded)
		ended := make(chan error, 1)
		go func() { ended <- link.Pass(t.Context(), 1) }()
		synctest.Wait()
		is.Equal(len(ended), 0)
		link.Stall(false)
		is.NoErr(<-ended)
	})
}

// storeAndEngines returns engines that load from one weight store, 10s
// for one model.
func storeAndEngines(t *testing.T, count int) []*Engine {
	t.Helper()
	store := NewWeightStore(WeightStoreConfig{Bytes: 1e9, WeightBytes: 10e9, AdapterBytes: 1e9})
	network := MemoryNetwork{"store": store.Handler()}
	var engines []*Engine
	for range count {
		engines = append(engines, start(t, EngineConfig{WeightStore: "http://store", Transport: network}))
	}
	return engines
}

var loadOrder = engine.Order{Fencing: 1, Action: engine.OrderLoad, Model: "planner-lm", Version: "1"}

func TestLoadsShareTheStore(t *testing.T) {
	for _, row := range []struct {
		engines int
		want    time.Duration
	}{{1, 10 * time.Second}, {3, 30 * time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			engines := storeAndEngines(t, row.engines)
			began := time.Now()
			var wait sync.WaitGroup
			for _, e := range engines {
				wait.Go(func() {
					if err := e.Order(t.Context(), loadOrder); err != nil {
						t.Error(err)
					}
				})
			}
			wait.Wait()
			is.New(t).Equal(time.Since(began).Round(time.Second), row.want)
		})
	}
}

// TestLoadOutlivesItsOrder: symptom: a model never gets loaded. Sequence: the
// connection of the order breaks in each load, and the load starts over. Cause:
// a load must go on when the one who ordered it is gone.
func TestLoadOutlivesItsOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := storeAndEngines(t, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 9*time.Second)
		defer cancel()
		is.Equal(engineError(engines[0].Order(ctx, loadOrder)).Reason, oriolebend.ReasonDeadline)
		began := time.Now()
		is.NoErr(engines[0].Order(t.Context(), loadOrder)) // sent again, joins the load
		is.Equal(time.Since(began).Round(time.Second), time.Second)
	})
}

// TestUnloadEndsALoad: symptom: a model that was unloaded is there. Sequence: a
// load is in progress when the unload comes. Cause: the older order would end
// after the newer one.
func TestUnloadEndsALoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := storeAndEngines(t, 1)
		ended := make(chan error, 1)
		go func() { ended <- engines[0].Order(t.Context(), loadOrder) }()
		time.Sleep(5 * time.Second)
		unload := loadOrder
		unload.Fencing = 2
		unload.Action = engine.OrderUnload
		is.NoErr(engines[0].Order(t.Context(), unload))
		is.Equal(engineError(<-ended).Reason, oriolebend.ReasonEngineFailed)
		time.Sleep(time.Minute)
		info, err := engines[0].Info(t.Context())
		is.NoErr(err)
		is.Equal(len(info.Models), 0)
	})
}

func TestLoadOfNoStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := start(t, EngineConfig{WeightStore: "http://nowhere", Transport: MemoryNetwork{}})
		is.New(t).Equal(engineError(e.Order(t.Context(), loadOrder)).Reason, oriolebend.ReasonEngineFailed)
	})
}
