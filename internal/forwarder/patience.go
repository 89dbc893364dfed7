package forwarder

import (
	"sync"
	"time"
)

// patience learns how long the callers of each route wait at most, from what they say
// that they will wait still. One that comes back after a refusal says less than one
// that comes for the first time.
type patience struct {
	mutex sync.Mutex
	most  map[string]time.Duration
}

const (
	// maxPatience bounds the routes that are learnt about.
	maxPatience = 4096
	// returnedBelow is the part of the longest wait of a route's callers below which
	// a caller is taken to have come before. First tries were seen to differ by 15
	// in 100, and callers that were refused to be back after a fifth or more.
	returnedBelow = 0.8
)

// returned reports whether a caller that will wait for within still seems to have come
// before.
func (p *patience) returned(route string, within time.Duration) bool {
	if within <= 0 {
		return false // it does not say
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.most == nil || len(p.most) >= maxPatience {
		p.most = map[string]time.Duration{}
	}
	p.most[route] = max(p.most[route], within)
	return float64(within) < returnedBelow*float64(p.most[route])
}
