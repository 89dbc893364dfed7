package standin

import (
	"context"
	"sync"

	"golang.org/x/time/rate"
)

// linkBurstFraction sets the burst of a link, which is its rate per second divided by
// linkBurstFraction. The burst is also the size of the chunks in which transfers take
// turns.
const linkBurstFraction = 100

// Link is a network link of limited rate that transfers share.
type Link struct {
	limiter *rate.Limiter
	mu      sync.Mutex
	resumed chan struct{} // closed when a stall ends; nil if the link is not stalled
}

// NewLink returns a link with the given rate.
func NewLink(bytesPerSecond float64) *Link {
	burst := max(int(bytesPerSecond/linkBurstFraction), 1)
	return &Link{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burst)}
}

// Chunk returns the number of bytes that a transfer passes at a time.
func (l *Link) Chunk() int64 {
	return int64(l.limiter.Burst())
}

// BytesPerSecond returns the rate in bytes per second.
func (l *Link) BytesPerSecond() float64 {
	return float64(l.limiter.Limit())
}

// Stall stops the link if stop is true, and resumes it otherwise.
func (l *Link) Stall(stop bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case stop && l.resumed == nil:
		l.resumed = make(chan struct{})
	case !stop && l.resumed != nil:
		close(l.resumed)
		l.resumed = nil
	}
}

// Pass waits until n bytes have passed the link or ctx is cancelled.
func (l *Link) Pass(ctx context.Context, n int64) error {
	for n > 0 {
		if err := l.waitUnstalled(ctx); err != nil {
			return err
		}
		chunk := min(n, l.Chunk())
		if err := l.limiter.WaitN(ctx, int(chunk)); err != nil {
			return err
		}
		n -= chunk
	}
	return l.waitUnstalled(ctx)
}

// waitUnstalled waits until the link is not stalled.
func (l *Link) waitUnstalled(ctx context.Context) error {
	l.mu.Lock()
	resumed := l.resumed
	l.mu.Unlock()
	if resumed == nil {
		return ctx.Err()
	}
	select {
	case <-resumed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
