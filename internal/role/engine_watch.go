package role

import (
	"context"
	"reflect"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/reducer"
	"github.com/oriolebend/oriolebend/internal/reducer/gate"
)

const (
	// enginePollInterval is how often the sidecar queries its engine for load and
	// cache events; both are hints only.
	enginePollInterval = 250 * time.Millisecond
	// engineQueryTimeout bounds one round of queries to the engine.
	engineQueryTimeout = 2 * time.Second
	// maxFailedPolls is the number of failed polls in a row after which the engine
	// counts as lost. A single lost answer does not mean that the engine crashed.
	maxFailedPolls = 3
)

// engineWatch polls the engine for its description, its load and its cache events.
type engineWatch struct {
	engine    engine.Engine
	post      func(reducer.Event)
	onInfo    func(engine.Info)
	failures  int
	info      engine.Info
	lastEvent uint64
}

// watchEngine polls the engine until ctx ends.
func (s *Sidecar) watchEngine(ctx context.Context) {
	w := &engineWatch{engine: s.config.Engine, post: s.loop.Post, onInfo: s.applyEngineInfo}
	ticker := time.NewTicker(enginePollInterval)
	defer ticker.Stop()
	for {
		w.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// applyEngineInfo copies the engine's description into the announcement. If the
// server was announced before, it announces the change at once: entries route by
// it, and a rollout proceeds to the next server only when this one announces its
// new version.
func (s *Sidecar) applyEngineInfo(info engine.Info) {
	s.mu.Lock()
	s.server.Role = info.Role
	s.server.Models = info.Models
	s.server.KVTokens = info.KVTokens
	s.server.LinkBytes = info.LinkBytes
	server := s.server
	s.mu.Unlock()
	if server.State != "" {
		s.config.Announcer.SetServer(server)
	}
}

func (w *engineWatch) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, engineQueryTimeout)
	defer cancel()
	info, err := w.engine.Info(ctx)
	if err != nil {
		w.countFailure()
		return
	}
	w.applyInfo(info)
	if report, err := w.engine.Load(ctx); err == nil {
		w.post(gate.LoadReported{At: time.Now(), Report: report})
	}
	events, err := w.engine.CacheEvents(ctx, w.lastEvent)
	if err != nil || len(events) == 0 {
		return
	}
	w.lastEvent = events[len(events)-1].Sequence
	w.post(gate.CacheChanged{At: time.Now(), Events: events})
}

// applyInfo posts the description of an engine that is new, has changed, has
// restarted or is reachable again.
func (w *engineWatch) applyInfo(info engine.Info) {
	recovered := w.failures >= maxFailedPolls
	w.failures = 0
	if reflect.DeepEqual(info, w.info) && !recovered {
		return
	}
	if info.Incarnation != w.info.Incarnation {
		w.lastEvent = 0
	}
	w.info = info
	w.onInfo(info)
	w.post(gate.EngineKnown{At: time.Now(), Info: info})
}

func (w *engineWatch) countFailure() {
	w.failures++
	if w.failures == maxFailedPolls {
		w.post(gate.EngineLost{At: time.Now()})
	}
}
