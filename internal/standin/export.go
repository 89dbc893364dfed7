package standin

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Headers of a KV transfer.
const (
	headerKVBytes  = "Kv-Bytes"
	headerKVDigest = "Kv-Digest"
)

// maxTransferBuffer bounds the memory of one end of a transfer, in bytes.
const maxTransferBuffer = 64 << 10

// export is a prefill result that waits to be fetched and still holds the
// memory of its sequence.
type export struct {
	handle  string
	attempt message.Attempt
	tokens  int
	digest  uint64
	timer   *time.Timer
	ctx     context.Context
	cancel  context.CancelFunc
	// expired is true once no new transfer may begin.
	expired bool
	// reading counts the transfers in progress.
	reading int
	// fetched is true once a transfer ended whole.
	fetched bool
}

// export turns a computed prefill into its result. The caller holds the mutex.
func (e *Engine) export(p *process, s *sequence) {
	p.drop(s)
	p.cache.store(s.blocks)
	e.stats.Prefills++
	e.stats.PrefillTokens += s.tokens
	e.stats.CachedTokens += s.cached
	s.handle = fmt.Sprintf("%d-%d", p.number, s.arrived)
	ctx, cancel := context.WithCancel(p.ctx)
	x := &export{handle: s.handle, attempt: s.key.attempt, tokens: s.tokens, digest: s.digest, ctx: ctx, cancel: cancel}
	x.timer = time.AfterFunc(e.config.ExportLife, func() { e.expire(p, x) })
	p.exports[x.handle] = x
	p.used += x.tokens
	s.signal()
}

// expire ends the life of a result. A transfer that began in time holds the
// memory once more for as long, and is then broken off: a reader that hangs
// would else hold it for ever.
func (e *Engine) expire(p *process, x *export) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x.reading > 0 && !x.expired {
		x.expired = true
		x.timer.Reset(e.config.ExportLife)
		return
	}
	e.dropExport(p, x)
}

// dropExport frees a result; it may be called again. The caller holds the
// mutex.
func (e *Engine) dropExport(p *process, x *export) {
	if p.exports[x.handle] != x {
		return
	}
	p.rollReport()
	delete(p.exports, x.handle)
	p.used -= x.tokens
	x.timer.Stop()
	x.cancel()
	if !x.fetched {
		e.stats.Expired++
	}
}

// beginRead opens a transfer of a result.
func (e *Engine) beginRead(handle string) (*process, *export, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.process
	x, ok := p.exports[handle]
	if !ok || x.expired {
		return nil, nil, fail(oriolebend.ReasonResultExpired, "no result %s", handle)
	}
	x.reading++
	return p, x, nil
}

// endRead closes a transfer of a result.
func (e *Engine) endRead(p *process, x *export, whole bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x.reading--
	if whole && !x.fetched {
		x.fetched = true
		e.stats.Fetched++
	}
	if x.expired && x.reading == 0 {
		e.dropExport(p, x)
	}
}

// serveKV carries a result over the engine's link.
func (e *Engine) serveKV(w http.ResponseWriter, r *http.Request) {
	if _, err := e.enter(r.Context(), OperationFetch); err != nil {
		answerError(w, err)
		return
	}
	p, x, err := e.beginRead(r.PathValue("handle"))
	if err != nil {
		answerError(w, err)
		return
	}
	err = e.writeKV(w, r, x)
	e.endRead(p, x, err == nil)
	if err != nil {
		// The length was announced; a plain return would look like its end.
		panic(http.ErrAbortHandler)
	}
}

// writeKV writes the body of a transfer, scaled down, at the link's rate.
func (e *Engine) writeKV(w http.ResponseWriter, r *http.Request, x *export) error {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(x.ctx, cancel)()
	modelled := int64(x.tokens) * e.config.KVTokenBytes
	rest := e.bodyBytes(modelled)
	w.Header().Set(headerKVBytes, strconv.FormatInt(modelled, 10))
	w.Header().Set(headerKVDigest, strconv.FormatUint(x.digest, 16))
	w.Header().Set("Content-Length", strconv.FormatInt(rest, 10))
	chunk := e.transferBuffer()
	for rest > 0 {
		part := chunk[:min(rest, int64(len(chunk)))]
		if err := e.link.Pass(ctx, int64(len(part))*e.config.BodyScale); err != nil {
			return err
		}
		if _, err := w.Write(part); err != nil {
			return err
		}
		_ = http.NewResponseController(w).Flush()
		rest -= int64(len(part))
	}
	return nil
}

// transferBuffer returns a buffer for what the link passes at a time.
func (e *Engine) transferBuffer() []byte {
	bytes := e.link.Chunk() / e.config.BodyScale
	return make([]byte, min(max(bytes, 1), maxTransferBuffer))
}

// bodyBytes returns how many bytes stand in the body for so many of KV cache.
func (e *Engine) bodyBytes(modelled int64) int64 {
	return max(modelled/e.config.BodyScale, 1)
}

// digest names the text whose KV cache a result holds, so that one of another
// prompt is refused and not decoded.
func digest(model, adapter, text string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{model, adapter} {
		_, _ = d.Write(binary.AppendUvarint(nil, uint64(len(part))))
		_, _ = d.WriteString(part)
	}
	_, _ = d.WriteString(text)
	return d.Sum64()
}
