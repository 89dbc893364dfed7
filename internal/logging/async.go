package logging

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxQueueBytes bounds the lines that wait to be written. It holds several seconds of the
// log of a busy process and is small compared with the memory of the process.
const maxQueueBytes = 512 << 10

// Async is a writer that never blocks: lines wait in a bounded queue until a
// goroutine writes them, and are dropped and counted while the queue is full.
//
// Standard output is often a pipe. If its reader stops reading, a plain write blocks, and
// so does every request that logs a line: requests time out on a VM whose log has
// stopped.
type Async struct {
	out     io.Writer
	dropped atomic.Uint64

	mutex  sync.Mutex
	queue  []byte
	spare  []byte
	closed bool
	wake   chan struct{}
	done   chan struct{}
}

// NewAsync returns an Async that writes to out until it is closed.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It always returns a nil error, because no caller could
// handle an error of the log.
func (a *Async) Write(line []byte) (int, error) {
	a.mutex.Lock()
	full := a.closed || len(a.queue)+len(line) > maxQueueBytes
	if !full {
		a.queue = append(a.queue, line...)
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

// Dropped returns how many lines were dropped.
func (a *Async) Dropped() uint64 { return a.dropped.Load() }

// Close writes the queued lines and stops the writer.
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
		batch, closed := a.queue, a.closed
		a.queue = a.spare[:0]
		a.spare = nil
		a.mutex.Unlock()
		if len(batch) > 0 {
			// The error can't be reported, because the log itself can't be written.
			_, _ = a.out.Write(batch)
		}
		a.mutex.Lock()
		a.spare = batch
		a.mutex.Unlock()
		if closed {
			return
		}
	}
}
