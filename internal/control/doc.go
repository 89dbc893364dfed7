// Package control implements the exchange of request records between the entries and the control
// VMs: the client that an entry uses, the server on each control VM, which commits the requests of
// many entries in groups, and the resolver, which determines lost outcomes on the leading control
// VM.
//
// All requests of an entry are sent over one stream to the leader and matched to their answers by
// tickets. Every request may be sent again, to the same or another control VM, without changing its
// effect: a claim is fenced by its owner and request id, a settle by its owner and attempt.
package control
