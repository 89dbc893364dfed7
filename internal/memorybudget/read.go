package memorybudget

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// pieceBytes is the size of the pieces in which a body of unknown length is read.
const pieceBytes = 32 << 10

// Read reads a body of the given length, or to its end if the length is negative, and counts its
// bytes as held. The bytes of a body with a known length are counted before the first byte is read:
// a body that would exceed a bound is refused at once, and not after most of it was sent.
func (h *Holding) Read(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return h.readToEnd(r)
	}
	if err := h.Grow(length); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	return body, nil
}

// readToEnd counts the pieces of a body before they are read. While they are joined, it counts the
// joined body in addition.
func (h *Holding) readToEnd(r io.Reader) ([]byte, error) {
	var pieces [][]byte
	size := 0
	for next := min(pieceBytes, SmallBytes); ; next = pieceBytes {
		if err := h.Grow(int64(next)); err != nil {
			return nil, err
		}
		piece := make([]byte, next)
		n, err := Fill(r, piece)
		pieces = append(pieces, piece[:n])
		size += n
		if errors.Is(err, io.EOF) {
			return h.join(pieces, size)
		}
		if err != nil {
			return nil, err
		}
	}
}

// Fill reads until a piece is full. Unlike io.ReadFull, it returns the reader's own error, which
// distinguishes the regular end of a body from a truncated body.
func Fill(r io.Reader, piece []byte) (int, error) {
	n := 0
	for n < len(piece) {
		read, err := r.Read(piece[n:])
		n += read
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

func (h *Holding) join(pieces [][]byte, size int) ([]byte, error) {
	if len(pieces) == 1 {
		return pieces[0], nil
	}
	if err := h.Grow(int64(size)); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for _, piece := range pieces {
		body = append(body, piece...)
		h.Shrink(int64(cap(piece)))
	}
	return body, nil
}

// Guard bounds the bodies of the requests that a handler reads.
type Guard struct {
	Account *Account
	// Within is the time within which a body must be read; zero means no bound.
	Within time.Duration
	// Refuse answers a request whose body would exceed a bound and was not read.
	Refuse func(w http.ResponseWriter, r *http.Request, err error)
}

// Handler returns a handler that counts the bytes of each body until next returns. A body of known
// length that would exceed a bound is refused before its first byte is read; reads of other bodies
// fail with a *FullError.
func (g Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := g.Account.Open(Request, PeerOf(r.RemoteAddr))
		defer held.Close()
		if err := held.Grow(max(0, r.ContentLength)); err != nil {
			g.Refuse(w, r, err)
			return
		}
		if r.ContentLength < 0 {
			r.Body = &heldBody{ReadCloser: r.Body, held: held}
		}
		if g.Within > 0 && r.ContentLength != 0 {
			r.Body = &timedBody{ReadCloser: r.Body, control: http.NewResponseController(w), deadline: time.Now().Add(g.Within)}
		}
		next.ServeHTTP(w, r)
	})
}

// heldBody counts the bytes of a body as they are read.
type heldBody struct {
	io.ReadCloser
	held *Holding
}

// Read implements io.Reader.
func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if full := b.held.Grow(int64(n)); full != nil {
		return 0, full
	}
	return n, err
}

// timedBody fails the reads of a body that arrives too slowly.
type timedBody struct {
	io.ReadCloser
	control  *http.ResponseController
	deadline time.Time
}

// Read implements io.Reader. It removes the deadline at the end of the body: the HTTP server keeps
// reading while the request is handled, to detect that the caller disconnects, and would treat an
// expired deadline as a disconnect.
func (b *timedBody) Read(p []byte) (int, error) {
	_ = b.control.SetReadDeadline(b.deadline) // recorders in tests do not support deadlines
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// PeerOf returns the IP of an address; the held bytes of a peer are counted under its IP.
func PeerOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
