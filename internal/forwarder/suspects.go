package forwarder

import (
	"context"
	"time"

	"github.com/oriolebend/oriolebend/internal/backend"
	"github.com/oriolebend/oriolebend/internal/quarantine"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// suspects returns what may be the cause if a server crashes under the request.
func (w *work) suspects() quarantine.Suspects {
	return quarantine.Suspects{Request: w.fingerprint, Parts: w.parts}
}

// quarantined returns the quarantine that applies to the request; false means that it may be sent.
func (w *work) quarantined() (quarantine.Hold, bool) {
	return w.f.config.Quarantine.Quarantined(w.suspects())
}

// cancelIfQuarantined returns a context that is cancelled when the request becomes quarantined. It
// must not be sent to a server then, or the server may not have begun to work on it yet. The
// returned function ends that; it does not cancel the context.
func (w *work) cancelIfQuarantined(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	end := w.f.config.Quarantine.Watch(w.suspects(), func(quarantine.Hold) {
		cancel(&backend.CancelError{Reason: oriolebend.ReasonCrashesServers})
	})
	context.AfterFunc(ctx, end)
	return ctx, end
}

// recordSound records that the request does not crash servers, once its stream has lasted for so
// long that it would have crashed its server.
func (s *streamSend) recordSound(at time.Time) {
	if s.sound || at.Sub(s.started) < earlyStreamPeriod {
		return
	}
	s.sound = true
	s.f.config.Quarantine.Answered(s.suspects(), s.started)
}
