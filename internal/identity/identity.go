// Package identity finds who holds a key.
package identity

import "github.com/oriolebend/oriolebend/pkg/oriolebend"

// Keys knows the owners of keys by the digests of these. It is never changed once it is
// filled, so that goroutines share it without locks.
//
// A key is looked up by its digest: how long that takes does not tell how much of a
// guessed key is right, since nobody can choose a guess by a part of its digest.
type Keys[T any] map[oriolebend.KeyDigest]T

// Owner is who holds a key; false means nobody.
func (k Keys[T]) Owner(key string) (T, bool) {
	if key == "" {
		var none T
		return none, false
	}
	owner, found := k[oriolebend.DigestKey(key)]
	return owner, found
}

// Add gives an owner a key.
func (k Keys[T]) Add(key string, owner T) { k[oriolebend.DigestKey(key)] = owner }
