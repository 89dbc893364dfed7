// Package heldbytes accounts for the bytes that a process holds for others: bodies that
// callers send, and answers of backend servers that callers have not taken yet. Their sum
// is bounded, and so is the part of each peer.
//
// Each body and each answer has a bound of its own, but a process is ended for the sum: a
// hundred callers that each stay within their bound, and send or read slowly, take all
// memory of a small VM, and every request in progress is lost with it.
package heldbytes

import (
	"cmp"
	"fmt"
	"sync"
)

// Kind is what bytes are held of.
type Kind string

// Kinds of bytes.
const (
	Request Kind = "request" // bodies of requests, until they are answered
	Answer  Kind = "answer"  // bodies of answers, until their callers have taken them
)

// Kinds lists every kind.
func Kinds() []Kind { return []Kind{Request, Answer} }

// Defaults of Config.
const (
	// DefaultPeerShare leaves half of the bytes to others, whatever one peer does.
	DefaultPeerShare = 0.5
	// DefaultSmallShare is kept for small bodies.
	DefaultSmallShare = 0.25
)

// SmallBytes is the most that a small body holds: pings and prompts of usual length.
const SmallBytes = 16 << 10

// Config sets up an Account.
type Config struct {
	// Limit bounds all that is held, in bytes; zero bounds nothing.
	Limit int64
	// PeerShare is the part of the limit that may be held for one peer; zero means
	// DefaultPeerShare.
	PeerShare float64
	// SmallShare is the part of the limit that only small bodies may use; zero means
	// DefaultSmallShare.
	SmallShare float64
}

// Account counts the bytes that are held. A nil account bounds nothing.
type Account struct {
	limit, peer, large int64

	mutex   sync.Mutex
	held    int64
	kinds   map[Kind]int64
	peers   map[string]int64
	refused map[Kind]uint64
}

// New returns an account in which nothing is held.
func New(c Config) *Account {
	part := func(share float64) int64 { return int64(share * float64(c.Limit)) }
	return &Account{
		limit:   c.Limit,
		peer:    part(cmp.Or(c.PeerShare, DefaultPeerShare)),
		large:   c.Limit - part(cmp.Or(c.SmallShare, DefaultSmallShare)),
		kinds:   map[Kind]int64{},
		peers:   map[string]int64{},
		refused: map[Kind]uint64{},
	}
}

// Limit is the most that is held, zero if there is no bound.
func (a *Account) Limit() int64 {
	if a == nil {
		return 0
	}
	return a.limit
}

// Held is how many bytes of a kind are held.
func (a *Account) Held(k Kind) int64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.kinds[k]
}

// Refused is how often there was no room for bytes of a kind.
func (a *Account) Refused(k Kind) uint64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.refused[k]
}

// Open returns a holding of nothing yet. The peer names for whom it is, such as an IP;
// empty names nobody, and then only the sum is bounded.
func (a *Account) Open(k Kind, peer string) *Holding {
	return &Holding{account: a, kind: k, peer: peer}
}

// fault tells why a holding can't grow by n bytes, nil if it can. The mutex is held.
func (a *Account) fault(h *Holding, n int64) *FullError {
	full := &FullError{Kind: h.kind, Asked: n, Held: a.held, Limit: a.limit}
	switch {
	case a.limit == 0:
		return nil
	case h.bytes+n <= SmallBytes:
		if a.held+n > a.limit {
			return full
		}
		return nil
	case a.held+n > a.large:
		full.Limit = a.large
		return full
	case h.peer != "" && a.peers[h.peer]+n > a.peer:
		full.Peer, full.Held, full.Limit = true, a.peers[h.peer], a.peer
		return full
	}
	return nil
}

// add notes that n more bytes are held; negative ones have been given back. The mutex is
// held.
func (a *Account) add(h *Holding, n int64) {
	h.bytes += n
	a.held += n
	a.kinds[h.kind] += n
	if h.peer == "" {
		return
	}
	if a.peers[h.peer] += n; a.peers[h.peer] == 0 {
		delete(a.peers, h.peer)
	}
}

// Holding is what is held for one body. Its methods may be called from several goroutines.
type Holding struct {
	account *Account
	kind    Kind
	peer    string
	// bytes and closed are guarded by the account's mutex.
	bytes  int64
	closed bool
}

// Grow holds n more bytes. The error is a *FullError if there is no room for them, and a
// *ClosedError after Close.
func (h *Holding) Grow(n int64) error {
	if h == nil || h.account == nil {
		return nil
	}
	a := h.account
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if h.closed {
		return &ClosedError{Kind: h.kind}
	}
	if full := a.fault(h, n); full != nil {
		a.refused[h.kind]++
		return full
	}
	a.add(h, n)
	return nil
}

// Shrink gives n bytes back, at most what is held.
func (h *Holding) Shrink(n int64) {
	if h == nil || h.account == nil {
		return
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	h.account.add(h, -min(n, h.bytes))
}

// Close gives everything back, for good.
func (h *Holding) Close() {
	if h == nil || h.account == nil {
		return
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	h.account.add(h, -h.bytes)
	h.closed = true
}

// FullError tells that there is no room for more bytes.
type FullError struct {
	Kind Kind
	// Peer is set if the part of one peer is used up, and not the whole.
	Peer bool
	// Asked, Held and Limit are in bytes.
	Asked, Held, Limit int64
}

// Error implements error.
func (e *FullError) Error() string {
	whose := "all peers"
	if e.Peer {
		whose = "one peer"
	}
	return fmt.Sprintf("heldbytes: no room for %d bytes of a body (%s): %d of %d bytes are held for %s",
		e.Asked, e.Kind, e.Held, e.Limit, whose)
}

// ClosedError tells that a holding grew after it had been given back.
type ClosedError struct{ Kind Kind }

// Error implements error.
func (e *ClosedError) Error() string {
	return fmt.Sprintf("heldbytes: a body (%s) is not wanted any more", e.Kind)
}
