package entry

// stopAccepting refuses new requests from now on; requests in progress run to
// their end.
func (s *State) stopAccepting() { s.stopping = true }

// checkDrained emits Drained once a stopping entry has no request left.
func (s *State) checkDrained() {
	if !s.stopping || s.drained || len(s.requests) > 0 {
		return
	}
	s.drained = true
	s.emit(Drained{})
}
