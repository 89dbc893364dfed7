// Package memorybudget bounds the memory that a process holds for its peers: request bodies that
// callers send, answers of backend servers that callers have not read yet, and heads of calls to its
// own HTTP API. The sum of their bytes is bounded, and so is the share of each peer. Entries and
// forwarders count the bodies and answers of requests in an Account, and control VMs guard their
// HTTP API with one.
//
// Each body and each answer has a bound of its own, but a process is killed for the sum: a hundred
// callers that each stay within their bound, and send or read slowly, use all memory of a small VM,
// and every request in progress is lost with the process.
package memorybudget

import (
	"cmp"
	"fmt"
	"sync"
)

// Kind is the kind of data that bytes are held for.
type Kind string

// Kinds of bytes.
const (
	Request Kind = "request" // request bodies, until the request is answered
	Answer  Kind = "answer"  // answer bodies, until the caller has read them
	Head    Kind = "head"    // heads of requests, until the request is answered
	Frame   Kind = "frame"   // frames of other processes of the system, until they are decoded
)

// Kinds lists the kinds of bytes that are held for callers and servers.
func Kinds() []Kind { return []Kind{Request, Answer, Head} }

// Defaults of Config.
const (
	// DefaultPeerShare leaves half of the bytes to other peers, however much one peer uses.
	DefaultPeerShare = 0.5
	// DefaultSmallShare is reserved for small bodies.
	DefaultSmallShare = 0.25
)

// SmallBytes is the largest size of a small body, such as a ping or a prompt of usual length.
const SmallBytes = 16 << 10

// Config sets up an Account.
type Config struct {
	// Limit bounds the sum of all held bytes; zero means no bound.
	Limit int64
	// PeerShare is the share of the limit that may be held for one peer; zero means
	// DefaultPeerShare. Small bodies are not refused because of it.
	PeerShare float64
	// SmallShare is the share of the limit that only small bodies may use; zero means
	// DefaultSmallShare.
	SmallShare float64
}

// Account counts the held bytes. A nil account has no bound.
type Account struct {
	limit, peer, large int64

	mutex   sync.Mutex
	held    int64
	kinds   map[Kind]int64
	peers   map[string]int64
	refused map[Kind]uint64
}

// New returns an account without held bytes.
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

// Limit returns the largest number of bytes that may be held, zero if there is no bound.
func (a *Account) Limit() int64 {
	if a == nil {
		return 0
	}
	return a.limit
}

// Held returns the number of held bytes of a kind.
func (a *Account) Held(k Kind) int64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.kinds[k]
}

// Refused returns how often bytes of a kind were refused because a bound was reached.
func (a *Account) Refused(k Kind) uint64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.refused[k]
}

// Open returns an empty holding. The peer identifies for whom the bytes are held, such as an IP; if
// it is empty, only the sum is bounded.
func (a *Account) Open(k Kind, peer string) *Holding {
	return &Holding{account: a, kind: k, peer: peer}
}

// checkBounds returns an error if a holding can't grow by n bytes. The caller holds the mutex.
func (a *Account) checkBounds(h *Holding, n int64) *FullError {
	full := &FullError{Kind: h.kind, Requested: n, Held: a.held, Limit: a.limit}
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

// add adds n bytes to the counts; a negative n releases bytes. The caller holds the mutex.
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

// Holding counts the bytes that are held for one body. Its methods are safe for use by several
// goroutines.
type Holding struct {
	account *Account
	kind    Kind
	peer    string
	// bytes and closed are guarded by the account's mutex.
	bytes  int64
	closed bool
}

// Grow adds n bytes to the holding. The error is a *FullError if a bound would be exceeded, and a
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
	if full := a.checkBounds(h, n); full != nil {
		a.refused[h.kind]++
		return full
	}
	a.add(h, n)
	return nil
}

// Shrink releases n bytes, but no more than are held.
func (h *Holding) Shrink(n int64) {
	if h == nil || h.account == nil {
		return
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	h.account.add(h, -min(n, h.bytes))
}

// Close releases all bytes. The holding can't grow afterwards.
func (h *Holding) Close() {
	if h == nil || h.account == nil {
		return
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	h.account.add(h, -h.bytes)
	h.closed = true
}

// FullError means that more bytes would exceed a bound.
type FullError struct {
	Kind Kind
	// Peer is set if the share of one peer is used up, and not the bound of the whole account.
	Peer bool
	// Requested, Held and Limit are in bytes.
	Requested, Held, Limit int64
}

// Error implements error.
func (e *FullError) Error() string {
	whose := "all peers"
	if e.Peer {
		whose = "one peer"
	}
	return fmt.Sprintf("memorybudget: no room for %d bytes of a body (%s): %d of %d bytes are held for %s",
		e.Requested, e.Kind, e.Held, e.Limit, whose)
}

// ClosedError means that a holding was to grow after Close.
type ClosedError struct{ Kind Kind }

// Error implements error.
func (e *ClosedError) Error() string {
	return fmt.Sprintf("memorybudget: the holding of a body (%s) is closed", e.Kind)
}
