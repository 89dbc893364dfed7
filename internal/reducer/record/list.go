package record

// list is an intrusive list of records; a record is in one list at a time.
// Removal from the middle costs no search, and the order is the order of
// entry, which makes bounded sweeps the same on every control VM.
type list struct {
	head, tail *request
	length     int
	// answered is the first record that may hold an answer; those before it
	// hold none.
	answered *request
}

func (l *list) push(r *request) {
	r.in = l
	r.previous = l.tail
	r.next = nil
	if l.tail == nil {
		l.head = r
	} else {
		l.tail.next = r
	}
	l.tail = r
	l.length++
	if l.answered == nil {
		l.answered = r
	}
}

// oldestAnswer returns the first record with an answer, or nil. Records without
// one are passed over once: they get none while they are in the list.
func (l *list) oldestAnswer() *request {
	for l.answered != nil && l.answered.answer == nil {
		l.answered = l.answered.next
	}
	return l.answered
}

func (l *list) remove(r *request) {
	if l.answered == r {
		l.answered = r.next
	}
	if r.previous == nil {
		l.head = r.next
	} else {
		r.previous.next = r.next
	}
	if r.next == nil {
		l.tail = r.previous
	} else {
		r.next.previous = r.previous
	}
	r.in, r.previous, r.next = nil, nil, nil
	l.length--
}
