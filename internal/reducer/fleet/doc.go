// Package fleet runs the reducers of entries and gates together, in virtual
// time, against small models of engines and links. It holds tests and
// benchmarks only: the comparison of routing policies and the measure of
// wasted prefill.
package fleet
