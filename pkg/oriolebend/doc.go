// Package oriolebend holds the plain types that callers, operators and
// other programs share with the router: urgencies, reasons, problems, servers
// and declared resources.
package oriolebend
