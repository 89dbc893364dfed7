// Package connlimit chooses which connection of a listener is closed for a new one when as many are open
// as its memory and file descriptors allow.
//
// If new connections were refused instead, one peer that opens connections and never completes a
// request on them would keep out all others.
package connlimit

import "time"

// Conn is an open connection.
type Conn interface {
	comparable
	// Peer identifies the other side, such as its IP.
	Peer() string
	// WaitingSince returns since when the connection has waited for a complete request; false if it
	// serves one, and must not be closed.
	WaitingSince() (time.Time, bool)
}

// Set holds the open connections of a listener. The zero value is empty. It is not safe for use by
// several goroutines.
type Set[C Conn] struct {
	conns map[C]struct{}
	// peers counts the connections of each peer.
	peers map[string]int
}

// Add adds a connection.
func (s *Set[C]) Add(c C) {
	if s.conns == nil {
		s.conns, s.peers = map[C]struct{}{}, map[string]int{}
	}
	s.conns[c] = struct{}{}
	s.peers[c.Peer()]++
}

// Remove removes a connection; it does nothing if the set does not hold it.
func (s *Set[C]) Remove(c C) {
	if _, held := s.conns[c]; !held {
		return
	}
	delete(s.conns, c)
	if s.peers[c.Peer()]--; s.peers[c.Peer()] == 0 {
		delete(s.peers, c.Peer())
	}
}

// Len returns the number of connections.
func (s *Set[C]) Len() int { return len(s.conns) }

// LenOf returns the number of connections of a peer.
func (s *Set[C]) LenOf(peer string) int { return s.peers[peer] }

// All calls f for each connection.
func (s *Set[C]) All(f func(C)) {
	for c := range s.conns {
		f(c)
	}
}

// Closable returns the connection to be closed for a new one of a peer; false if there is none. It is
// the one that has waited longest of the peer with the most connections, the new one included.
func (s *Set[C]) Closable(newcomer string) (longest C, found bool) {
	most := s.peers[newcomer] + 1
	for _, open := range s.peers {
		most = max(most, open)
	}
	var earliest time.Time
	for c := range s.conns {
		if s.lenWith(c.Peer(), newcomer) < most {
			continue
		}
		since, waiting := c.WaitingSince()
		if waiting && (!found || since.Before(earliest)) {
			longest, earliest, found = c, since, true
		}
	}
	return longest, found
}

// lenWith returns the number of connections of a peer together with a new one of another peer.
func (s *Set[C]) lenWith(peer, newcomer string) int {
	if peer == newcomer {
		return s.peers[peer] + 1
	}
	return s.peers[peer]
}
