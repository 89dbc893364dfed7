package policy

import "github.com/cespare/xxhash/v2"

// Rendezvous is the weight of a member for a key, by rendezvous hashing: all who know the
// members agree on their order, and one that comes or goes moves only its own keys.
func Rendezvous(key, member string) uint64 {
	return xxhash.Sum64String(key + "\x00" + member)
}
