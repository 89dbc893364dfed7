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

func TestTransfersShareLink(t *testing.T) {
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
		done := make(chan error, 1)
		go func() { done <- link.Pass(t.Context(), 1) }()
		synctest.Wait()
		is.Equal(len(done), 0)
		link.Stall(false)
		is.NoErr(<-done)
	})
}

// newEnginesWithStore returns engines that load weights from one store. A single load of a
// model takes 10s.
func newEnginesWithStore(t *testing.T, count int) []*Engine {
	t.Helper()
	store := NewWeightStore(WeightStoreConfig{Bytes: 1e9, WeightBytes: 10e9, AdapterBytes: 1e9})
	network := MemoryNetwork{"store": store.Handler()}
	var engines []*Engine
	for range count {
		engines = append(engines, startEngine(t, EngineConfig{WeightStore: "http://store", Transport: network}))
	}
	return engines
}

var loadOrder = engine.Order{Fencing: 1, Action: engine.OrderLoad, Model: "planner-lm", Version: "1"}

func TestLoadsShareWeightStore(t *testing.T) {
	for _, row := range []struct {
		engines int
		want    time.Duration
	}{{1, 10 * time.Second}, {3, 30 * time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			engines := newEnginesWithStore(t, row.engines)
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

// TestLoadOutlivesOrderCall guards against a model that never gets loaded because the
// connection of the order breaks during each load and the load starts again. A load must
// continue after its order call has ended.
func TestLoadOutlivesOrderCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := newEnginesWithStore(t, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 9*time.Second)
		defer cancel()
		is.Equal(toEngineError(engines[0].Order(ctx, loadOrder)).Reason, oriolebend.ReasonDeadline)
		began := time.Now()
		is.NoErr(engines[0].Order(t.Context(), loadOrder)) // sent again, waits for the same load
		is.Equal(time.Since(began).Round(time.Second), time.Second)
	})
}

// TestUnloadCancelsLoad guards against a model that is loaded although it was unloaded. If
// a load is in progress when the unload arrives, the older order would otherwise complete
// after the newer one.
func TestUnloadCancelsLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := newEnginesWithStore(t, 1)
		done := make(chan error, 1)
		go func() { done <- engines[0].Order(t.Context(), loadOrder) }()
		time.Sleep(5 * time.Second)
		unload := loadOrder
		unload.Fencing = 2
		unload.Action = engine.OrderUnload
		is.NoErr(engines[0].Order(t.Context(), unload))
		is.Equal(toEngineError(<-done).Reason, oriolebend.ReasonEngineFailed)
		time.Sleep(time.Minute)
		info, err := engines[0].Info(t.Context())
		is.NoErr(err)
		is.Equal(len(info.Models), 0)
	})
}

func TestLoadFromUnreachableStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEngine(t, EngineConfig{WeightStore: "http://nowhere", Transport: MemoryNetwork{}})
		is.New(t).Equal(toEngineError(e.Order(t.Context(), loadOrder)).Reason, oriolebend.ReasonEngineFailed)
	})
}
