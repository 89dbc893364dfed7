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

// export is a prefill result that can be fetched. It still holds the memory of its
// sequence.
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
	// readers is the number of transfers in progress.
	readers int
	// fetched is true once a transfer was completed.
	fetched bool
}

// export makes the result of a computed prefill available. The caller must hold the mutex.
func (e *Engine) export(p *process, s *sequence) {
	p.dropSequence(s)
	p.cache.store(s.blocks)
	e.stats.Prefills++
	e.stats.PrefillTokens += s.tokens
	e.stats.CachedTokens += s.cached
	s.handle = fmt.Sprintf("%d-%d", p.incarnation, s.arrival)
	ctx, cancel := context.WithCancel(p.ctx)
	x := &export{handle: s.handle, attempt: s.key.attempt, tokens: s.tokens, digest: s.digest, ctx: ctx, cancel: cancel}
	x.timer = time.AfterFunc(e.config.ExportLife, func() { e.expire(p, x) })
	p.exports[x.handle] = x
	p.usedTokens += x.tokens
	s.signal()
}

// expire drops a result at the end of its life. If a transfer is in progress, the result
// keeps its memory for the same time again, and then the transfer is aborted. Otherwise a
// reader that hangs would hold the memory forever.
func (e *Engine) expire(p *process, x *export) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x.readers > 0 && !x.expired {
		x.expired = true
		x.timer.Reset(e.config.ExportLife)
		return
	}
	e.dropExport(p, x)
}

// dropExport frees a result. It may be called more than once. The caller must hold the
// mutex.
func (e *Engine) dropExport(p *process, x *export) {
	if p.exports[x.handle] != x {
		return
	}
	p.updateReport()
	delete(p.exports, x.handle)
	p.usedTokens -= x.tokens
	x.timer.Stop()
	x.cancel()
	if !x.fetched {
		e.stats.Expired++
	}
}

// beginRead records the start of a transfer of a result.
func (e *Engine) beginRead(handle string) (*process, *export, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.process
	x, ok := p.exports[handle]
	if !ok || x.expired {
		return nil, nil, newError(oriolebend.ReasonResultExpired, "no result %s", handle)
	}
	x.readers++
	return p, x, nil
}

// endRead records the end of a transfer of a result.
func (e *Engine) endRead(p *process, x *export, complete bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x.readers--
	if complete && !x.fetched {
		x.fetched = true
		e.stats.Fetched++
	}
	if x.expired && x.readers == 0 {
		e.dropExport(p, x)
	}
}

// serveKV transfers a result over the link of the engine.
func (e *Engine) serveKV(w http.ResponseWriter, r *http.Request) {
	if _, err := e.beginCall(r.Context(), OperationFetch); err != nil {
		writeError(w, err)
		return
	}
	p, x, err := e.beginRead(r.PathValue("handle"))
	if err != nil {
		writeError(w, err)
		return
	}
	err = e.writeKV(w, r, x)
	e.endRead(p, x, err == nil)
	if err != nil {
		// Abort the connection, because a return would look like the end of the body.
		panic(http.ErrAbortHandler)
	}
}

// writeKV writes the scaled-down body of a transfer at the rate of the link.
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

// transferBuffer returns a buffer for one chunk of the link.
func (e *Engine) transferBuffer() []byte {
	bytes := e.link.Chunk() / e.config.BodyScale
	return make([]byte, min(max(bytes, 1), maxTransferBuffer))
}

// bodyBytes returns the size of the scaled-down body for the modelled size of a KV cache.
func (e *Engine) bodyBytes(modelled int64) int64 {
	return max(modelled/e.config.BodyScale, 1)
}

// digest identifies the text whose KV cache a result holds, so that the result of another
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
