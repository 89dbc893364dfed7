package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/oriolebend/oriolebend/internal/heldbytes"
)

// event is one whole event of a stream.
type event struct {
	// id is the event's id, empty if it has none.
	id string
	// raw is the event as it came, with the empty line that ends it.
	raw []byte
}

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// usualEventBytes is how long events are as a rule; only what is beyond counts as held.
const usualEventBytes = 4 << 10

// eventReader cuts a stream into events.
type eventReader struct {
	reader *bufio.Reader
	// held is the memory of an event that is longer than usual, counted how much of it.
	held    *heldbytes.Holding
	counted int
}

func newEventReader(r io.Reader, held *heldbytes.Holding) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 2<<10), held: held}
}

// hold counts the bytes of the event that is being read.
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

// release gives back the memory of the event before.
func (e *eventReader) release() {
	if e.counted > 0 {
		e.held.Shrink(int64(e.counted))
		e.counted = 0
	}
}

// LongEventError is an event over the bound.
type LongEventError struct{ Most int }

// Error implements error.
func (e *LongEventError) Error() string { return fmt.Sprintf("event over %d bytes", e.Most) }

// next returns the next whole event. The error is io.EOF at the proper end of a
// stream, and io.ErrUnexpectedEOF if it ended in the middle of an event.
func (e *eventReader) next() (event, error) {
	e.release()
	var current event
	begin := 0 // of the line that is being read
	for {
		piece, err := e.reader.ReadSlice('\n')
		current.raw = append(current.raw, piece...)
		if len(current.raw) > maxEventBytes {
			return event{}, &LongEventError{Most: maxEventBytes}
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

// later reports whether an event comes behind another one. IDs that are whole
// numbers are compared as such; others only differ.
func later(id, than string) bool {
	if than == "" {
		return true
	}
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(than, 10, 64)
	if errA != nil || errB != nil {
		return !strings.EqualFold(id, than)
	}
	return a > b
}
