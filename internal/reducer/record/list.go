package record

// list is an intrusive doubly linked list of records. A record is in one list at
// a time. A record in the middle is removed without a search. The records are in
// the order in which they were added, so a bounded expiry removes the same
// records on every control VM.
type list struct {
	head, tail *record
	length     int
	// firstAnswer is the first record that may hold an answer. The records
	// before it hold none.
	firstAnswer *record
}

func (l *list) push(r *record) {
	r.list = l
	r.previous = l.tail
	r.next = nil
	if l.tail == nil {
		l.head = r
	} else {
		l.tail.next = r
	}
	l.tail = r
	l.length++
	if l.firstAnswer == nil {
		l.firstAnswer = r
	}
}

// oldestAnswer returns the first record with an answer, or nil. It skips each
// record without an answer only once, because such a record gets no answer while
// it is in the list.
func (l *list) oldestAnswer() *record {
	for l.firstAnswer != nil && l.firstAnswer.answer == nil {
		l.firstAnswer = l.firstAnswer.next
	}
	return l.firstAnswer
}

func (l *list) remove(r *record) {
	if l.firstAnswer == r {
		l.firstAnswer = r.next
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
	r.list, r.previous, r.next = nil, nil, nil
	l.length--
}
