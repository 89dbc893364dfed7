// Package message defines the typed messages that the processes of the system
// send each other. They are plain structs with CBOR names in camel case; the
// peer package carries them, the reducers read and write them.
//
// One stream between an entry and a gate is one session: it belongs to one
// attempt of one request in one phase. Every message repeats the attempt and,
// for output, the offset, so that a late or crossing part can be told from a
// live one.
package message
