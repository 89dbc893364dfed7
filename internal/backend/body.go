package backend

import (
	"errors"
	"io"

	"github.com/oriolebend/oriolebend/internal/memorybudget"
)

const (
	// readPieceBytes is the most of an answer that is read at a time.
	readPieceBytes = 32 << 10
	// firstPieceBytes is the size of the first piece of an answer of unknown length: most
	// such answers are short.
	firstPieceBytes = 4 << 10
)

// Body is the body of an answer. It holds as much of the body in memory as the limits
// allow. The rest is read from the server when the caller has read all that is held.
type Body struct {
	held   *memorybudget.Holding
	pieces [][]byte
	// returnedBytes is the memory of the piece that Next returned last.
	returnedBytes int64
	// rest is the response from which the rest of the body is read, nil if the pieces are
	// the complete body.
	rest   *Response
	buffer []byte
	length int64
}

// Hold reads the body into memory, up to limit bytes and as far as h allows. It reads in
// pieces, so that a long answer is copied neither when it grows nor when it is written.
// Release must be called when the body is not needed any more; it closes h.
func (r *Response) Hold(h *memorybudget.Holding, limit int64) (*Body, error) {
	b := &Body{held: h, length: r.length}
	size := int64(0)
	for {
		next := r.nextPiece(size)
		if next == 0 {
			next = 1 // all bytes are read, but not yet io.EOF
		}
		if size+next > limit || h.Grow(next) != nil {
			b.rest = r
			return b, nil
		}
		piece := make([]byte, next)
		n, err := memorybudget.Fill(r, piece)
		size += int64(n)
		if n > 0 {
			b.pieces = append(b.pieces, piece[:n])
		}
		if errors.Is(err, io.EOF) {
			b.length = size
			return b, nil
		}
		if err != nil {
			b.Release()
			r.Close()
			return nil, r.BodyError("read the body", err)
		}
	}
}

// nextPiece returns the number of bytes to read next, after size bytes.
func (r *Response) nextPiece(size int64) int64 {
	switch {
	case r.length >= 0:
		return min(readPieceBytes, r.length-size)
	case size == 0:
		return firstPieceBytes
	}
	return readPieceBytes
}

// Length returns the length of the body, negative if it is not known.
func (b *Body) Length() int64 { return b.length }

// Next returns the next piece and releases the memory of the previous one. The error is
// io.EOF after the last piece.
func (b *Body) Next() ([]byte, error) {
	b.held.Shrink(b.returnedBytes)
	b.returnedBytes = 0
	if b.buffer != nil {
		return b.readRest()
	}
	if len(b.pieces) == 0 && b.rest == nil {
		return nil, io.EOF
	}
	if len(b.pieces) == 0 {
		b.buffer = make([]byte, firstPieceBytes)
		return b.readRest()
	}
	piece := b.pieces[0]
	b.pieces[0] = nil // the slice would keep the piece in memory
	b.pieces = b.pieces[1:]
	b.returnedBytes = int64(cap(piece))
	return piece, nil
}

// readRest reads the next part of the rest from the server.
func (b *Body) readRest() ([]byte, error) {
	for {
		n, err := b.rest.Read(b.buffer)
		if n > 0 {
			return b.buffer[:n], nil // the next read returns the error again
		}
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		if err != nil {
			return nil, b.rest.BodyError("read the body", err)
		}
	}
}

// Release releases the memory of the body and closes the response if it was not read to
// its end.
func (b *Body) Release() {
	if b.rest != nil {
		b.rest.Close()
	}
	b.pieces = nil
	b.held.Close()
}
