package backend

import (
	"io"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/oriolebend/oriolebend/internal/pause"
)

const (
	// unboundedShare is the share of the link that all answers without a known end have together,
	// beyond the first part of each.
	unboundedShare = 0.15
	// paceBurst is for how long of that share such answers may come faster after a pause.
	paceBurst = 250 * time.Millisecond
	// freePart is for how long of the link's capacity the first part of each answer is read unpaced.
	freePart = 5 * time.Millisecond
	// pacePiece is for how long of that share one answer is read at a time, so that short answers do
	// not wait long behind others.
	pacePiece = 10 * time.Millisecond
	// maxBoundedBytes is the longest stated length of an answer that counts as a known end.
	maxBoundedBytes = 16 << 20
	// pacedBufferBytes is the size of the kernel's receive buffer for an answer that is paced. By
	// default it grows to megabytes, which count as memory of the VM.
	pacedBufferBytes = 64 << 10
)

// pace bounds how fast answers without a known end are read. A faulty server may send bytes until its
// connection is closed, as fast as they are read: they would take the link from all other requests,
// and the process would turn new callers away.
type pace struct {
	// limiter is nil if the capacity of the link is not known.
	limiter    *rate.Limiter
	freeBytes  int
	pieceBytes int
}

func newPace(linkBytes float64) pace {
	if linkBytes <= 0 {
		return pace{}
	}
	perSecond := unboundedShare * linkBytes
	return pace{
		limiter:    rate.NewLimiter(rate.Limit(perSecond), max(readPieceBytes, int(perSecond*paceBurst.Seconds()))),
		freeBytes:  int(linkBytes * freePart.Seconds()),
		pieceBytes: max(1, int(perSecond*pacePiece.Seconds())),
	}
}

// unbounded reports whether an answer of this length, negative if it is not known, may have no end.
func unbounded(length int64) bool { return length < 0 || length > maxBoundedBytes }

// pacedBody reads the body of one answer. It paces the body if it may have no end.
type pacedBody struct {
	exchange  *exchange
	body      io.Reader
	unbounded bool
	// counted is the number of bytes of the link that were counted, delay the time until the next read.
	counted int
	delay   time.Duration
	slowed  bool
	// end is the error of the last read, nil while the body has not ended. The connection may have carried
	// another request since then.
	end error
}

func (x *exchange) pacedBody(answer *http.Response, length int64) pacedBody {
	return pacedBody{exchange: x, body: answer.Body, unbounded: unbounded(length) && x.pool.pace.limiter != nil}
}

// Read implements io.Reader. It waits first if earlier reads were too fast, at most until the context
// of the exchange ends.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	if b.delay > 0 {
		pause.For(b.exchange.ctx, b.delay)
		b.delay = 0
	}
	if b.unbounded {
		pace := b.exchange.pool.pace
		p = p[:min(len(p), max(pace.pieceBytes, pace.freeBytes-b.counted))]
	}
	received := b.exchange.conn.received
	n, err := b.body.Read(p)
	b.count(b.exchange.conn.received - received) // with the framing of chunks
	b.end = err
	return n, err
}

// count counts bytes against the share of answers without a known end.
func (b *pacedBody) count(n int) {
	if !b.unbounded {
		return
	}
	p := b.exchange.pool.pace
	b.counted += n
	if b.counted <= p.freeBytes {
		return
	}
	b.delay = p.limiter.ReserveN(time.Now(), min(n, p.limiter.Burst())).Delay()
	if b.delay > 0 && !b.slowed {
		b.slowed = true
		b.exchange.pool.count(AnswerPaced)
		b.exchange.conn.shrinkBuffer()
	}
}

// shrinkBuffer bounds what the kernel holds of an answer that is read slowly.
func (c *connection) shrinkBuffer() {
	if tcp, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = tcp.SetReadBuffer(pacedBufferBytes) // if the kernel refuses the size, its own limit holds
	}
}
