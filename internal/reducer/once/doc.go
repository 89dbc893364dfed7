// Package once contains only a test. It runs the reducers of entries, of gates
// and of the request records together with a service that counts its
// executions. Each reducer has its own tests with fakes of the others; this
// test checks that the fakes' assumptions about the real reducers hold.
package once
