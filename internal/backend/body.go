package backend

import (
	"errors"
	"io"

	"github.com/oriolebend/oriolebend/internal/heldbytes"
)

const (
	// pieceBytes is how much of an answer is read at a time.
	pieceBytes = 32 << 10
	// firstPieceBytes is the first piece of an answer that does not tell its length: most
	// are short.
	firstPieceBytes = 4 << 10
)

// Body is the body of an answer, held as far as there is room for it. What there is no room
// for stays with its server until the caller has taken what is before it.
type Body struct {
	held   *heldbytes.Holding
	pieces [][]byte
	// given is how many bytes the piece holds that was returned last.
	given int64
	// rest is what follows the pieces, nil if nothing does.
	rest   *Response
	buffer []byte
	length int64
}

// Hold reads the body, up to most bytes and as far as there is room for them, in pieces: a
// long answer is neither copied while it grows nor on its way out. Release must be called once
// the body is not needed any more; it closes the holding.
func (r *Response) Hold(h *heldbytes.Holding, most int64) (*Body, error) {
	b := &Body{held: h, length: r.length}
	size := int64(0)
	for {
		next := r.nextPiece(size)
		if next == 0 {
			next = 1 // only the end is left to be read
		}
		if size+next > most || h.Grow(next) != nil {
			b.rest = r
			return b, nil
		}
		piece := make([]byte, next)
		n, err := heldbytes.Fill(r, piece)
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
			return nil, r.Lost("read the body", err)
		}
	}
}

// nextPiece is how much to read next, after size bytes.
func (r *Response) nextPiece(size int64) int64 {
	switch {
	case r.length >= 0:
		return min(pieceBytes, r.length-size)
	case size == 0:
		return firstPieceBytes
	}
	return pieceBytes
}

// Length is the length of the body, negative if it is not known.
func (b *Body) Length() int64 { return b.length }

// Next returns the next piece, and gives back the memory of the one before.
func (b *Body) Next() ([]byte, error) {
	b.held.Shrink(b.given)
	b.given = 0
	if b.buffer != nil {
		return b.readOn()
	}
	if len(b.pieces) == 0 && b.rest == nil {
		return nil, io.EOF
	}
	if len(b.pieces) == 0 {
		b.buffer = make([]byte, firstPieceBytes)
		return b.readOn()
	}
	piece := b.pieces[0]
	b.pieces[0] = nil // it would stay in memory with those behind it
	b.pieces = b.pieces[1:]
	b.given = int64(cap(piece))
	return piece, nil
}

// readOn reads from the server.
func (b *Body) readOn() ([]byte, error) {
	for {
		n, err := b.rest.Read(b.buffer)
		if n > 0 {
			return b.buffer[:n], nil // an error comes again with the next read
		}
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		if err != nil {
			return nil, b.rest.Lost("read the body", err)
		}
	}
}

// Release gives back what is held, and drops what has not been read.
func (b *Body) Release() {
	if b.rest != nil {
		b.rest.Close()
	}
	b.pieces = nil
	b.held.Close()
}
