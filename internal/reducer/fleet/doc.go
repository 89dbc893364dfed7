// Package fleet runs the reducers of entries and gates together, in virtual time,
// against small models of engines and links. It holds only tests and benchmarks: the
// comparison of routing policies and the measurement of wasted prefill.
package fleet
