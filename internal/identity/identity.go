// Package identity finds the owner of a key that a caller sends. Entries look up the organisations
// of their settings with it, and forwarders those of the declared routing.
package identity

import "github.com/oriolebend/oriolebend/pkg/oriolebend"

// Keys maps the digests of keys to the owners of the keys. It is not changed after it has
// been filled, so that goroutines can share it without locks.
//
// The lookup by digest prevents timing attacks: its duration does not show how much of a
// guessed key is correct, since an attacker can't choose a guess by a part of its digest.
type Keys[T any] map[oriolebend.KeyDigest]T

// Owner returns the owner of a key; it returns false if the key has none or is empty.
func (k Keys[T]) Owner(key string) (T, bool) {
	if key == "" {
		var none T
		return none, false
	}
	owner, found := k[oriolebend.DigestKey(key)]
	return owner, found
}

// Add adds a key of an owner.
func (k Keys[T]) Add(key string, owner T) { k[oriolebend.DigestKey(key)] = owner }
