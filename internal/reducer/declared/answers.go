package declared

import "github.com/oriolebend/oriolebend/pkg/oriolebend"

// answer is what an order was told.
type answer struct {
	// Fingerprint tells whether an order of the same id is the same order.
	Fingerprint uint64                  `cbor:"fingerprint"`
	Result      oriolebend.ChangeResult `cbor:"result"`
}

// answerKey is an order id as one operator uses it.
type answerKey struct {
	Who     string `cbor:"who"`
	OrderID string `cbor:"orderID"`
}

// answers keeps the latest answers, oldest first in queue.
type answers struct {
	byOrder map[answerKey]answer
	queue   []answerKey
}

func newAnswers() answers {
	return answers{byOrder: map[answerKey]answer{}}
}

func (a *answers) find(o Order) (answer, bool) {
	known, found := a.byOrder[answerKey{Who: o.Who, OrderID: o.OrderID}]
	return known, found
}

func (a *answers) keep(o Order, given answer) {
	if o.OrderID == "" {
		return
	}
	a.put(answerKey{Who: o.Who, OrderID: o.OrderID}, given)
}

func (a *answers) put(key answerKey, given answer) {
	a.byOrder[key] = given
	a.queue = append(a.queue, key)
	for len(a.byOrder) > maxAnswers {
		delete(a.byOrder, a.queue[0])
		a.queue = a.queue[1:]
	}
}
