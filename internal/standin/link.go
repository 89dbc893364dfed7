package standin

import (
	"context"
	"sync"

	"golang.org/x/time/rate"
)

// linkBurst is the part of a second's bytes that a link passes at once, and
// the size of the chunks in which transfers take turns.
const linkBurst = 100

// Link is a network link of limited rate that transfers share.
type Link struct {
	limiter *rate.Limiter
	mu      sync.Mutex
	stalled chan struct{}
}

// NewLink returns a link of so many bytes a second.
func NewLink(bytesPerSecond float64) *Link {
	burst := max(int(bytesPerSecond/linkBurst), 1)
	return &Link{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burst)}
}

// Chunk returns how many bytes a transfer passes at a time.
func (l *Link) Chunk() int64 {
	return int64(l.limiter.Burst())
}

// Bytes returns the rate in bytes a second.
func (l *Link) Bytes() float64 {
	return float64(l.limiter.Limit())
}

// Stall stops the link, or lets it go on.
func (l *Link) Stall(stop bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case stop && l.stalled == nil:
		l.stalled = make(chan struct{})
	case !stop && l.stalled != nil:
		close(l.stalled)
		l.stalled = nil
	}
}

// Pass waits until n bytes have passed the link, or ctx ends.
func (l *Link) Pass(ctx context.Context, n int64) error {
	for n > 0 {
		if err := l.flowing(ctx); err != nil {
			return err
		}
		chunk := min(n, l.Chunk())
		if err := l.limiter.WaitN(ctx, int(chunk)); err != nil {
			return err
		}
		n -= chunk
	}
	return l.flowing(ctx)
}

// flowing waits until the link is not stalled.
func (l *Link) flowing(ctx context.Context) error {
	l.mu.Lock()
	stalled := l.stalled
	l.mu.Unlock()
	if stalled == nil {
		return ctx.Err()
	}
	select {
	case <-stalled:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
