package forwarder

import (
	"sync"
	"time"
)

// retryDetector records the longest remaining time that callers of each route state. A caller that
// retries after a refusal states less than a caller with a first try.
type retryDetector struct {
	mutex   sync.Mutex
	longest map[string]time.Duration
}

const (
	// maxTrackedRoutes bounds the number of routes that are tracked.
	maxTrackedRoutes = 4096
	// retryShare is the share of the longest time of a route's callers below which a request is
	// taken for a retry. The times of first tries differ by 15 in 100, and callers that were refused
	// retry after a fifth of their time or more.
	retryShare = 0.8
)

// isRetry reports whether a request seems to be a retry, given the remaining time that its caller
// states.
func (d *retryDetector) isRetry(route string, within time.Duration) bool {
	if within <= 0 {
		return false // the caller states no time
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.longest == nil || len(d.longest) >= maxTrackedRoutes {
		d.longest = map[string]time.Duration{}
	}
	d.longest[route] = max(d.longest[route], within)
	return float64(within) < retryShare*float64(d.longest[route])
}
