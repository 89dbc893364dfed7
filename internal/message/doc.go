// Package message defines the messages that the processes of the system exchange.
// They are plain structs, encoded in CBOR with names in camel case or integer keys.
// Package peer transports them; the reducers create and handle them.
//
// One stream between an entry and a gate is one session: it belongs to one attempt
// of one request in one phase. Every message repeats the attempt and, for output,
// the offset, so that the receiver can detect late and reordered parts.
package message
