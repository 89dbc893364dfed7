// Package atmostonce holds only a test, which checks that a call that may run at
// most once never runs twice. It runs the reducers of entries, of gates and of
// the request records together with a service that counts its executions. Each
// reducer has its own tests with fakes of the others; this test checks that the
// fakes' assumptions about the real reducers hold.
package atmostonce
