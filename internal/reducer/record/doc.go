// Package record is the replicated state machine of the request records. A
// record holds the owner of a request, its dispatched attempts and its outcome.
// Every control VM applies the same commands in the same order. The package
// reads no clock; commands carry the time.
//
// The records guarantee:
//
//   - At most one owner at a time may run a request. The owner and the attempt
//     number fence it: commands of an earlier owner that arrive later are
//     refused.
//   - A request that may run at most once is dispatched only after its
//     transition to running was accepted. If its outcome is lost after that, the
//     record becomes unknown, and an unknown record starts no further attempt.
//   - The state notRun closes every attempt number assigned before. None of
//     these attempts can be moved to running again.
package record
