// Package record is the replicated state machine of the request records: who
// runs a request, how often it was dispatched, and what came of it. Each
// control VM applies the same commands in the same order; the package reads no
// clock, so time comes inside the commands.
//
// What the records promise:
//
//   - One owner at a time may run a request. Owner and attempt fence it: what
//     an earlier owner sends later is refused.
//   - A request that may run at most once is dispatched only after its move
//     to running was accepted. From then on a lost outcome makes it unknown,
//     and an unknown record starts no further attempt.
//   - Not run closes every attempt given out before; none of them can be
//     moved to running again.
package record
