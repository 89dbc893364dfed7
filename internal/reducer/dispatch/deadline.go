package dispatch

// outputSpeed is how many events a stream has for each token of output that its request expects.
type outputSpeed struct{ average }

// observeOutput adds a complete stream.
func (v *service) observeOutput(e OutcomeObserved) {
	if e.Outcome == OutcomeAnswered && e.Grant.Need.Output > 0 {
		v.speeds.output.add(float64(e.Events) / float64(e.Grant.Need.Output))
	}
}

// endsTooLate returns a function that reports whether a stream on an engine is predicted to end later
// than its caller waits, nil if no prediction is possible or needed.
//
// Such a stream would hold memory until its caller gives up, and its output would be thrown away. A
// request for which only such engines have room is refused at once: if it waited for a faster one, it
// would keep the requests behind it from the memory of the slow ones. Engines that don't differ are
// not checked: the decision would depend on the caller alone. A further send is not checked: a part of
// its output may have been delivered.
func (s *State) endsTooLate(e PlacementRequested, v *service) func(*server) bool {
	events := v.speeds.output.valueOr(0) * float64(e.Need.Output)
	if e.Need.Deadline.IsZero() || e.Need.Retry || events == 0 || !v.speeds.writing.Uneven() {
		return nil
	}
	base, slope := v.speeds.writing.Line()
	longest := (e.Need.Deadline.Sub(e.At) - v.prefillTime(e.Need.Prompt)).Seconds()
	return func(c *server) bool {
		return c.writing.Factor()*(base+slope*float64(c.inProgress))*events > longest
	}
}
