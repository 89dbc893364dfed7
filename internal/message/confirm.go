package message

import "time"

// Kinds of the messages between a control VM and the leader about how current
// its state is.
const (
	KindConfirm   Kind = "confirm"
	KindConfirmed Kind = "confirmed"
)

// Confirm asks the leader up to where the log was agreed on by now. The
// stream then carries one Confirmed for each Confirm.
type Confirm struct {
	// Control is the control VM that asks.
	Control string `cbor:"control"`
	// Followers is what it knows of the processes that follow it.
	Followers Followers `cbor:"followers"`
}

// Confirmed answers a Confirm. Index is zero if the asked control VM could not
// confirm that it leads.
type Confirmed struct {
	Index uint64 `cbor:"index"`
	// Followers is what the leader knows of those of the other control VMs.
	Followers []Followers `cbor:"followers,omitempty"`
	// Took is how long the leader needed to confirm.
	Took time.Duration `cbor:"took,omitempty"`
}

// Kind implements Message.
func (Confirm) Kind() Kind { return KindConfirm }

// Kind implements Message.
func (Confirmed) Kind() Kind { return KindConfirmed }

var (
	_ = Register[Confirm]()
	_ = Register[Confirmed]()
)
