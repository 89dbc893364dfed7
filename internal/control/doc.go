// Package control is how entries speak to the control VMs about request
// records: the client that an entry uses, and the server on each control VM
// that commits what many entries ask for in groups.
//
// All requests of an entry travel over one stream to the leader, matched to
// their answers by tickets. Every request may be sent again, to the same or
// another control VM, without changing what it does: a claim is fenced by its
// owner and request id, a settle by owner and attempt.
package control
