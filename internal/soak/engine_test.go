package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Model engines of the soak test. A generation has generationTokens, of which generationParts are
// written one after the other.
const (
	generating       = "generation"
	promptTokens     = 400
	generationParts  = 20
	generationTokens = promptTokens + generationParts
	// engineRoom is how many generations an engine of the seeded run has memory for.
	engineRoom = 3
	// engineStep is the time for one part at speed 1 without other generations. Each further
	// generation of the engine adds the share batchShare to it.
	engineStep = 8 * time.Millisecond
	batchShare = 0.035
)

// engineSpeeds are the speeds of the engines, relative to the usual one. At the start two engines
// have each of the two software versions.
var engineSpeeds = []float64{0.6, 1, 1.6, 1}

func engineService() oriolebend.RouteService {
	return oriolebend.RouteService{Name: generating, Engine: &oriolebend.EngineLimits{
		Slots: engineRoom, KVTokens: engineRoom * generationTokens, TokenBytes: 1 << 10, LinkMbps: 1000,
		ResultLives: oriolebend.Duration(time.Second),
	}}
}

// engine is the state of a server that is a model engine.
type engine struct {
	speed float64
	// room is how many generations it has memory for.
	room int

	mutex   sync.Mutex
	running int
	// refused and complete count generations, wrote is the time that the complete ones took.
	refused, complete int
	wrote             time.Duration
}

// admit starts a generation if there is memory for it.
func (e *engine) admit() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.running >= e.room {
		e.refused++
		return false
	}
	e.running++
	return true
}

func (e *engine) end() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.running--
}

// step returns the time that the next part of a generation takes.
func (e *engine) step() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return time.Duration(float64(engineStep) / e.speed * (1 + batchShare*float64(e.running-1)))
}

func (e *engine) noteComplete(wrote time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.complete++
	e.wrote += wrote
}

// generate streams the parts of a generation that the caller does not have yet. A generation for
// which there is no memory is refused as not run.
func (v *server) generate(w http.ResponseWriter, r *http.Request, id string) {
	if !v.engine.admit() {
		w.Header().Set("Oriolebend-Ran", "no")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer v.engine.end()
	if v.fleet.noteRan(id) == 1 {
		v.fleet.callers.noteTokens(generationTokens)
	}
	last, err := strconv.Atoi(r.Header.Get("Oriolebend-Output-Tokens"))
	if err != nil {
		last = generationParts
	}
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0 // the first send of the generation
	}
	w.Header().Set("Content-Type", "text/event-stream")
	began, software := time.Now(), softwareOf(r.Header.Get("Oriolebend-Instance"))
	stream := cmp.Or(r.Header.Get(headerResumes), id)
	for n := after + 1; n <= last; n++ {
		time.Sleep(v.engine.step())
		if _, err := fmt.Fprint(w, part(stream, n, software)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
	v.engine.noteComplete(time.Since(began))
}

// softwareOf returns the software version of an instance. It alternates with each restart.
func softwareOf(instance string) string {
	var index, start int
	if _, err := fmt.Sscanf(instance, "engine-%d.%d", &index, &start); err != nil {
		return ""
	}
	return fmt.Sprintf("v%d", 1+(index+start)%2)
}

// part returns one event of a stream, as an engine of a software version writes it.
func part(stream string, n int, software string) string {
	return fmt.Sprintf("id: %d\ndata: part %d of %s\n: %s\n\n", n, n, stream, software)
}

// noteRan counts a run of a request and returns how often it has run.
func (f *fleet) noteRan(id string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.ran[id]++
	return f.ran[id]
}

// checkEngines guards against an engine that is not used, for example because a slow one is taken
// for a failing one.
func (f *fleet) checkEngines(t *testing.T) {
	t.Helper()
	for _, v := range f.servers {
		e := v.engine
		if e == nil {
			continue
		}
		e.mutex.Lock()
		t.Logf("%s of speed %.1f: %d generations in %s on average, %d refused", v.name, e.speed, e.complete,
			e.wrote/time.Duration(max(1, e.complete)), e.refused)
		if e.complete == 0 {
			t.Errorf("%s has completed no generation", v.name)
		}
		e.mutex.Unlock()
	}
}
