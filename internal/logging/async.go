package logging

import (
	"io"
	"sync"
	"sync/atomic"
)

// queueBytes bounds the lines that wait to be written: seconds of the log of a
// busy process, and little beside its memory.
const queueBytes = 512 << 10

// Async is a writer that never blocks: lines wait in a bounded queue for a
// goroutine to write them, and are dropped and counted while it is full.
//
// Standard output is often a pipe. Once its reader stands still a plain write
// blocks, and with it every request that logs a line; one would notice requests
// that time out on a VM whose log has stopped.
type Async struct {
	to      io.Writer
	dropped atomic.Uint64

	mutex   sync.Mutex
	waiting []byte
	spare   []byte
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// NewAsync begins to write to a writer; Close ends it.
func NewAsync(to io.Writer) *Async {
	a := &Async{to: to, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It reports no error: there is nobody who could do
// anything about one.
func (a *Async) Write(line []byte) (int, error) {
	a.mutex.Lock()
	full := a.closed || len(a.waiting)+len(line) > queueBytes
	if !full {
		a.waiting = append(a.waiting, line...)
	}
	a.mutex.Unlock()
	if full {
		a.dropped.Add(1)
		return len(line), nil
	}
	a.signal()
	return len(line), nil
}

func (a *Async) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Dropped counts the lines that found no room.
func (a *Async) Dropped() uint64 { return a.dropped.Load() }

// Close writes what waits and ends the writer.
func (a *Async) Close() {
	a.mutex.Lock()
	a.closed = true
	a.mutex.Unlock()
	a.signal()
	<-a.done
}

func (a *Async) run() {
	defer close(a.done)
	for range a.wake {
		a.mutex.Lock()
		batch, closed := a.waiting, a.closed
		a.waiting = a.spare[:0]
		a.spare = nil
		a.mutex.Unlock()
		if len(batch) > 0 {
			// A log that can't be written to has no place to say so.
			_, _ = a.to.Write(batch)
		}
		a.mutex.Lock()
		a.spare = batch
		a.mutex.Unlock()
		if closed {
			return
		}
	}
}
