package message

import "time"

// Kinds of the messages by which a control VM asks the leader how current its state is.
const (
	KindConfirm   Kind = "confirm"
	KindConfirmed Kind = "confirmed"
)

// Confirm asks the leader up to which index the log is committed now. The stream
// then carries one Confirmed for each Confirm.
type Confirm struct {
	// Control is the control VM that sends the message.
	Control string `cbor:"control"`
	// Followers are the processes that follow this control VM.
	Followers Followers `cbor:"followers"`
}

// Confirmed answers a Confirm. Index is zero if the answering control VM could not
// confirm that it leads.
type Confirmed struct {
	Index uint64 `cbor:"index"`
	// Followers are the followers of the other control VMs, as known to the leader.
	Followers []Followers `cbor:"followers,omitempty"`
	// Took is how long the leader took to confirm.
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
