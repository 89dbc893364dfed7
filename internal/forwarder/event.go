package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/oriolebend/oriolebend/internal/memorybudget"
)

// event is one complete event of a stream.
type event struct {
	// id is the event's ID, empty if it has none.
	id string
	// raw holds the event as it was received, with the empty line that ends it.
	raw []byte
}

// maxEventBytes bounds the length of one event.
const maxEventBytes = 1 << 20

// usualEventBytes is the usual maximum length of events; only the bytes beyond it are counted as
// held memory.
const usualEventBytes = 4 << 10

// eventReader splits a stream into events.
type eventReader struct {
	reader *bufio.Reader
	// held accounts for the memory of an event that is longer than usual, counted is the part of it
	// that is accounted for.
	held    *memorybudget.Holding
	counted int
}

func newEventReader(r io.Reader, held *memorybudget.Holding) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 2<<10), held: held}
}

// hold accounts for the memory of the event that is being read.
func (e *eventReader) hold(length int) error {
	more := length - usualEventBytes - e.counted
	if more <= 0 {
		return nil
	}
	more = max(more, usualEventBytes)
	if err := e.held.Grow(int64(more)); err != nil {
		return err
	}
	e.counted += more
	return nil
}

// release releases the memory of the previous event.
func (e *eventReader) release() {
	if e.counted > 0 {
		e.held.Shrink(int64(e.counted))
		e.counted = 0
	}
}

// LongEventError is the error of an event that exceeds the maximum length.
type LongEventError struct{ Limit int }

// Error implements error.
func (e *LongEventError) Error() string { return fmt.Sprintf("event exceeds %d bytes", e.Limit) }

// next returns the next complete event. The error is io.EOF at the regular end of a stream, and
// io.ErrUnexpectedEOF if the stream ends in the middle of an event.
func (e *eventReader) next() (event, error) {
	e.release()
	var current event
	begin := 0 // of the line that is being read
	for {
		piece, err := e.reader.ReadSlice('\n')
		current.raw = append(current.raw, piece...)
		if len(current.raw) > maxEventBytes {
			return event{}, &LongEventError{Limit: maxEventBytes}
		}
		if err := e.hold(len(current.raw)); err != nil {
			return event{}, err
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(current.raw) > 0 {
			return event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event{}, err
		}
		text := bytes.TrimRight(current.raw[begin:], "\r\n")
		begin = len(current.raw)
		if len(text) == 0 {
			return current, nil
		}
		if id, found := bytes.CutPrefix(text, []byte("id:")); found {
			current.id = string(bytes.TrimSpace(id))
		}
	}
}

// follows reports whether an event comes after another one. Numeric IDs are compared as numbers;
// other IDs follow if they differ.
func follows(id, previous string) bool {
	if previous == "" {
		return true
	}
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(previous, 10, 64)
	if errA != nil || errB != nil {
		return !strings.EqualFold(id, previous)
	}
	return a > b
}
