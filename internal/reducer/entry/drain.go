package entry

// stop refuses new requests from now on; those in progress run to their end.
func (s *State) stop() { s.stopping = true }

// checkDrained tells once that a stopping entry holds nothing any more.
func (s *State) checkDrained() {
	if !s.stopping || s.drained || len(s.requests) > 0 {
		return
	}
	s.drained = true
	s.emit(Drained{})
}
