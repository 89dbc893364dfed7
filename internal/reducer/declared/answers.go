package declared

import "github.com/oriolebend/oriolebend/pkg/oriolebend"

// answer is the answer that an order got.
type answer struct {
	// Fingerprint distinguishes different orders with the same id.
	Fingerprint uint64                  `cbor:"fingerprint"`
	Result      oriolebend.ChangeResult `cbor:"result"`
}

// answerKey identifies an order: order ids are unique per operator.
type answerKey struct {
	Who     string `cbor:"who"`
	OrderID string `cbor:"orderID"`
}

// answers keeps the latest answers. queue holds their keys, oldest first.
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

func (a *answers) store(o Order, result answer) {
	if o.OrderID == "" {
		return
	}
	a.insert(answerKey{Who: o.Who, OrderID: o.OrderID}, result)
}

func (a *answers) insert(key answerKey, result answer) {
	a.byOrder[key] = result
	a.queue = append(a.queue, key)
	for len(a.byOrder) > maxAnswers {
		delete(a.byOrder, a.queue[0])
		a.queue = a.queue[1:]
	}
}
