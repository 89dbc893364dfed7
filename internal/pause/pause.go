// Package pause waits for a duration or until a context ends. Loops that retry or poll use it
// between two rounds.
package pause

import (
	"context"
	"time"
)

// For waits for d. It returns true after d has passed, and false as soon as ctx is done.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
