// Package oriolebend defines the types that programs of callers and operators
// share with the router: urgencies, reasons, problems, servers, routing and
// declared resources.
package oriolebend
