// Package once holds a test only: the reducers of entries, of gates and of the
// request records together, with a service that counts what it executes. Each
// of them is tested alone against fakes of the others; this test sees that what
// they assume of each other is so.
package once
