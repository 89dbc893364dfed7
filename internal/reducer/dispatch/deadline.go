package dispatch

// outputSpeed is how many events a stream has for each token of output that its request expects.
type outputSpeed struct{ average }

const (
	// mostEventsPerToken and otherEvents bound the events of a stream. An event has at least one
	// token of output, apart from a few at the begin and end. The factor allows for an engine that
	// counts tokens in another way than the caller. A report of more events is wrong.
	mostEventsPerToken = 2
	otherEvents        = 10
)

// observeOutput adds a complete stream.
func (v *service) observeOutput(e OutcomeObserved) {
	output := e.Grant.Need.Output
	if e.Outcome != OutcomeAnswered || output <= 0 || e.Events > mostEventsPerToken*output+otherEvents {
		return
	}
	v.speeds.output.add(float64(e.Events) / float64(output))
}

// endsTooLate returns a function that reports whether a stream on an engine is predicted to end later
// than its caller waits, nil if no prediction is possible or needed.
//
// Such a stream would hold memory until its caller gives up, and its output would not be used. A
// request for which only such engines have room is refused at once. If it waited for a faster engine,
// the requests behind it could not use the memory of the slow ones. Engines that don't differ are not
// checked, because the decision would depend on the caller alone. A further send is not checked,
// because a part of its output may have been delivered.
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
