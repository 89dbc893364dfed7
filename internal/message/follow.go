package message

import (
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Kinds of the messages between the entry that owns a request and another entry that
// follows it.
const (
	KindFollow   Kind = "follow"
	KindFollowed Kind = "followed"
)

// Follow requests the answer of a request from the entry that owns it, from the first
// token on. The stream then carries Followed messages.
type Follow struct {
	RequestID    string `cbor:"requestID"`
	Organisation string `cbor:"organisation"`
}

// Followed carries one part of an answer; the message with Last set is the final one.
type Followed struct {
	Offset int          `cbor:"offset,omitempty"`
	Tokens int          `cbor:"tokens,omitempty"`
	Text   string       `cbor:"text,omitempty"`
	Last   bool         `cbor:"last,omitempty"`
	Finish FinishReason `cbor:"finish,omitempty"`
	Call   *CallAnswer  `cbor:"call,omitempty"`
	Answer *Answer      `cbor:"answer,omitempty"`
	// Reason is set if the request was refused or failed.
	Reason     oriolebend.Reason `cbor:"reason,omitempty"`
	Ran        oriolebend.Ran    `cbor:"ran,omitempty"`
	RetryAfter time.Duration     `cbor:"retryAfter,omitempty"`
	Detail     string            `cbor:"detail,omitempty"`
}

// Kind implements Message.
func (Follow) Kind() Kind { return KindFollow }

// Kind implements Message.
func (Followed) Kind() Kind { return KindFollowed }

var (
	_ = Register[Follow]()
	_ = Register[Followed]()
)
