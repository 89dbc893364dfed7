package role

import (
	"sync"

	"github.com/oriolebend/oriolebend/internal/caller"
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
)

// answerLog keeps the chunks of one answer while it is made, so that its
// caller and any number of others with the same key can each read all of it.
// It is unbounded but for the bound on a request's output: a reader that is
// slow holds up neither the reducer nor the other readers.
type answerLog struct {
	organisation string
	// keep is true if the request goes on when nobody reads.
	keepRunning bool
	// request is what the caller asked for.
	request entry.Request

	mu sync.Mutex
	// runsAs is the id under which this entry runs the request.
	currentID string
	// readers counts those who read the answer; the request is cancelled when
	// the last one leaves before its end.
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

// rename changes the id under which this entry runs the request.
func (a *answerLog) setID(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.currentID = id
}

// append adds a chunk and wakes the readers. Nothing is added behind a last
// chunk.
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

// join counts a reader in.
func (a *answerLog) addReader() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
}

// leave counts a reader out and reports whether nobody is left to read.
func (a *answerLog) removeReader() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	return a.readers == 0
}

// from returns the chunks behind the first read ones, and a channel that is
// closed when there are more.
func (a *answerLog) chunksFrom(read int) ([]caller.Chunk, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.chunks[read:], a.changed
}
