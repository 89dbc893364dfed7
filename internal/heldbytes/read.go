package heldbytes

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// pieceBytes is by how much a body of unknown length grows at a time.
const pieceBytes = 32 << 10

// Read reads a body of a length, or to its end if the length is negative, and holds its
// bytes. A body whose length is known is held before the first byte is read: one that there
// is no room for is refused at once, and not after most of it was sent.
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

// readToEnd holds the pieces of a body before they are read, and once more while they are
// joined.
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

// Fill reads until a piece is full. Unlike that of io.ReadFull its error tells the proper
// end of a body from one that came early.
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
	// Within is the time in which a body has to come; zero means no bound.
	Within time.Duration
	// Refuse answers a request whose body there is no room for, and that was not read.
	Refuse func(w http.ResponseWriter, r *http.Request, err error)
}

// Handler returns a handler whose bodies are held until it returns. One whose length is known
// is refused before the first byte is read; reads of others fail with a *FullError.
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
			r.Body = &timedBody{ReadCloser: r.Body, control: http.NewResponseController(w), until: time.Now().Add(g.Within)}
		}
		next.ServeHTTP(w, r)
	})
}

// heldBody holds the bytes of a body as they come.
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

// timedBody ends a body that comes too slowly.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
	until   time.Time
}

// Read implements io.Reader. The deadline goes with the end of the body: the server reads on
// while the answer is made, to notice a caller that leaves, and would take a passed deadline
// for that.
func (b *timedBody) Read(p []byte) (int, error) {
	_ = b.control.SetReadDeadline(b.until) // recorders of tests know no deadlines
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// PeerOf is the IP of an address, for whom bytes are held.
func PeerOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
