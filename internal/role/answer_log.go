package role

import (
	"sync"

	"github.com/oriolebend/oriolebend/internal/caller"
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
)

// answerLog stores the chunks of one answer while it is produced, so that its
// caller and any number of other callers with the same key can each read all of
// them. Its only bound is the bound on a request's output, so a slow reader blocks
// neither the reducer nor the other readers.
type answerLog struct {
	organisation string
	// keepRunning is true if the request continues without readers.
	keepRunning bool
	// request is the caller's request.
	request entry.Request

	mu sync.Mutex
	// currentID is the id under which this entry runs the request.
	currentID string
	// readers is the number of callers that read the answer. When the last one
	// disconnects before the end of the answer, the request is cancelled unless
	// keepRunning is true.
	readers int
	chunks  []caller.Chunk
	changed chan struct{}
}

func newAnswerLog(r entry.Request) *answerLog {
	return &answerLog{
		organisation: r.Scope.Organisation,
		keepRunning:  r.KeepRunning || r.Once,
		request:      r,
		currentID:    r.ID,
		changed:      make(chan struct{}),
	}
}

// id returns the id under which this entry runs the request.
func (a *answerLog) id() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.currentID
}

// setID changes the id under which this entry runs the request.
func (a *answerLog) setID(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.currentID = id
}

// append adds a chunk and wakes the readers. Chunks after the last one are
// dropped.
func (a *answerLog) append(c caller.Chunk) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n := len(a.chunks); n > 0 && a.chunks[n-1].Last() {
		return
	}
	a.chunks = append(a.chunks, c)
	close(a.changed)
	a.changed = make(chan struct{})
}

// addReader registers a reader.
func (a *answerLog) addReader() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
}

// removeReader removes a reader and reports whether it was the last one.
func (a *answerLog) removeReader() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	return a.readers == 0
}

// chunksFrom skips the given number of chunks and returns the rest, and a channel that
// is closed when the next chunk is added.
func (a *answerLog) chunksFrom(read int) ([]caller.Chunk, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.chunks[read:], a.changed
}
