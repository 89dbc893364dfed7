package forwarder

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/routing"
	"github.com/oriolebend/oriolebend/internal/streamrecord"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Streams knows the origins of the streams of all forwarders; *streamrecord.Client implements it.
type Streams interface {
	// Begun records that the first event of a stream is about to be sent to its caller, and Finished
	// that the stream is complete.
	Begun(r message.StreamRecord)
	Finished(stream uint64)
	// Lookup returns the origin of a stream, LookupContent that of the streams of a content. Their
	// errors are *streamrecord.UnknownError.
	Lookup(ctx context.Context, stream uint64) (message.StreamOrigin, error)
	LookupContent(ctx context.Context, content uint64) (message.StreamOrigin, error)
}

// defaultResumable is for how long a stream is expected to be resumed if its caller does not state
// how long it waits.
const defaultResumable = time.Minute

// resumableMargin is added to the time that a caller waits: its resumption is on its way for a while.
const resumableMargin = time.Second

// originRetryAfter is the retry delay of a resumption whose origin a control VM may know that could not
// be asked. Control VMs that have restarted are connected within a second.
const originRetryAfter = time.Second

// streamID returns the identity of the caller's stream: that of the request whose answer began it, or
// that of its content if the request has no ID.
func (w *work) streamID() uint64 {
	if id := cmp.Or(w.info.FirstTry, w.info.ID); id != "" {
		return streamrecord.ID(w.organisationName(), id)
	}
	return w.contentID()
}

// contentID returns the identity of the request's content over all tries of its caller.
func (w *work) contentID() uint64 {
	return streamrecord.ID(w.fingerprint.String(), strconv.FormatUint(w.info.Call, 16))
}

// resolveOrigin determines the origin of the stream that the request resumes, and has the request
// sent to the service that began it. It returns false if it has refused the request.
func (w *work) resolveOrigin(ctx context.Context, table *routing.Table) bool {
	if !w.route.Stream || !w.info.resumesStream() {
		return true
	}
	origin, err := w.lookupOrigin(ctx)
	if err != nil {
		w.f.config.Logger.LogAttrs(ctx, slog.LevelInfo, "stream can't be resumed",
			slog.String("request", w.info.ID), slog.String("fingerprint", w.fingerprint.String()),
			slog.String("resumes", w.info.FirstTry), slog.String("error", err.Error()))
		refused := refusal{reason: oriolebend.ReasonOriginUnknown}
		if unknown, ok := errors.AsType[*streamrecord.UnknownError](err); ok && unknown.Temporary() {
			refused.after = originRetryAfter
		}
		w.refuse(refused)
		return false
	}
	w.origin = &origin
	if !w.setService(table.Service(origin.Service)) || !leadsTo(w.route, origin.Service) {
		w.refuse(refusal{reason: oriolebend.ReasonVersionGone}) // the route has moved to other services
		return false
	}
	return true
}

// leadsTo reports whether a route sends requests to a service.
func leadsTo(r *oriolebend.Route, service string) bool {
	return slices.ContainsFunc(r.Targets, func(t oriolebend.RouteTarget) bool {
		return t.Service == service && t.Weight > 0
	})
}

// lookupOrigin returns the origin of the stream that the caller states, or of the streams of the
// request's content if it states none.
func (w *work) lookupOrigin(ctx context.Context) (message.StreamOrigin, error) {
	if w.info.FirstTry == "" {
		return w.f.config.Streams.LookupContent(ctx, w.contentID())
	}
	return w.f.config.Streams.Lookup(ctx, w.streamID())
}

// recordOrigin records the origin of the stream, before its first event is sent to the caller. From
// then on only servers that the origin permits continue the stream.
func (w *work) recordOrigin(server message.BackendServer) {
	if w.originRecorded {
		return
	}
	w.originRecorded = true
	if w.origin == nil {
		if w.f.exited(server) {
			server.SoftwareVersion = "" // another start of it answers, which may have another version
		}
		origin := message.OriginOf(server)
		w.origin = &origin
	}
	if !w.route.Repeat.Repeatable() {
		return // the caller can't resume the stream
	}
	resumable := defaultResumable
	if w.info.Within > 0 {
		resumable = w.info.Within - time.Since(w.request.Received) + resumableMargin
	}
	w.f.config.Streams.Begun(message.StreamRecord{
		Stream: w.streamID(), Content: w.contentID(), Origin: *w.origin, ResumableFor: resumable,
	})
}
